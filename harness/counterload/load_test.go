package counterload

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"
)

// counters is a server of the counter protocol.
type counters struct {
	mu     sync.Mutex
	totals map[string]float64
	status int     // status code of all responses
	factor float64 // multiplies each added amount; 1 is correct
}

func (s *counters) serve(t *testing.T) (address string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go s.handle(conn)
		}
	}()
	return l.Addr().String()
}

func (s *counters) handle(conn net.Conn) {
	defer conn.Close()
	r := bufio.NewReader(conn)
	for {
		line, err := r.ReadString('\n')
		if err != nil {
			return
		}
		if !strings.HasPrefix(line, "POST ") {
			continue
		}
		key, query, _ := strings.Cut(strings.TrimPrefix(line, "POST /counters/"), "?by=")
		text, _, _ := strings.Cut(query, "&")
		amount, err := strconv.ParseFloat(text, 64)
		if err != nil {
			return
		}
		s.mu.Lock()
		s.totals[key] += amount * s.factor
		body := strconv.FormatFloat(s.totals[key], 'f', -1, 64)
		s.mu.Unlock()
		if _, err := fmt.Fprintf(conn, "HTTP/1.1 %d X\r\nContent-Length: %d\r\n\r\n%s", s.status, len(body), body); err != nil {
			return
		}
	}
}

func TestCheckComparesTotalsWithAcknowledgedAmounts(t *testing.T) {
	for _, c := range []struct {
		name          string
		factor        float64
		lost, doubled bool
	}{
		{"adds once", 1, false, false},
		{"loses half of each amount", 0.5, true, false},
		{"adds twice", 2, false, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			server := &counters{totals: map[string]float64{}, status: 200, factor: c.factor}
			l := &Load{Addresses: []string{server.serve(t)}, Rate: 1000, Duration: 200 * time.Millisecond, Conns: 2, Keys: 5, HotKey: true}
			result := l.Run(context.Background())
			if result.Answered < 20 || result.Rejected+result.Broken > 0 {
				t.Fatalf("%+v", result)
			}
			lost, doubled, err := l.Check(result)
			if err != nil || lost > 0 != c.lost || doubled > 0 != c.doubled {
				t.Fatalf("%d lost, %d doubled, %v", lost, doubled, err)
			}
		})
	}
}

func TestRejectedCallsAreNotAcknowledged(t *testing.T) {
	server := &counters{totals: map[string]float64{}, status: 503, factor: 0}
	l := &Load{Addresses: []string{server.serve(t)}, Rate: 500, Duration: 100 * time.Millisecond, Conns: 1, Keys: 5, RoundRobin: true}
	result := l.Run(context.Background())
	if result.Rejected == 0 || result.Answered > 0 || len(result.Acknowledged) > 0 {
		t.Fatalf("%+v", result)
	}
	err := readTotals(&Result{Acknowledged: map[string]float64{"1": 1}}, l.Addresses[0], map[string]float64{})
	var status *StatusError
	if !errors.As(err, &status) || status.Status != 503 {
		t.Fatalf("read a total from a server that returns status 503: error %v", err)
	}
}
