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

// configure has EDGE_CONFIG name a file with that text.
func configure(t *testing.T, text string) {
	path := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	t.Setenv("EDGE_CONFIG", path)
}

func TestStartFailsWithWhatIsWrong(t *testing.T) {
	leakcheck.Check(t)
	taken, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer taken.Close()
	for text, want := range map[string]string{
		`{`:                                    "configuration",
		`{"listen":"127.0.0.1:0"}`:             "missing",
		`{"listen":5}`:                         "configuration",
		configText("127.0.0.1:0", "x"):         "seed",
		configText(taken.Addr().String(), "1"): "address already in use",
		strings.Replace(configText("127.0.0.1:0", "1"), "idempotent", "unheard of", 1): "unknown effect",
	} {
		configure(t, text)
		if err := run(zerolog.Nop()); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: want an error that names %s, got %v", text, want, err)
		}
	}
	configure(t, configText("127.0.0.1:0", "1"))
	t.Setenv("EDGE_OPERATOR", "/no/such/file")
	if err := run(zerolog.Nop()); err == nil || !strings.Contains(err.Error(), "operator's file") {
		t.Errorf("an operator's file that is missing: %v", err)
	}
	t.Setenv("EDGE_CONFIG", "")
	if err := run(zerolog.Nop()); err == nil {
		t.Error("started without a configuration")
	}
}

// configText is a configuration that listens at an address.
func configText(listen, seed string) string {
	return fmt.Sprintf(`{"listen":%q,"discovery":"127.0.0.1:1","seed":%q,"settings":%s}`, listen, seed, settings)
}

// logLines is a log that is read line by line.
type logLines chan string

func (l logLines) Write(p []byte) (int, error) {
	l <- string(p)
	return len(p), nil
}

// until waits for a line with a part in it.
func (l logLines) until(t *testing.T, part string) {
	t.Helper()
	for late := time.After(5 * time.Second); ; {
		select {
		case line := <-l:
			if strings.Contains(line, part) {
				return
			}
		case <-late:
			t.Fatalf("no line with %s came", part)
		}
	}
}

// With neither counter nor discovery to be had the api gateway comes up all the same, and SIGTERM ends it well.
func TestSIGTERMEndsAGatewayWithoutCounterAndDiscovery(t *testing.T) {
	leakcheck.Check(t)
	configure(t, configText("127.0.0.1:0", "1"))
	log := make(logLines, 100)
	done := make(chan error, 1)
	go func() { done <- run(zerolog.New(log)) }()
	log.until(t, `"up"`)
	if err := syscall.Kill(os.Getpid(), syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	select {
	case err := <-done:
		if err != nil {
			t.Fatalf("ended with %v", err)
		}
		log.until(t, "terminated")
	case <-time.After(5 * time.Second):
		t.Fatal("did not end")
	}
}

// SIGHUP ended the process. The file replaced names other addresses, which are taken up; one that can't be used is not.
func TestSIGHUPTakesUpAReplacedConfiguration(t *testing.T) {
	leakcheck.Check(t)
	text := strings.Replace(configText("127.0.0.1:0", "1"), `"balancers":1`, `"balancers":1,"extra":{"counter":true}`, 1)
	configure(t, text)
	log := make(logLines, 100)
	done := make(chan error, 1)
	go func() { done <- run(zerolog.New(log)) }()
	log.until(t, `"up"`)
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
		log.until(t, "not used")
	}
	var at []net.Listener
	for range 2 {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer l.Close()
		at = append(at, l)
	}
	replace(strings.Replace(strings.Replace(text, "127.0.0.1:1", at[0].Addr().String(), 1), `"seed"`,
		fmt.Sprintf(`"counter":%q,"seed"`, at[1].Addr()), 1))
	for _, l := range at {
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
