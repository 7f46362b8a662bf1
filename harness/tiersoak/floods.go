package tiersoak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"otterseam/harness/tiercluster"
	"otterseam/harness/tierhost"
)

const (
	// floodUser selects the random numbers of the floods.
	floodUser        = 1 << 21
	maxFloodInterval = 600 * time.Millisecond // between the starts of two floods
	maxFloodTime     = 5 * time.Second
	slowFloodPause   = 20 * time.Millisecond
	// soundHosts is the number of hosts of each service that don't flood.
	soundHosts   = 2
	plainHosts   = 5
	plainSlots   = 16
	plainClients = 10
	plainTimeout = 3 * time.Second
)

// startFloods lets hosts flood, which overlap, and clients send plain requests. The function that it returns ends the floods.
func (s *soak) startFloods(ctx context.Context, load *sync.WaitGroup) (end func()) {
	for i := range plainClients {
		load.Go(func() { s.sendPlain(ctx, i) })
	}
	floodCtx, cancel := context.WithCancel(ctx)
	var floods sync.WaitGroup
	floods.Go(func() { s.playFloods(floodCtx, &floods) })
	return func() {
		cancel()
		floods.Wait()
	}
}

// playFloods starts floods of random hosts until the context ends. Some hosts of each service never flood.
func (s *soak) playFloods(ctx context.Context, floods *sync.WaitGroup) {
	random := s.random(floodUser)
	kinds := slices.Concat(tierhost.HeadFloods(), tierhost.BodyFloods(), tierhost.EventFloods())
	for ctx.Err() == nil {
		host := s.floodable[random.IntN(len(s.floodable))]
		flood := kinds[random.IntN(len(kinds))]
		pause := time.Duration(random.IntN(2)) * slowFloodPause
		length := time.Duration(random.Int64N(int64(maxFloodTime)))
		s.recordFlood(fmt.Sprintf("%s: %s, pause %s, for %s", host.ID, flood.Name, pause, length))
		host.Flood(&flood, pause)
		floods.Go(func() {
			sleep(ctx, length)
			host.Flood(nil, 0) // another flood of the same host ends with it
		})
		sleep(ctx, time.Duration(random.Int64N(int64(maxFloodInterval))))
	}
}

func (s *soak) recordFlood(text string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.floods = append(s.floods, text)
}

// addPlainHosts adds the hosts of the plain routes.
func (s *soak) addPlainHosts() error {
	for i := range plainHosts {
		if _, err := s.cluster.AddHost(fmt.Sprintf("records-%d", i), "records", plainSlots); err != nil {
			return err
		}
	}
	return nil
}

// selectFloodable selects the hosts that may flood.
func (s *soak) selectFloodable() {
	sound := map[string]int{}
	for _, host := range s.cluster.Hosts {
		if sound[host.Service]++; sound[host.Service] > soundHosts {
			s.floodable = append(s.floodable, host)
		}
	}
}

// sendPlain sends plain requests until the context ends, and counts those that are answered.
func (s *soak) sendPlain(ctx context.Context, number int) {
	random := rand.New(rand.NewPCG(s.options.Seed, floodUser+1+uint64(number)))
	fronts := s.cluster.FrontAddresses()
	client := &http.Client{Timeout: plainTimeout + time.Second}
	defer client.CloseIdleConnections()
	for request := 0; ctx.Err() == nil; request++ {
		path := []string{"/lookup/x", "/issue/x"}[random.IntN(2)]
		if s.callPlain(ctx, client, fronts[random.IntN(len(fronts))]+path, fmt.Sprintf("plain-%d-%d", number, request)) {
			s.mu.Lock()
			s.plainAnswers++
			s.mu.Unlock()
		}
		sleep(ctx, otherPause)
	}
}

// callPlain sends a plain request, drops its response, and reports whether that was a complete success.
func (s *soak) callPlain(ctx context.Context, client *http.Client, url, id string) bool {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+url, strings.NewReader("x"))
	if err != nil {
		return false
	}
	request.Host = tiercluster.ExampleHost
	request.GetBody = nil // so that the transport never sends the request again by itself
	request.Header.Set("X-Request-Id", id)
	request.Header.Set("X-Deadline-Ms", fmt.Sprint(plainTimeout.Milliseconds()))
	response, err := client.Do(request)
	if err != nil {
		return false
	}
	defer response.Body.Close()
	_, err = io.Copy(io.Discard, response.Body)
	return err == nil && response.StatusCode == http.StatusOK
}
