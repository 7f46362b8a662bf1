package upstream

import (
	"bufio"
	"errors"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"otterseam/tier/memorybudget"
)

// Guards against heads whose memory is in no budget, and against idle connections that keep the memory of their last request.
func TestHeadIsReadWithinItsMemory(t *testing.T) {
	lines := strings.Repeat("a:b\r\n", 2000)
	for name, test := range map[string]struct {
		limit int64
		want  error
	}{
		"enough":   {1 << 20, nil},
		"too much": {100 << 10, memorybudget.ErrSpent},
	} {
		address, _ := startHost(t, func(conn net.Conn, reader *bufio.Reader) {
			respond(strings.Replace(okResponse, "\r\n", "\r\n"+lines, 1))(conn, reader)
		})
		budget := memorybudget.NewBudget(test.limit)
		var claim memorybudget.Claim
		budget.Open(&claim, time.Now(), func() {})
		p := NewPool(address)
		lease := acquire(t, p)
		request := getRequest(nextID())
		request.Memory = &claim
		response, err := lease.RoundTrip(request)
		if !errors.Is(err, test.want) || (err == nil) != (test.want == nil) {
			t.Fatalf("%s: %v", name, err)
		}
		if err == nil && (response.StatusCode != http.StatusOK || budget.Used() == 0 || lease.conn.headMemory.claim != nil) {
			t.Errorf("%s: status %d, %d bytes reserved", name, response.StatusCode, budget.Used())
		}
		claim.Close()
		lease.Close()
		p.Close()
	}
}
