package misbehavior

import (
	"encoding/binary"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"otterseam/harness/childprocess"
	"otterseam/harness/sockets"
	"otterseam/harness/tiercluster"
	"otterseam/quotastore/server"
)

const (
	// quotaStoreMemoryMB is the memory limit of a replica in these tests, and the bound of its peak.
	quotaStoreMemoryMB = 96
	bootstrapLimit     = 30 * time.Second
)

// quotaStore is a running cluster of three replicas.
type quotaStore struct {
	*testing.T
	config  server.ClusterConfig
	members []*childprocess.Process
}

func startQuotaStore(t *testing.T) *quotaStore {
	t.Helper()
	requireEnabled(t)
	dir := t.TempDir()
	s := &quotaStore{T: t, config: server.ClusterConfig{
		Groups: 4, Replicas: 3, ReplaceAfter: 30, SnapshotRate: 4e6, MaxLogEntries: 4096,
	}}
	for i := range 3 {
		member := server.MemberConfig{Name: fmt.Sprintf("replica-%d", i), Zone: fmt.Sprint(i)}
		for _, address := range []*string{&member.PeerAddress, &member.CounterAddress} {
			free, err := sockets.FreeAddress()
			if err != nil {
				t.Fatal(err)
			}
			*address = free
		}
		s.config.Members = append(s.config.Members, member)
	}
	text, err := json.Marshal(&s.config)
	if err != nil {
		t.Fatal(err)
	}
	list := filepath.Join(dir, "list.json")
	if err := os.WriteFile(list, text, 0o600); err != nil {
		t.Fatal(err)
	}
	for _, member := range s.config.Members {
		process, err := childprocess.StartCommand([]string{
			programs.quotaStore, "run", "--list", list, "--name", member.Name, "--dir", filepath.Join(dir, member.Name),
			"--memory", fmt.Sprint(quotaStoreMemoryMB),
		}, member.Name, dir)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = process.Stop() })
		s.members = append(s.members, process)
	}
	if _, err := server.Bootstrap(&s.config, nil, bootstrapLimit); err != nil {
		t.Fatal(err)
	}
	s.checkOrdinaryCall()
	return s
}

// checkOrdinaryCall checks that an addition at the first replica is answered, if need be after tries that are refused.
func (s *quotaStore) checkOrdinaryCall() {
	s.Helper()
	var got tiercluster.Response
	err := tiercluster.WaitUntil(waitLimit, func() bool {
		address := s.config.Members[0].CounterAddress
		got = tiercluster.Call(http.MethodPost, "http://"+address+"/counters/ordinary?by=1&expire_ms=1000", address, nil, "")
		return got.Err == nil && got.Status == http.StatusOK
	})
	if err != nil {
		s.Errorf("an ordinary call isn't answered: %s", summary(got))
	}
}

// checkQuotaStore lets a crowd at an address of the first replica send everything and checks the replicas.
func checkQuotaStore(t *testing.T, size int, client Client, address func(server.MemberConfig) string) {
	t.Helper()
	s := startQuotaStore(t)
	crowd := Start(address(s.config.Members[0]), size, client)
	defer crowd.Stop()
	crowd.AwaitSent()
	time.Sleep(holdTime)
	s.checkOrdinaryCall()
	for _, member := range s.members {
		checkMemory(t, member, quotaStoreMemoryMB)
	}
}

func counterAddress(m server.MemberConfig) string { return m.CounterAddress }

func peerAddress(m server.MemberConfig) string { return m.PeerAddress }

func TestQuotaStoreBoundsUnreadResponses(t *testing.T) {
	const call = "POST /counters/crowd?by=1&expire_ms=1000 HTTP/1.1\r\nHost: counter\r\nContent-Length: 0\r\n\r\n"
	client := Text(strings.Repeat(call, 2000))
	client.IgnoresResponses = true
	checkQuotaStore(t, 200, client, counterAddress)
}

func TestQuotaStoreBoundsConnections(t *testing.T) {
	checkQuotaStore(t, 2000, Text("P"), counterAddress)
}

func TestQuotaStoreBoundsHeadsOfManyLines(t *testing.T) {
	request := Request{Path: "/counters/crowd?by=1&expire_ms=1000", Host: "counter", Lines: 7600, Bytes: 10, Missing: 1}
	checkQuotaStore(t, 600, Body(request), counterAddress)
}

// Guards against frames that are announced as long and stop short of their end, before their sender has said who it is.
func TestQuotaStoreBoundsIncompleteFrames(t *testing.T) {
	const frameBytes = 48 << 20
	length := binary.BigEndian.AppendUint32(nil, frameBytes)
	checkQuotaStore(t, 8, Text(string(length)+strings.Repeat("x", frameBytes-1)), peerAddress)
}
