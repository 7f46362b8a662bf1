package agent

import (
	"context"
	"errors"
	"io"
	"net"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"otterseam/tier/codes"
	"otterseam/tier/controlclient"
	"otterseam/tier/feed"
	"otterseam/tier/rpc"
	"otterseam/tier/settings"
	"otterseam/tier/timeline"
)

const testTimeout = 10 * time.Second

func discardLogger() *logrus.Entry {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	return logrus.NewEntry(logger)
}

// controlStub is a stub of a control process. It publishes a view and keeps the observations that it receives.
type controlStub struct {
	port         int
	view         *feed.View
	observations chan []byte
}

func startControl(t *testing.T) *controlStub {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	c := &controlStub{port: listener.Addr().(*net.TCPAddr).Port, view: feed.NewView(), observations: make(chan []byte, 1)}
	publisher := &feed.Publisher{View: c.view}
	go rpc.Serve(listener, func(m rpc.Message) {
		switch m.Kind {
		case feed.KindSubscribe:
			publisher.Handle(m)
		case controlclient.KindHostObservations:
			c.observations <- m.Payload
			m.Answer(codes.OK, nil)
		}
	})
	return c
}

// startAgent starts an agent whose only seed is the stub, and returns a connection to the agent. The cleanup of the test stops the
// agent and waits for it.
func startAgent(t *testing.T, control *controlStub, handler rpc.Handler) *rpc.Conn {
	t.Helper()
	a, err := New(&settings.Settings{FirstPort: control.port, Seeds: []string{"127.0.0.1"}}, discardLogger())
	if err != nil {
		t.Fatal(err)
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		a.serve(ctx, listener)
	}()
	t.Cleanup(func() {
		cancel()
		select {
		case <-ended:
		case <-time.After(testTimeout):
			t.Error("the agent is still running after its context has ended")
		}
	})
	conn, err := rpc.Dial(t.Context(), listener.Addr().String(), handler)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(conn.Close)
	return conn
}

func TestNewRequiresSeeds(t *testing.T) {
	if _, err := New(&settings.Settings{}, discardLogger()); err == nil {
		t.Fatal("New accepted settings without seeds")
	}
}

func TestRunFailsIfItCannotListen(t *testing.T) {
	a, err := New(&settings.Settings{FirstPort: 1 << 16, Seeds: []string{"127.0.0.1"}}, discardLogger())
	if err != nil {
		t.Fatal(err)
	}
	if err := a.Run(t.Context()); err == nil {
		t.Fatal("Run succeeded with an invalid port")
	}
}

func TestViewOfControlReachesTheProxy(t *testing.T) {
	control := startControl(t)
	control.view.Put(feed.SectionHost, "host-1", 7, []byte("ready"))
	received := make(chan feed.Update, 16)
	conn := startAgent(t, control, func(m rpc.Message) {
		if update, err := feed.DecodeUpdate(m.Payload); m.Kind == feed.KindUpdate && err == nil {
			received <- update
		}
	})
	if _, err := conn.Call(t.Context(), feed.KindSubscribe, feed.SubscribeRequest{}.Encode()); err != nil {
		t.Fatal(err)
	}
	timeout := time.After(testTimeout)
	for {
		select {
		case update := <-received:
			if update.Revision == 7 && len(update.Items) == 1 && update.Items[0].Key == "host-1" {
				return
			}
		case <-timeout:
			t.Fatal("the proxy did not receive the host")
		}
	}
}

func TestObservationsOfTheProxyReachControl(t *testing.T) {
	control := startControl(t)
	conn := startAgent(t, control, nil)
	conn.Send(controlclient.KindHostObservations, []byte("a window"))
	select {
	case got := <-control.observations:
		if string(got) != "a window" {
			t.Fatalf("control received %q", got)
		}
	case <-time.After(testTimeout):
		t.Fatal("control received no observations")
	}
}

func TestCallsAreAnswered(t *testing.T) {
	conn := startAgent(t, startControl(t), nil)
	for name, test := range map[string]struct {
		kind rpc.Kind
		want error
	}{
		"timeline":     {timeline.KindTimeline, nil},
		"unknown kind": {999, codes.Malformed},
	} {
		t.Run(name, func(t *testing.T) {
			if _, err := conn.Call(t.Context(), test.kind, nil); !errors.Is(err, test.want) {
				t.Fatalf("answered %v", err)
			}
		})
	}
}

// Reports that arrive while the queue is full are dropped, and the sender is not blocked.
func TestReportsAreDroppedWhenTheQueueIsFull(t *testing.T) {
	a, err := New(&settings.Settings{Seeds: []string{"127.0.0.1"}}, discardLogger())
	if err != nil {
		t.Fatal(err)
	}
	for range maxQueuedReports + 3 {
		a.queueReport(nil)
	}
	if len(a.reports) != maxQueuedReports {
		t.Fatalf("%d reports are queued", len(a.reports))
	}
}
