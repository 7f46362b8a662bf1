package misbehavior

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"otterseam/harness/tiercluster"
	"otterseam/harness/tierhost"
)

const (
	floodingHosts = 12 // of each service
	floodingSlots = 8
	floodClients  = 60
	// floodTime is how long the clients send requests while hosts flood.
	floodTime = 4 * time.Second
	// trickledFloodPause is the pause between the writes of a slow flood.
	trickledFloodPause = 20 * time.Millisecond
)

// addFloodingHosts adds hosts of each service that respond to all requests with a flood.
func (s *tier) addFloodingHosts(flood *tierhost.Flood, pause time.Duration) {
	s.Helper()
	for i := range floodingHosts {
		for _, service := range []string{"engine", "records"} {
			host, err := s.cluster.AddHost(fmt.Sprintf("flooding-%s-%d", service, i), service, floodingSlots)
			if err != nil {
				s.Fatal(err)
			}
			host.Flood(flood, pause)
		}
	}
}

// floodStatistics counts the responses that clients got while hosts flooded.
type floodStatistics struct{ answered, rejected, failed, broken atomic.Int64 }

// sendDuring lets clients send requests of all kinds of routes for a time.
func (s *tier) sendDuring(duration time.Duration) *floodStatistics {
	ctx, cancel := context.WithTimeout(context.Background(), duration)
	defer cancel()
	statistics := &floodStatistics{}
	paths := []string{"/issue/1", "/lookup/1", "/draft/1", "/chat/1"}
	var sending sync.WaitGroup
	for i := range floodClients {
		sending.Go(func() {
			for number := 0; ctx.Err() == nil; number++ {
				s.sendAndDiscard(ctx, paths[i%len(paths)], fmt.Sprintf("flood-%d-%d", i, number), statistics)
			}
		})
	}
	sending.Wait()
	return statistics
}

// sendAndDiscard sends a request and reads its response without keeping it.
func (s *tier) sendAndDiscard(ctx context.Context, path, id string, statistics *floodStatistics) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+s.front()+path, strings.NewReader("hello"))
	if err != nil {
		s.Error(err)
		return
	}
	request.Host = tiercluster.ExampleHost
	for name, value := range map[string]string{
		"X-Request-Id": id, "X-Deadline-Ms": "3000", "Program": id, "Session": id, "Budget": "1000000", "X-Token-Count": "1,30",
	} {
		request.Header.Set(name, value)
	}
	if !strings.HasPrefix(path, "/chat") && !strings.HasPrefix(path, "/draft") {
		request.Header.Del("X-Token-Count") // stand-in hosts would send a stream
	}
	response, err := http.DefaultTransport.RoundTrip(request)
	if err != nil {
		statistics.broken.Add(1)
		return
	}
	defer response.Body.Close()
	_, err = io.Copy(io.Discard, response.Body)
	switch {
	case err != nil:
		statistics.broken.Add(1)
	case response.StatusCode == http.StatusOK:
		statistics.answered.Add(1)
	case response.StatusCode == http.StatusServiceUnavailable:
		statistics.rejected.Add(1)
	default:
		statistics.failed.Add(1)
	}
}

// checkFloods checks for each flood that the proxy stays within its memory and that ordinary requests are answered beside it.
func checkFloods(t *testing.T, floods []tierhost.Flood) {
	t.Helper()
	requireEnabled(t)
	for _, flood := range floods {
		for name, pause := range map[string]time.Duration{"": 0, ", slowly": trickledFloodPause} {
			t.Run(flood.Name+name, func(t *testing.T) {
				s := startTier(t)
				s.addFloodingHosts(&flood, pause)
				time.Sleep(time.Second) // until the hosts are known
				statistics := s.sendDuring(floodTime)
				t.Logf("%d requests answered, %d rejected, %d failed, %d broken off", statistics.answered.Load(), statistics.rejected.Load(),
					statistics.failed.Load(), statistics.broken.Load())
				s.checkOrdinaryRequests()
				checkMemory(t, s.proxy(), processMemoryMB)
			})
		}
	}
}

// Guards against hosts that send heads without end.
func TestProxyBoundsHeadsOfHosts(t *testing.T) { checkFloods(t, tierhost.HeadFloods()) }

// Guards against hosts that send bodies without end, also of responses that the proxy doesn't forward.
func TestProxyBoundsBodiesOfHosts(t *testing.T) { checkFloods(t, tierhost.BodyFloods()) }

// Guards against hosts that send events without end.
func TestProxyBoundsEventsOfHosts(t *testing.T) { checkFloods(t, tierhost.EventFloods()) }

// Guards against clients that don't read large responses of hosts that answer correctly.
func TestProxyBoundsResponsesOfSlowReaders(t *testing.T) {
	s := startTier(t)
	request := plainRequest()
	request.Path = fmt.Sprintf("/issue/x?%s=%d", tierhost.PaddingParameter, 8<<20)
	unread := Body(request)
	unread.IgnoresResponses = true
	crowd := Start(s.front(), 60, unread)
	defer crowd.Stop()
	crowd.AwaitSent()
	time.Sleep(2 * time.Second) // less than the timeout of the route
	s.checkOrdinaryRequests()
	checkMemory(t, s.proxy(), processMemoryMB)
}

// Guards against a limit of memory that a single large response meets.
func TestProxyForwardsLargeResponsesInCalm(t *testing.T) {
	s := startTier(t)
	for _, path := range []string{"/issue/x", "/lookup/x"} {
		for _, bytes := range []int{100, 100 << 10, 3 << 20, 60 << 20} {
			got, _ := s.call(http.MethodGet, fmt.Sprintf("%s?%s=%d", path, tierhost.PaddingParameter, bytes), nil, "")
			if got.Err != nil || got.Status != http.StatusOK || len(got.Body) != bytes+len("done by records") {
				t.Errorf("%s: a response of %d bytes: %d bytes of body, %s", path, bytes, len(got.Body), summary(got))
			}
		}
	}
	checkMemory(t, s.proxy(), processMemoryMB)
}
