package tiersoak

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"

	"otterseam/harness/tiercluster"
	"otterseam/harness/tierhost"
)

const (
	budget        = 1 << 40 // tokens, never spent
	retryPause    = 200 * time.Millisecond
	maxTries      = 3
	otherPause    = 5 * time.Millisecond
	minSlowEvents = 10
	maxSlowTurn   = 22 * time.Second
)

// client is a program that sends one turn after another. It keeps using its connection to a front until that fails or the front closes
// it, and then takes another front.
type client struct {
	soak    *soak
	random  *rand.Rand
	program string
	fronts  []string
	front   int
	http    *http.Client
	last    *answered // the newest turn of this program, nil before the first
}

func (s *soak) newClient(number int) *client {
	random := s.random(uint64(number) + 1)
	transport := &http.Transport{MaxConnsPerHost: 1, DisableCompression: true}
	return &client{
		soak: s, random: random, program: s.names[number], fronts: s.cluster.FrontAddresses(), front: random.IntN(s.size.fronts),
		http: &http.Client{Transport: transport, Timeout: turnTimeout + time.Second},
	}
}

// run sends turns until the context ends.
func (c *client) run(ctx context.Context) {
	defer c.http.CloseIdleConnections()
	for ctx.Err() == nil {
		c.nextTurn(ctx)
		sleep(ctx, c.pauseBetweenTurns())
	}
}

// pauseBetweenTurns is mostly short, sometimes as long as the retention period, and sometimes as long as the stores accept a turn.
func (c *client) pauseBetweenTurns() time.Duration {
	switch draw := c.random.IntN(20); {
	case draw < 12:
		return c.upTo(300 * time.Millisecond)
	case draw < 17:
		return c.upTo(retention)
	default:
		return retention + c.upTo(storeMargin)
	}
}

func (c *client) upTo(limit time.Duration) time.Duration {
	return time.Duration(c.random.Int64N(int64(limit)))
}

// nextTurn sends a turn, with tries after failures, and remembers it if it was answered.
func (c *client) nextTurn(ctx context.Context) {
	t := c.newTurn()
	for range maxTries {
		try := *t
		c.soak.history.begin(&try)
		got := c.send(ctx, &try)
		if ctx.Err() != nil && got.err != nil {
			return // the client itself has given up
		}
		if a := c.soak.history.end(&try, got); a != nil {
			c.last = a
			return
		}
		if got.status == http.StatusNotFound {
			c.last = nil
			return
		}
		sleep(ctx, retryPause)
	}
}

// newTurn draws a turn: which one it continues, and whether it runs longer than its chain is retained.
func (c *client) newTurn() *turn {
	t := &turn{program: c.program, previous: c.last, input: fmt.Sprintf("i%d.", c.random.IntN(1000)), events: 1 + c.random.IntN(3)}
	switch c.random.IntN(10) {
	case 0:
		t.previous = nil
	case 1, 2: // of another program
		t.previous = c.soak.history.recent(c.random.IntN)
	}
	if c.random.IntN(2) == 0 {
		t.events = minSlowEvents
		t.pause = c.upTo(maxSlowTurn) / minSlowEvents
	}
	return t
}

// send sends a turn to the client's front.
func (c *client) send(ctx context.Context, t *turn) outcome {
	header := map[string]string{"X-Request-Id": t.id}
	if t.previous != nil {
		header["Previous"] = t.previous.id
	}
	path := fmt.Sprintf("/chat/x?%s=%d", tierhost.PauseParameter, t.pause.Milliseconds())
	return c.post(ctx, path, header, t.events, t.input)
}

// post sends a request of the program. After a failure of the connection the client takes another front.
func (c *client) post(ctx context.Context, path string, header map[string]string, events int, body string) outcome {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.fronts[c.front]+path, strings.NewReader(body))
	if err != nil {
		return outcome{err: err}
	}
	request.Host = tiercluster.ExampleHost
	request.GetBody = nil // so that the transport never sends the request again by itself
	request.Header.Set("Program", c.program)
	request.Header.Set("Session", c.program)
	request.Header.Set("Budget", strconv.Itoa(budget))
	request.Header.Set("X-Token-Count", fmt.Sprintf("1,%d", events*tokensPerEvent))
	request.Header.Set("X-Deadline-Ms", strconv.FormatInt(turnTimeout.Milliseconds(), 10))
	for name, value := range header {
		request.Header.Set(name, value)
	}
	response, err := c.http.Do(request)
	if err != nil {
		c.front = c.random.IntN(len(c.fronts))
		return outcome{err: err}
	}
	defer response.Body.Close()
	text, err := readAnswer(response.Body)
	return outcome{response.StatusCode, string(text), err}
}

// maxAnswerBytes is more than a sound host answers. A client closes its connection after so many bytes.
const maxAnswerBytes = 1 << 20

// errLongAnswer is the error of an answer that no sound host has sent.
var errLongAnswer = errors.New("the answer is too long")

func readAnswer(body io.Reader) ([]byte, error) {
	text, err := io.ReadAll(io.LimitReader(body, maxAnswerBytes+1))
	if err == nil && len(text) > maxAnswerBytes {
		err = errLongAnswer
	}
	return text, err
}

// runOthers sends turns that are not retained until the context ends, so that the shards execute many commands and sweep.
func (c *client) runOthers(ctx context.Context) {
	defer c.http.CloseIdleConnections()
	for number := 0; ctx.Err() == nil; number++ {
		header := map[string]string{"X-Request-Id": fmt.Sprintf("%s-other-%d", c.program, number)}
		if got := c.post(ctx, "/draft/x", header, 1, "x"); got.status == http.StatusOK && got.err == nil {
			c.soak.history.other()
		}
		sleep(ctx, otherPause)
	}
}

// sleep waits for a duration or until the context ends.
func sleep(ctx context.Context, duration time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(duration):
	}
}
