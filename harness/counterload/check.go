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
	checkTimeout  = 10 * time.Second // per attempt
	tolerance     = 1e-6             // rounding error allowed in floating-point sums
)

// StatusError reports that a server returned an error status instead of a counter's total.
type StatusError struct {
	Key    string
	Status int // status code of the response
}

func (e *StatusError) Error() string {
	return fmt.Sprintf("read the total of %s: status %d", e.Key, e.Status)
}

// Check reads each counter's total and compares it with the acknowledged and uncertain amounts of result. It returns the number
// of counters below the acknowledged amount (lost), and of those above the sum of both amounts (doubled).
func (l *Load) Check(result *Result) (lost, doubled int, err error) {
	totals := map[string]float64{}
	for attempt := range checkAttempts { // retries, since a server may have just failed
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

// readTotals reads the totals that are missing from totals. It reads a total by adding 0 to the counter.
func readTotals(result *Result, address string, totals map[string]float64) error {
	conn, err := net.DialTimeout("tcp", address, dialTimeout)
	if err != nil {
		return err
	}
	defer conn.Close()
	if err := conn.SetDeadline(time.Now().Add(checkTimeout)); err != nil {
		return err
	}
	r := bufio.NewReader(conn)
	for key := range result.Acknowledged {
		if _, known := totals[key]; known {
			continue
		}
		if _, err := fmt.Fprint(conn, addRequest(key, 0)); err != nil {
			return err
		}
		response, err := readResponse(r)
		if err != nil {
			return err
		}
		if response.status != statusAdded {
			return &StatusError{Key: key, Status: response.status}
		}
		if totals[key], err = strconv.ParseFloat(response.body, 64); err != nil {
			return err
		}
	}
	return nil
}
