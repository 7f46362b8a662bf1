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
	// configPadding is the padding of a large configuration in bytes. A hundred of these exceed the log that members keep for one that is
	// down.
	configPadding     = 100_000
	largeChanges      = 110
	changesPerDay     = 260
	catchUpRestarts   = 4
	changesPerRestart = 5 // during each restart
)

// paddedConfig returns a configuration padded to about the size of a thousand routes.
func paddedConfig(version uint64) string {
	return Config(version) + strings.Repeat(" ", configPadding)
}

// replaceTimes replaces the configuration count times, starting from a version, and returns the last version.
func (c *testCluster) replaceTimes(version uint64, count int, config func(uint64) string) uint64 {
	c.Helper()
	for range count {
		if got := c.cluster.ReplaceConfig(version, config(version+1), limit); got.Err != nil || got.Status != http.StatusOK {
			c.Fatalf("version %d: status %d, %v", version+1, got.Status, got.Err)
		}
		version++
	}
	return version
}

// checkVersionWithEachDown kills the named control machines one at a time and checks that each of the others returns the newest
// configuration.
func (c *testCluster) checkVersionWithEachDown(version uint64, names ...string) {
	c.Helper()
	for _, name := range names {
		machine := c.cluster.Machine(name)
		machine.Kill()
		for _, control := range c.cluster.ControlAddresses() {
			if strings.HasPrefix(control, machine.IP+":") {
				continue
			}
			var got Response
			if err := WaitUntil(limit, func() bool {
				got = Call(http.MethodGet, "http://"+control+"/v1/config/read", control, nil, "")
				return got.Err == nil && got.Status == http.StatusOK
			}); err != nil {
				c.Fatalf("%s: status %d, %v", control, got.Status, err)
			}
			if want := fmt.Sprintf(`"version":%d,`, version); !strings.Contains(got.Body, want) {
				c.Fatalf("%s returns an old configuration while %s is down: %.40s", control, machine.Name, got.Body)
			}
		}
		c.start(machine)
		c.waitInSync()
	}
}

// Guards against a control member that stays behind, or leads with an old configuration, after it missed many changes. One member
// misses more changes than the others keep in their logs, another misses a day's changes.
func TestMembersCatchUpAfterHundredsOfMissedChanges(t *testing.T) {
	c := newTestCluster(t, 3)
	version := uint64(1)
	for _, away := range []struct {
		name    string
		changes int
		config  func(uint64) string
	}{{"core-1", largeChanges, paddedConfig}, {"core-2", changesPerDay, Config}} {
		machine := c.cluster.Machine(away.name)
		machine.Kill()
		version = c.replaceTimes(version, away.changes, away.config)
		c.start(machine)
		c.waitInSync()
	}
	c.checkVersionWithEachDown(version, "core-1", "core-2", "core-3")
}

// Guards against a member that never gets in sync because it lost its disk and was killed several times while it caught up.
func TestMemberKilledRepeatedlyDuringCatchUp(t *testing.T) {
	c := newTestCluster(t, 3)
	version := c.replaceTimes(1, largeChanges, paddedConfig)
	machine := c.cluster.Machine("core-2")
	machine.Kill()
	if err := c.cluster.WipeDisk(machine); err != nil {
		t.Fatal(err)
	}
	for range catchUpRestarts {
		c.start(machine)
		version = c.replaceTimes(version, changesPerRestart, paddedConfig)
		machine.Kill()
	}
	c.start(machine)
	version = c.replaceTimes(version, changesPerRestart, paddedConfig)
	c.waitInSync()
	c.checkVersionWithEachDown(version, "core-1")
}

// Checks that a member with the disk of another installation is rejected with a logged code, and that it rejoins with an empty disk.
func TestDiskOfAnotherInstallationIsRejected(t *testing.T) {
	c := newTestCluster(t, 3)
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
	source, machine := other.Machine("core-2"), c.cluster.Machine("core-2")
	source.Kill()
	machine.Kill()
	if err := c.cluster.WipeDisk(machine); err != nil {
		t.Fatal(err)
	}
	from := filepath.Join(other.options.Dir, "data", "core-2-control")
	to := filepath.Join(c.cluster.options.Dir, "data", "core-2-control")
	if err := os.CopyFS(to, os.DirFS(from)); err != nil {
		t.Fatal(err)
	}
	c.start(machine)
	version := c.replaceTimes(1, changesPerRestart, Config)
	wantCode := fmt.Sprintf(`"code":%d`, uint16(codes.DiskForeign))
	if err := WaitUntil(limit, func() bool { return c.isLogged(wantCode) }); err != nil {
		t.Fatalf("no process logs the disk of another installation (%s)", wantCode)
	}
	machine.Kill()
	if err := c.cluster.WipeDisk(machine); err != nil {
		t.Fatal(err)
	}
	c.start(machine)
	c.waitInSync()
	c.checkVersionWithEachDown(version, "core-1")
}

// isLogged reports whether the log of any process of the cluster contains a text.
func (c *testCluster) isLogged(text string) bool {
	names, _ := filepath.Glob(filepath.Join(c.cluster.options.Dir, "*.log"))
	for _, name := range names {
		if content, err := os.ReadFile(name); err == nil && strings.Contains(string(content), text) {
			return true
		}
	}
	return false
}
