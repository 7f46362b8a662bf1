package proxy

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"otterseam/tier/codes"
	"otterseam/tier/programs"
	"otterseam/tier/rpc"
	"otterseam/tier/store"
)

// sweepingCommands is a number of commands among which every shard has a sweep.
const sweepingCommands = 512

// shardStore is a store that executes commands on the state machine of a shard, at times that the test sets.
type shardStore struct {
	older bool // the version does not tell the ChainTTL

	mu       sync.Mutex // guards all below
	state    *programs.State
	now      time.Time
	commands []string // encoded
}

func newShardStore() *shardStore {
	return &shardStore{state: programs.NewState(), now: time.UnixMilli(1_764_680_000_000)}
}

func (s *shardStore) handle(_ programs.CommandKind, m rpc.Message) {
	request, err := store.DecodeProgramRequest(m.Payload)
	if err != nil {
		panic(err)
	}
	result := s.apply(request.Command)
	if s.older {
		result.ChainTTL = 0
	}
	m.Answer(result.Code, result.Encode())
}

func (s *shardStore) apply(command []byte) programs.Result {
	s.mu.Lock()
	defer s.mu.Unlock()
	programs.Stamp(command, s.now.UnixMilli())
	s.commands = append(s.commands, string(command))
	return s.state.Apply(uint64(len(s.commands)), command).(programs.Result)
}

// advance lets time pass and applies so many commands that the shard deletes what has expired.
func (s *shardStore) advance(duration time.Duration) {
	s.mu.Lock()
	s.now = s.now.Add(duration)
	s.mu.Unlock()
	for range sweepingCommands {
		s.apply(programs.Fetch{Request: "none"}.Encode())
	}
}

// lastCommand returns the newest command that contains a text.
func (s *shardStore) lastCommand(text string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := len(s.commands) - 1; i >= 0; i-- {
		if strings.Contains(s.commands[i], text) {
			return s.commands[i]
		}
	}
	return ""
}

// turnCluster is a proxy with a shardStore and a host that streams one event, and holds a turn whose body ends with "slowly" until the
// test releases it.
type turnCluster struct {
	*testProxy
	store   *shardStore
	bodies  chan string // of the requests that the host has received
	release chan struct{}
}

func newTurnCluster(t *testing.T) *turnCluster {
	t.Helper()
	c := &turnCluster{testProxy: newTestProxy(t), store: newShardStore(), bodies: make(chan string, 16), release: make(chan struct{})}
	c.addStore(c.store.handle)
	c.addHost(func(r hostRequest) {
		c.bodies <- r.body
		if strings.HasSuffix(r.body, "slowly") {
			<-c.release
		}
		r.respond(streamOK + event(1) + lastChunk)
	})
	return c
}

// turn sends a turn of program p and checks the body that its host receives.
func (c *turnCluster) turn(id, previous, input, wantBody string) *client {
	c.Helper()
	connection := c.dial()
	connection.send("/turn/1", id, fmt.Sprintf("%sPrevious: %s\r\n", turnHeaders, previous), input)
	select {
	case body := <-c.bodies:
		if body != wantBody {
			c.Fatalf("turn %s: the host received %q, want %q", id, body, wantBody)
		}
	case <-time.After(10 * time.Second):
		if got := connection.receive(); got.StatusCode != http.StatusOK {
			c.Fatalf("turn %s: status %d", id, got.StatusCode)
		}
	}
	return connection
}

// finish checks that a turn is answered completely.
func (c *turnCluster) finish(connection *client) {
	c.Helper()
	if got := connection.receive(); got.StatusCode != http.StatusOK || got.text != events(1, 1) || got.err != nil {
		c.Fatalf("status %d, %q, %v", got.StatusCode, got.text, got.err)
	}
	c.awaitIdle()
}

// Guards against a turn that is answered completely and then unknown, because the turns that it continues expired while it ran. The
// route retains turns for 60 s, to which the stores add 10 s.
func TestTurnOutlivesTheChainThatItContinues(t *testing.T) {
	for name, test := range map[string]struct{ pause, duration time.Duration }{ // before and during the slow turn
		"begun within the retention period": {59 * time.Second, 14 * time.Second},
		"begun after the retention period":  {69 * time.Second, 2 * time.Second},
		"ended as the chain expires":        {69 * time.Second, 1001 * time.Millisecond},
		"ended before the chain expires":    {50 * time.Second, time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			c := newTurnCluster(t)
			c.finish(c.turn("r1", "", "one ", "one "))
			c.finish(c.turn("r2", "r1", "two ", "one e1\ntwo "))
			c.store.advance(test.pause)
			slow := c.turn("r3", "r2", "slowly", "one e1\ntwo e1\nslowly")
			c.store.advance(test.duration)
			close(c.release)
			c.finish(slow)
			c.finish(c.turn("r4", "r3", "four", "one e1\ntwo e1\nslowlye1\nfour"))
		})
	}
}

// A turn is stored with the texts of its chain only if the chain may expire, since every byte is sent to each replica. A store of an
// older version does not tell how long the chain is retained.
func TestTurnIsStoredWithItsChainOnlyIfThatMayExpire(t *testing.T) {
	for name, test := range map[string]struct {
		pause     time.Duration // before the turn
		older     bool          // the store does not tell the ChainTTL
		wantChain bool
	}{
		"at once":                             {0, false, false},
		"long before the chain expires":       {50 * time.Second, false, false},
		"within the time for storing":         {58 * time.Second, false, true},
		"a store of an older version":         {50 * time.Second, true, false},
		"after the retention period":          {65 * time.Second, false, true},
		"as late as the stores accept a turn": {70 * time.Second, false, true},
	} {
		t.Run(name, func(t *testing.T) {
			c := newTurnCluster(t)
			c.store.older = test.older
			c.finish(c.turn("r1", "", "one ", "one "))
			c.store.advance(test.pause)
			c.finish(c.turn("r2", "r1", "two", "one e1\ntwo"))
			stored := c.store.lastCommand("two")
			if strings.Contains(stored, "one e1\ntwo") != test.wantChain || strings.Contains(stored, "r1") == test.wantChain {
				t.Errorf("stored as %q", stored)
			}
		})
	}
}

// The decision compares the time until which the turn may be stored with the guarantee that counts from the begin of the turn.
func TestRetainedInput(t *testing.T) {
	begun := time.Now()
	for name, test := range map[string]struct {
		previous     string
		result       programs.Result
		elapsed      time.Duration
		wantPrevious string
		wantInput    string
	}{
		"first turn":             {"", programs.Result{}, time.Hour, "", "new"},
		"chain retained":         {"r1", programs.Result{ChainTTL: 70_000}, time.Minute, "r1", "new"},
		"chain within the skew":  {"r1", programs.Result{ChainTTL: 70_000}, time.Minute + 1, "", "chain new"},
		"older store, fast turn": {"r1", programs.Result{}, 10 * time.Second, "r1", "new"},
		"older store, slow turn": {"r1", programs.Result{}, 10*time.Second + 1, "", "chain new"},
	} {
		turn := &turn{
			request: &request{body: []byte("new")}, previous: test.previous, prompt: []byte("chain new"),
			chainExpiresAt: begun.Add(test.result.ChainGuarantee()),
		}
		previous, input := turn.retainedInput(begun.Add(test.elapsed))
		if previous != test.wantPrevious || string(input) != test.wantInput {
			t.Errorf("%s: %q and %q", name, previous, input)
		}
	}
}

// A turn for which the stores have no room gets a 503 at once. It was not charged, so nothing is settled.
func TestTurnWithoutRoomIsRejected(t *testing.T) {
	g := newTestProxy(t)
	commands := make(chan programs.CommandKind, 16)
	g.addStore(func(kind programs.CommandKind, m rpc.Message) {
		commands <- kind
		m.Answer(codes.StoreFull, nil)
	})
	g.addHost(func(hostRequest) { t.Error("a turn that was rejected reached a host") })
	connection := g.dial()
	connection.send("/turn/1", "1", turnHeaders, "hello")
	got := connection.receive()
	if got.StatusCode != http.StatusServiceUnavailable || got.Header.Get("Retry-After") == "" {
		t.Fatalf("status %d, header %v", got.StatusCode, got.Header)
	}
	g.awaitIdle()
	if len(commands) != 1 || <-commands != programs.CommandBegin {
		t.Fatalf("%d further commands", len(commands))
	}
}
