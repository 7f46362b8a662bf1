package main

import (
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"otterseam/harness/leakcheck"
)

const settings = `{"balancers":1,"classes":[{"name":"look","goal_time":0.5,"deadline":1,"effect":"idempotent"}]}`

// setConfig writes text to a file and sets EDGE_CONFIG to its path.
func setConfig(t *testing.T, text string) {
	path := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	t.Setenv("EDGE_CONFIG", path)
}

func TestStartErrorNamesTheCause(t *testing.T) {
	leakcheck.Check(t)
	inUse, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer inUse.Close()
	for text, want := range map[string]string{
		`{`:                                    "configuration",
		`{"listen":"127.0.0.1:0"}`:             "missing",
		`{"listen":5}`:                         "configuration",
		configText("127.0.0.1:0", "x"):         "seed",
		configText(inUse.Addr().String(), "1"): "address already in use",
		strings.Replace(configText("127.0.0.1:0", "1"), "idempotent", "unheard of", 1): "unknown effect",
	} {
		setConfig(t, text)
		if err := run(zerolog.Nop()); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: want an error containing %s, got %v", text, want, err)
		}
	}
	setConfig(t, configText("127.0.0.1:0", "1"))
	t.Setenv("EDGE_OPERATOR", "/no/such/file")
	if err := run(zerolog.Nop()); err == nil || !strings.Contains(err.Error(), "operator's file") {
		t.Errorf("missing operator's file: %v", err)
	}
	t.Setenv("EDGE_CONFIG", "")
	if err := run(zerolog.Nop()); err == nil {
		t.Error("started without a configuration")
	}
}

// configText returns a configuration with the given listen address and seed.
func configText(listen, seed string) string {
	return fmt.Sprintf(`{"listen":%q,"discovery":"127.0.0.1:1","seed":%q,"settings":%s}`, listen, seed, settings)
}

// logLines is a log output that passes each line to the test.
type logLines chan string

func (l logLines) Write(p []byte) (int, error) {
	l <- string(p)
	return len(p), nil
}

// waitFor waits for a line that contains part.
func (l logLines) waitFor(t *testing.T, part string) {
	t.Helper()
	for timeout := time.After(5 * time.Second); ; {
		select {
		case line := <-l:
			if strings.Contains(line, part) {
				return
			}
		case <-timeout:
			t.Fatalf("no log line contains %s", part)
		}
	}
}

// The gateway starts even if counter and discovery are unavailable, and SIGTERM ends it without an error.
func TestSIGTERMStopsGatewayWithoutCounterAndDiscovery(t *testing.T) {
	leakcheck.Check(t)
	setConfig(t, configText("127.0.0.1:0", "1"))
	log := make(logLines, 100)
	done := make(chan error, 1)
	go func() { done <- run(zerolog.New(log)) }()
	log.waitFor(t, `"up"`)
	if err := syscall.Kill(os.Getpid(), syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	select {
	case err := <-done:
		if err != nil {
			t.Fatalf("ended with %v", err)
		}
		log.waitFor(t, "terminated")
	case <-time.After(5 * time.Second):
		t.Fatal("did not end")
	}
}

// SIGHUP once terminated the process. It must apply the addresses of a replaced configuration, and reject an invalid one.
func TestSIGHUPAppliesReplacedConfiguration(t *testing.T) {
	leakcheck.Check(t)
	text := strings.Replace(configText("127.0.0.1:0", "1"), `"balancers":1`, `"balancers":1,"extra":{"counter":true}`, 1)
	setConfig(t, text)
	log := make(logLines, 100)
	done := make(chan error, 1)
	go func() { done <- run(zerolog.New(log)) }()
	log.waitFor(t, `"up"`)
	replace := func(text string) {
		if err := os.WriteFile(os.Getenv("EDGE_CONFIG"), []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		if err := syscall.Kill(os.Getpid(), syscall.SIGHUP); err != nil {
			t.Fatal(err)
		}
	}
	for _, bad := range []string{"{", strings.Replace(text, "127.0.0.1:1", "nowhere", 1)} {
		replace(bad)
		log.waitFor(t, "failed to reload")
	}
	var listeners []net.Listener
	for range 2 {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer l.Close()
		listeners = append(listeners, l)
	}
	replace(strings.Replace(strings.Replace(text, "127.0.0.1:1", listeners[0].Addr().String(), 1), `"seed"`,
		fmt.Sprintf(`"counter":%q,"seed"`, listeners[1].Addr()), 1))
	for _, l := range listeners {
		_ = l.(*net.TCPListener).SetDeadline(time.Now().Add(3 * time.Second))
		c, err := l.Accept()
		if err != nil {
			t.Fatal("a new address is not used: ", err)
		}
		defer c.Close()
	}
	if err := syscall.Kill(os.Getpid(), syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	if err := <-done; err != nil {
		t.Fatalf("ended with %v", err)
	}
}
