package tiercluster

import (
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"otterseam/tier/codes"
)

const (
	// largeConfig is the size of a configuration of which a hundred are more than a member's log is kept for.
	largeConfig   = 100_000
	largeChanges  = 110
	changesADay   = 260
	awayRestarts  = 4
	changesBeside = 5 // beside each restart
)

// largeConfigOf is a configuration padded to about a thousand routes' size.
func largeConfigOf(version uint64) string {
	return Config(version) + strings.Repeat(" ", largeConfig)
}

// changes replaces the configuration so many times.
func (w *world) changes(version uint64, count int, config func(uint64) string) uint64 {
	w.Helper()
	for range count {
		if got := w.cluster.ReplaceConfig(version, config(version+1), limit); got.Err != nil || got.Status != http.StatusOK {
			w.Fatalf("version %d: status %d, %v", version+1, got.Status, got.Err)
		}
		version++
	}
	return version
}

// checkVersionWithout kills control processes one after the other, and has each of the others answer with the newest configuration.
func (w *world) checkVersionWithout(version uint64, names ...string) {
	w.Helper()
	for _, name := range names {
		machine := w.cluster.Machine(name)
		machine.Kill()
		for _, control := range w.cluster.ControlAddresses() {
			if strings.HasPrefix(control, machine.IP+":") {
				continue
			}
			var got Response
			if err := WaitUntil(limit, func() bool {
				got = Call(http.MethodGet, "http://"+control+"/v1/config/read", control, nil, "")
				return got.Err == nil && got.Status == http.StatusOK
			}); err != nil {
				w.Fatalf("%s: status %d, %v", control, got.Status, err)
			}
			if want := fmt.Sprintf(`"version":%d,`, version); !strings.Contains(got.Body, want) {
				w.Fatalf("%s without %s answers an old configuration: %.40s", control, machine.Name, got.Body)
			}
		}
		w.start(machine)
		w.waitCopies()
	}
}

// A member of control is down for more changes than the others keep for it, another for a day's changes; both come back, are in sync,
// and lead with the newest.
func TestMembersThatWereAwayForHundredsOfChangesCatchUp(t *testing.T) {
	w := newWorld(t, 3)
	version := uint64(1)
	for _, away := range []struct {
		name    string
		changes int
		config  func(uint64) string
	}{{"core-1", largeChanges, largeConfigOf}, {"core-2", changesADay, Config}} {
		machine := w.cluster.Machine(away.name)
		machine.Kill()
		version = w.changes(version, away.changes, away.config)
		w.start(machine)
		w.waitCopies()
	}
	w.checkVersionWithout(version, "core-1", "core-2", "core-3")
}

// A member that is emptied, and killed again and again while it catches up, is in sync in the end.
func TestAMemberKilledAgainAndAgainWhileItCatchesUp(t *testing.T) {
	w := newWorld(t, 3)
	version := w.changes(1, largeChanges, largeConfigOf)
	machine := w.cluster.Machine("core-2")
	machine.Kill()
	if err := w.cluster.WipeDisk(machine); err != nil {
		t.Fatal(err)
	}
	for range awayRestarts {
		w.start(machine)
		version = w.changes(version, changesBeside, largeConfigOf)
		machine.Kill()
	}
	w.start(machine)
	version = w.changes(version, changesBeside, largeConfigOf)
	w.waitCopies()
	w.checkVersionWithout(version, "core-1")
}

// A member that is given the disk of another installation is refused and named; with an empty disk it is taken in.
func TestTheDiskOfAnotherInstallationIsRefused(t *testing.T) {
	w := newWorld(t, 3)
	other, err := Start(Options{
		Program: program, Dir: t.TempDir(), Network: int(network.Add(1)), ProcessID: os.Getpid() + 1, Controls: 3, Stores: 3, ToleratedLosses: 1,
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(other.Stop)
	if got := other.ReplaceConfig(0, Config(1), limit); got.Err != nil || got.Status != http.StatusOK {
		t.Fatalf("status %d, %v", got.Status, got.Err)
	}
	if err := WaitUntil(limit, func() bool { return other.IsInSync(3) }); err != nil {
		t.Fatal(err)
	}
	source, machine := other.Machine("core-2"), w.cluster.Machine("core-2")
	source.Kill()
	machine.Kill()
	if err := w.cluster.WipeDisk(machine); err != nil {
		t.Fatal(err)
	}
	from := filepath.Join(other.options.Dir, "data", "core-2-control")
	to := filepath.Join(w.cluster.options.Dir, "data", "core-2-control")
	if err := os.CopyFS(to, os.DirFS(from)); err != nil {
		t.Fatal(err)
	}
	w.start(machine)
	version := w.changes(1, changesBeside, Config)
	named := fmt.Sprintf(`"code":%d`, uint16(codes.DiskForeign))
	if err := WaitUntil(limit, func() bool { return w.logged(named) }); err != nil {
		t.Fatalf("nobody names the foreign disk (%s)", named)
	}
	machine.Kill()
	if err := w.cluster.WipeDisk(machine); err != nil {
		t.Fatal(err)
	}
	w.start(machine)
	w.waitCopies()
	w.checkVersionWithout(version, "core-1")
}

// logged tells whether any process of the cluster has written a text into its log.
func (w *world) logged(text string) bool {
	names, _ := filepath.Glob(filepath.Join(w.cluster.options.Dir, "*.log"))
	for _, name := range names {
		if content, err := os.ReadFile(name); err == nil && strings.Contains(string(content), text) {
			return true
		}
	}
	return false
}
