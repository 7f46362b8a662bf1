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

// freePort returns an unused port on the loopback interface.
func freePort(t *testing.T) int {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	return listener.Addr().(*net.TCPAddr).Port
}

// singleProcessSettings returns the settings of a cluster with a single control process.
func singleProcessSettings(t *testing.T) *settings.Settings {
	t.Helper()
	port := freePort(t)
	return &settings.Settings{
		Node: "ctl-a", IP: "127.0.0.1", DataDir: t.TempDir(), ListenControl: net.JoinHostPort("127.0.0.1", "0"),
		FirstPort: port, LastPort: port + 3, Seeds: []string{"127.0.0.1"}, Bootstrap: true, Heartbeat: time.Second,
	}
}

// When its context is cancelled, Run stops all goroutines that it started and returns no error.
func TestRunStopsAllGoroutines(t *testing.T) {
	logger, _ := test.NewNullLogger()
	s, err := New(singleProcessSettings(t), logrus.NewEntry(logger))
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
			t.Fatal("the cluster was not bootstrapped in time")
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
		t.Fatal("Run does not return")
	}
	checkNotRunning(t, "control.(*Server).supervise", "heartbeat.(*Members).Run", "heartbeat.(*Hosts).Report", "reconcile.(*Members).Run", "rpc.Serve")
}

// checkNotRunning fails the test if a goroutine is running one of the functions.
func checkNotRunning(t *testing.T, functions ...string) {
	t.Helper()
	stacks := make([]byte, 1<<20)
	stacks = stacks[:runtime.Stack(stacks, true)]
	for _, function := range functions {
		if strings.Contains(string(stacks), function+"(") {
			t.Errorf("%s is still running", function)
		}
	}
}

// If the API's address is in use, Run returns an error that names the setting.
func TestRunNamesSettingOfAddressInUse(t *testing.T) {
	conf := singleProcessSettings(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	conf.ListenControl = listener.Addr().String()
	logger, _ := test.NewNullLogger()
	s, err := New(conf, logrus.NewEntry(logger))
	if err != nil {
		t.Fatal(err)
	}
	err = s.Run(t.Context())
	if err == nil || errors.Is(err, http.ErrServerClosed) || !strings.Contains(err.Error(), "listen.control") {
		t.Fatalf("Run returned %v", err)
	}
}

// Background work that hangs does not block the shutdown.
func TestHangingBackgroundWorkDoesNotBlockShutdown(t *testing.T) {
	logger, hook := test.NewNullLogger()
	s := &Server{log: logrus.NewEntry(logger)}
	var work sync.WaitGroup
	work.Add(1)
	defer work.Done()
	begin := time.Now()
	s.awaitBackground(&work)
	if took := time.Since(begin); took < backgroundTimeout {
		t.Errorf("waited only %v", took)
	}
	if len(hook.AllEntries()) != 1 {
		t.Errorf("log entries: %+v", hook.AllEntries())
	}
}
