package main

import (
	"errors"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	drainTime = 2 * time.Second // drain_ms
	cutFor    = 5 * time.Second // kinds, srv_cut: for_s, how long (5)
	// lateBy is how long after the acknowledgement of "draining" a heartbeat arrives that the host sent before it.
	lateBy = 4950 * time.Millisecond
	// endsAfter is how long after the acknowledgement the host deregisters and ends: after the cut, and long after drain_ms. Of its
	// heartbeats, after 1.2, 2.2, 3.2 and 4.2 s, none gets through in the cut, and the next would have been at 5.2 s.
	endsAfter = 5100 * time.Millisecond
)

var errNoAck = errors.New("a heartbeat was not acknowledged in calm time")

// playLate: a heartbeat of a host comes late, after the host has said that it leaves, and the host is cut off from control for a while.
func playLate(r *record, trouble bool) (broken bool, err error) {
	t, err := newTier(r, 3, 3, 2)
	if err != nil {
		return false, err
	}
	defer t.stop()
	var hosts []*host
	for i := range 5 { // one of five is a share of .2
		hosts = append(hosts, &host{id: fmt.Sprintf("i-records-%d", i+1), service: "records", slots: 6, pause: 104 * time.Millisecond})
	}
	if err := t.run(config(1, 5000, keep.Seconds()), hosts...); err != nil {
		return false, err
	}
	time.Sleep(lead)

	leaving := hosts[0]
	stop := make(chan struct{})
	var clients sync.WaitGroup
	var sent, served atomic.Int64
	unserved := &idSet{ids: map[string]bool{}}
	for range 30 {
		clients.Go(func() { t.callUntil(stop, &sent, &served, unserved) })
	}
	time.Sleep(2 * time.Second)

	leaving.pauseBeats()
	late := leaving.heartbeatBody("ready") // on its way; the host gives it up after a second and sends the next one to another gateway
	client := &http.Client{Timeout: time.Second}
	time.Sleep(time.Second)
	if !leaving.sendBody(client, t.controls()[1], leaving.heartbeatBody("ready")) {
		return false, errNoAck
	}
	if !leaving.sendBody(client, t.controls()[1], leaving.heartbeatBody("draining")) {
		return false, errNoAck
	}
	acknowledged := time.Now()
	r.say("host %s says that it leaves: acknowledged", leaving.id)
	beat := func() {
		if !leaving.sendBody(client, t.controls()[1], leaving.heartbeatBody("draining")) {
			r.note("a heartbeat of %s was not acknowledged", leaving.id)
		}
	}
	if trouble {
		r.say("host %s is cut off from control for %.0f s, not from the fronts", leaving.id, cutFor.Seconds())
		time.Sleep(lateBy - time.Since(acknowledged))
		r.say("its late heartbeat arrives, %.2f s after the acknowledgement: acknowledged %v",
			time.Since(acknowledged).Seconds(), leaving.sendBody(client, t.controls()[0], late))
	} else {
		for next := heartbeatInterval; next < endsAfter; next += heartbeatInterval {
			time.Sleep(next - time.Since(acknowledged))
			beat()
		}
	}
	time.Sleep(endsAfter - time.Since(acknowledged))
	if !leaving.deregister(client, t.controls()[1]) {
		return false, errNoAck
	}
	r.say("host %s deregisters and ends, %.2f s after the acknowledgement", leaving.id, time.Since(acknowledged).Seconds())
	_ = leaving.server.Close()
	time.Sleep(time.Second)
	close(stop)
	clients.Wait()

	tooLate := 0
	var tooLateIDs []string
	for _, each := range leaving.executionsSince(acknowledged.Add(drainTime)) {
		tooLate++
		tooLateIDs = append(tooLateIDs, each.request)
		r.note("request %s ran at the leaving host %.2f s after the acknowledgement", each.request, each.at.Sub(acknowledged).Seconds())
	}
	r.say("%d requests ran there and were not served: %v", unserved.count(tooLateIDs), tooLateIDs)
	r.say("%d requests sent, %d served; %d reached the leaving host later than drain_ms after the acknowledgement (DRAIN wants none)", sent.Load(), served.Load(), tooLate)
	return tooLate > 0, nil
}

// idSet is a set of requests.
type idSet struct {
	mu  sync.Mutex
	ids map[string]bool
}

func (s *idSet) add(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ids[id] = true
}

func (s *idSet) count(ids []string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	count := 0
	for _, id := range ids {
		if s.ids[id] {
			count++
		}
	}
	return count
}

// callUntil sends plain requests, which may run once, one after the other.
func (t *tier) callUntil(stop <-chan struct{}, sent, served *atomic.Int64, unserved *idSet) {
	client := &http.Client{Timeout: 3 * time.Second}
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		default:
		}
		id := newID()
		request, err := http.NewRequest(http.MethodPost, "http://"+t.fronts()[i%len(t.fronts())]+"/issue/1", strings.NewReader("x"))
		if err != nil {
			return
		}
		request.Host = clientHost
		request.Header.Set("X-Request-Id", id)
		request.Header.Set("X-Deadline-Ms", "3000")
		sent.Add(1)
		response, err := client.Do(request)
		status := 0
		if err == nil {
			_ = response.Body.Close()
			status = response.StatusCode
		}
		if status == http.StatusOK {
			served.Add(1)
		} else {
			unserved.add(id)
		}
		t.record.note("request %s: status %d", id, status)
		time.Sleep(50 * time.Millisecond)
	}
}

// heartbeatBody returns the body of the host's next heartbeat.
func (h *host) heartbeatBody(state string) string {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.sequence++
	return fmt.Sprintf(`{"service":%q,"address":%q,"zone":%q,"version":"v1","slots":%d,"state":%q,"cold_left_ms":0,"stage":"both",`+
		`"models":[{"name":"m","version":1,"adapters":[]}],"seq_no":%d}`, h.service, h.address, h.zone, h.slots, state, h.sequence)
}

// sendBody sends a heartbeat and reports whether it was acknowledged.
func (h *host) sendBody(client *http.Client, control, body string) bool {
	response, err := client.Post("http://"+control+"/v1/instances/"+h.id+"/heartbeat", "application/json", strings.NewReader(body))
	if err != nil {
		return false
	}
	defer response.Body.Close()
	h.tier.record.note("heartbeat of %s to %s: status %d; %s", h.id, control, response.StatusCode, body)
	return response.StatusCode/100 == 2
}

// deregister says that the host is gone and reports whether that was acknowledged.
func (h *host) deregister(client *http.Client, control string) bool {
	response, err := client.Post("http://"+control+"/v1/instances/"+h.id+"/deregister", "application/json", nil)
	if err != nil {
		return false
	}
	defer response.Body.Close()
	h.tier.record.note("deregistration of %s at %s: status %d", h.id, control, response.StatusCode)
	return response.StatusCode/100 == 2
}

// pauseBeats ends the host's own heartbeats; the case sends them from then on.
func (h *host) pauseBeats() { h.cancel() }

// executionsSince returns the requests that the host began to work on since a time.
func (h *host) executionsSince(since time.Time) []execution {
	h.mu.Lock()
	defer h.mu.Unlock()
	var found []execution
	for _, each := range h.executions {
		if each.at.After(since) {
			found = append(found, each)
		}
	}
	return found
}
