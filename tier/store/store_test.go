package store

import (
	"context"
	"errors"
	"net"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/sirupsen/logrus/hooks/test"

	"otterseam/tier/codes"
	"otterseam/tier/controlclient"
	"otterseam/tier/directory"
	"otterseam/tier/feed"
	"otterseam/tier/programs"
	"otterseam/tier/replica"
	"otterseam/tier/rpc"
	"otterseam/tier/settings"
	"otterseam/tier/timeline"
)

const (
	testTimeout = 10 * time.Second
	testCluster = 7
	testShard   = 3
)

func discardLog() *logrus.Entry {
	logger, _ := test.NewNullLogger()
	return logrus.NewEntry(logger)
}

// newServer returns a store process on an empty disk that does not run.
func newServer(t *testing.T) *Server {
	t.Helper()
	s, err := New(&settings.Settings{DataDir: t.TempDir(), IP: "127.0.0.1", FirstPort: 1, Seeds: []string{"127.0.0.1"}, Node: "store-a"}, discardLog())
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// setShard puts a shard with a view into the shard map of a store and applies the map.
func setShard(s *Server, revision, epoch uint64, primaryIncarnation uint64, replicas ...uint64) {
	view := replica.View{Epoch: epoch, Primary: replicas[0], InSync: replicas, Replicas: replicas, MinInSync: 1}
	shard := directory.Shard{ID: testShard, Total: 64, View: view, PrimaryIncarnation: primaryIncarnation}
	s.view.SetClusterID(testCluster)
	s.view.Put(feed.SectionShard, directory.ShardKey(testShard), revision, shard.Encode())
	s.applyShardMap()
}

func (s *Server) shardView() (view replica.View) {
	s.node.WithGroup(testShard, func(g *replica.Group) { view = g.View() })
	return view
}

func TestNewRequiresItsSettings(t *testing.T) {
	for name, s := range map[string]*settings.Settings{
		"data_dir": {Seeds: []string{"127.0.0.1"}},
		"seeds":    {DataDir: t.TempDir()},
	} {
		var missing *settings.FieldError
		if _, err := New(s, discardLog()); !errors.As(err, &missing) || missing.Key != name {
			t.Errorf("without %s: %v", name, err)
		}
	}
}

func TestShardMapIsApplied(t *testing.T) {
	const other = 1
	for name, test := range map[string]struct {
		// change sets a later map. In the first one the store is primary of the shard at epoch 2.
		change    func(s *Server)
		holds     bool
		wantEpoch uint64
	}{
		"led here":                      {func(*Server) {}, true, 2},
		"led elsewhere":                 {func(s *Server) { setShard(s, 2, 3, 9, other, s.self.Identity) }, true, 3},
		"moved away":                    {func(s *Server) { setShard(s, 2, 3, 9, other) }, false, 0},
		"older map, moved away":         {func(s *Server) { setShard(s, 2, 1, 9, other) }, true, 2},
		"led by an earlier incarnation": {func(s *Server) { setShard(s, 2, 3, s.self.Incarnation+1, s.self.Identity) }, true, 2},
	} {
		t.Run(name, func(t *testing.T) {
			s := newServer(t)
			setShard(s, 1, 2, s.self.Incarnation, s.self.Identity)
			test.change(s)
			if holds := s.node.HasGroup(testShard); holds != test.holds {
				t.Fatalf("holds the shard: %v", holds)
			}
			if got := s.shardView().Epoch; got != test.wantEpoch {
				t.Fatalf("the shard is at epoch %d, want %d", got, test.wantEpoch)
			}
		})
	}
}

// The shard map of a cluster other than the disk's opens no shard.
func TestMapOfOtherClusterIsIgnored(t *testing.T) {
	s := newServer(t)
	if !s.node.BindCluster(testCluster + 1) {
		t.Fatal("an empty disk cannot be bound")
	}
	setShard(s, 1, 2, s.self.Incarnation, s.self.Identity)
	if s.node.HasGroup(testShard) {
		t.Fatal("the shard was opened")
	}
}

func TestHandleRejectsCalls(t *testing.T) {
	s := newServer(t)
	setShard(s, 1, 2, 9, 1, s.self.Identity) // another store leads the shard
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go rpc.Serve(listener, s.handle)
	client := rpc.NewClient(listener.Addr().String(), nil)
	t.Cleanup(client.Close)
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	fetch := programs.Fetch{Request: "turn"}.Encode()
	for name, test := range map[string]struct {
		kind    rpc.Kind
		payload []byte
		want    error
	}{
		"unknown kind":         {999, nil, codes.Malformed},
		"no shard":             {KindProgram, []byte{0, 0}, codes.Malformed},
		"no command":           {KindProgram, ProgramRequest{Shard: testShard}.Encode(), codes.Malformed},
		"shard led elsewhere":  {KindProgram, ProgramRequest{Shard: testShard, Command: fetch}.Encode(), codes.NotPrimary},
		"shard not held":       {KindProgram, ProgramRequest{Shard: testShard + 1, Command: fetch}.Encode(), codes.NotPrimary},
		"timeline is answered": {timeline.KindTimeline, nil, nil},
	} {
		t.Run(name, func(t *testing.T) {
			if _, err := client.Call(ctx, test.kind, test.payload); !errors.Is(err, test.want) {
				t.Fatalf("answered %v, not %v", err, test.want)
			}
		})
	}
}

// A store whose disk is bound to a cluster sends no heartbeats before it has a view of that cluster.
func TestHeartbeatsRequireViewOfOwnCluster(t *testing.T) {
	for name, test := range map[string]struct {
		prepare func(s *Server)
		want    bool
	}{
		"empty disk":             {func(*Server) {}, true},
		"disk without a view":    {func(s *Server) { s.node.BindCluster(testCluster) }, false},
		"disk with its own view": {func(s *Server) { setShard(s, 1, 2, 9, 1) }, true},
	} {
		t.Run(name, func(t *testing.T) {
			s := newServer(t)
			test.prepare(s)
			if got := s.mayHeartbeat(); got != test.want {
				t.Fatalf("sends heartbeats: %v", got)
			}
		})
	}
}

// A store that drains reports that it is leaving in its heartbeats, and waits while a shard needs it.
func TestDrain(t *testing.T) {
	for name, test := range map[string]struct {
		prepare func(s *Server)
		waits   bool
	}{
		"without shards":          {func(*Server) {}, false},
		"only replica of a shard": {func(s *Server) { setShard(s, 1, 2, s.self.Incarnation, s.self.Identity) }, true},
		"shard moved away":        {func(s *Server) { setShard(s, 1, 2, 9, 1) }, false},
	} {
		t.Run(name, func(t *testing.T) {
			s := newServer(t)
			test.prepare(s)
			if s.heartbeat().Leaving {
				t.Fatal("the heartbeat reports leaving before the store drains")
			}
			ctx, cancel := context.WithTimeout(t.Context(), 2*watchInterval)
			defer cancel()
			s.Drain(ctx)
			if waited := ctx.Err() != nil; waited != test.waits {
				t.Fatalf("waited until its context ended: %v", waited)
			}
			if !s.heartbeat().Leaving {
				t.Fatal("the heartbeat does not report leaving although the store drains")
			}
		})
	}
}

// A request to change the in-sync set marks its shard, so that no second request is made until it has ended.
func TestOneInSyncChangeAtATime(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	requests := make(chan rpc.Message, 8)
	go rpc.Serve(listener, func(m rpc.Message) { requests <- m })
	s := newServer(t)
	s.control = controlclient.New(s.clients, func() []string { return []string{listener.Addr().String()} })
	s.changing[testShard] = true
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	go s.requestChange(ctx, controlclient.InSyncChange{Shard: testShard, Epoch: 2, Replica: 9, Admit: true})
	select {
	case m := <-requests:
		change, err := controlclient.DecodeInSyncChange(m.Payload)
		if err != nil || m.Kind != controlclient.KindInSyncChange || change.Shard != testShard || !change.Admit {
			t.Fatalf("%+v, %v", change, err)
		}
		m.Answer(codes.OK, nil)
	case <-ctx.Done():
		t.Fatal("no request was received")
	}
	for {
		s.mu.Lock()
		busy := s.changing[testShard]
		s.mu.Unlock()
		if !busy {
			return
		}
		if ctx.Err() != nil {
			t.Fatal("the shard is still marked after the request has ended")
		}
		time.Sleep(time.Millisecond)
	}
}

func TestRunEndsWithItsContext(t *testing.T) {
	s := newServer(t)
	s.self.Address = "127.0.0.1:0"
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- s.Run(ctx) }()
	time.Sleep(2 * watchInterval)
	cancel()
	select {
	case err := <-ended:
		if err != nil {
			t.Fatal(err)
		}
	case <-time.After(testTimeout):
		t.Fatal("Run did not return after its context was cancelled")
	}
}
