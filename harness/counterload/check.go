package counterload

import (
	"bufio"
	"fmt"
	"net"
	"strconv"
	"time"
)

const (
	checkAttempts = 40
	checkDelay    = 100 * time.Millisecond
	checkTimeout  = 10 * time.Second // of one attempt
	tolerance     = 1e-6             // of sums of floating point numbers
)

// StatusError says that a counter's total was not told.
type StatusError struct {
	Key    string
	Status int // of the answer
}

func (e *StatusError) Error() string {
	return fmt.Sprintf("the total of %s: status %d", e.Key, e.Status)
}

// Check asks for each counter's total and holds it against what was answered and what may have been added. It returns how many
// counters lack something, and how many stand too high.
func (l *Load) Check(result *Result) (lost, doubled int, err error) {
	totals := map[string]float64{}
	for attempt := range checkAttempts { // a server may have just been lost
		if err = readTotals(result, l.Addresses[attempt%len(l.Addresses)], totals); err == nil {
			break
		}
		time.Sleep(checkDelay)
	}
	if err != nil {
		return 0, 0, err
	}
	for key, acknowledged := range result.Acknowledged {
		if totals[key] < acknowledged-tolerance {
			lost++
		}
		if totals[key] > acknowledged+result.Uncertain[key]+tolerance {
			doubled++
		}
	}
	return lost, doubled, nil
}

// readTotals asks for the totals that are not known yet, by adding nothing.
func readTotals(result *Result, address string, totals map[string]float64) error {
	tcp, err := net.DialTimeout("tcp", address, dialTimeout)
	if err != nil {
		return err
	}
	defer tcp.Close()
	if err := tcp.SetDeadline(time.Now().Add(checkTimeout)); err != nil {
		return err
	}
	r := bufio.NewReader(tcp)
	for key := range result.Acknowledged {
		if _, known := totals[key]; known {
			continue
		}
		if _, err := fmt.Fprint(tcp, addRequest(key, 0)); err != nil {
			return err
		}
		answer, err := readAnswer(r)
		if err != nil {
			return err
		}
		if answer.status != statusAdded {
			return &StatusError{Key: key, Status: answer.status}
		}
		if totals[key], err = strconv.ParseFloat(answer.body, 64); err != nil {
			return err
		}
	}
	return nil
}
