package control

import (
	"context"
	"errors"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/sirupsen/logrus/hooks/test"

	"otterseam/tier/settings"
)

// freePort is a port of loopback that nobody listens on.
func freePort(t *testing.T) int {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	return listener.Addr().(*net.TCPAddr).Port
}

// aloneSettings are those of a cluster of one control process.
func aloneSettings(t *testing.T) *settings.Settings {
	t.Helper()
	port := freePort(t)
	return &settings.Settings{
		Node: "ctl-a", IP: "127.0.0.1", DataDir: t.TempDir(), ListenControl: net.JoinHostPort("127.0.0.1", "0"),
		FirstPort: port, LastPort: port + 3, Seeds: []string{"127.0.0.1"}, Bootstrap: true, Heartbeat: time.Second,
	}
}

// A control process that is told to end ends all that it started, and says so without an error.
func TestRunEndsWhatItStarted(t *testing.T) {
	logger, _ := test.NewNullLogger()
	s, err := New(aloneSettings(t), logrus.NewEntry(logger))
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	ended := make(chan error, 1)
	go func() { ended <- s.Run(ctx) }()
	deadline := time.Now().Add(20 * time.Second)
	for s.status.MayDecide() != nil {
		if time.Now().After(deadline) {
			t.Fatal("no cluster was bootstrapped")
		}
		time.Sleep(10 * time.Millisecond)
	}
	cancel()
	select {
	case err := <-ended:
		if err != nil {
			t.Fatal(err)
		}
	case <-time.After(20 * time.Second):
		t.Fatal("the process does not end")
	}
	checkNoneRuns(t, "control.(*Server).supervise", "heartbeat.(*Members).Run", "heartbeat.(*Hosts).Report", "reconcile.(*Members).Run", "rpc.Serve")
}

// checkNoneRuns fails the test if a goroutine is in one of the functions.
func checkNoneRuns(t *testing.T, functions ...string) {
	t.Helper()
	stacks := make([]byte, 1<<20)
	stacks = stacks[:runtime.Stack(stacks, true)]
	for _, function := range functions {
		if strings.Contains(string(stacks), function+"(") {
			t.Errorf("%s still runs", function)
		}
	}
}

// A control process that can't listen ends with an error that names the setting.
func TestRunNamesTheAddressThatIsTaken(t *testing.T) {
	own := aloneSettings(t)
	taken, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer taken.Close()
	own.ListenControl = taken.Addr().String()
	logger, _ := test.NewNullLogger()
	s, err := New(own, logrus.NewEntry(logger))
	if err != nil {
		t.Fatal(err)
	}
	err = s.Run(t.Context())
	if err == nil || errors.Is(err, http.ErrServerClosed) || !strings.Contains(err.Error(), "listen.control") {
		t.Fatalf("ended with %v", err)
	}
}

// Work that hangs doesn't keep the process from ending.
func TestWorkThatHangsIsNotWaitedForLong(t *testing.T) {
	logger, hook := test.NewNullLogger()
	s := &Server{log: logrus.NewEntry(logger)}
	var work sync.WaitGroup
	work.Add(1)
	defer work.Done()
	begin := time.Now()
	s.awaitBackground(&work)
	if took := time.Since(begin); took < backgroundTimeout {
		t.Errorf("waited %v", took)
	}
	if len(hook.AllEntries()) != 1 {
		t.Errorf("logged %+v", hook.AllEntries())
	}
}
