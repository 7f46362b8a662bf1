package tiersoak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"otterseam/harness/misbehavior"
	"otterseam/harness/tiercluster"
)

const (
	// crowdUser selects the random numbers of the crowds, apart from those of the faults and of the clients.
	crowdUser        = 1 << 20
	maxCrowdInterval = 1500 * time.Millisecond // between the starts of two crowds
	maxCrowdTime     = 8 * time.Second
	crowdBodyBytes   = 1 << 20
	crowdConfigBytes = 4 << 20
)

// processLimits are the limits of the processes in a run with crowds or floods.
var processLimits = map[string]tiercluster.Limits{
	"proxy":   {MemoryMB: 128, MaxFDs: 400},
	"control": {MemoryMB: 128, MaxFDs: 4096, DiskMB: 128},
	"store":   {MemoryMB: 192, MaxFDs: 8200, DiskMB: 150},
}

// crowdKind is a kind of clients that don't behave.
type crowdKind struct {
	name      string
	addresses func(*tiercluster.Cluster) []string
	maxSize   int
	client    misbehavior.Client
}

var (
	frontAddresses     = (*tiercluster.Cluster).FrontAddresses
	readinessAddresses = (*tiercluster.Cluster).ReadinessAddresses
	controlAddresses   = (*tiercluster.Cluster).ControlAddresses
)

// crowdTurn returns a turn of a program of the crowds that is retained.
func crowdTurn(bytes, missing int) misbehavior.Request {
	return misbehavior.Request{
		Path: "/chat/x", Host: tiercluster.ExampleHost, IDStart: "crowd-", Bytes: bytes, Missing: missing,
		Fields: []string{"Program: crowd", "Session: crowd", "Budget: 1000000000", "X-Token-Count: 1,6", "X-Deadline-Ms: 20000"},
	}
}

// crowdRequest returns a request with a head of many lines whose body stops short.
func crowdRequest(headLines int) misbehavior.Request {
	return misbehavior.Request{
		Path: "/draft/x", Host: tiercluster.ExampleHost, IDStart: "lines-", Bytes: 10, Missing: 1, Lines: headLines,
		Fields: []string{"X-Deadline-Ms: 20000"},
	}
}

var crowdKinds = []crowdKind{
	{"open heads", frontAddresses, 60, misbehavior.OpenHead("POST /draft/x HTTP/1.1", 250<<10)},
	{"heads of many lines", frontAddresses, 150, misbehavior.Body(crowdRequest(14 << 10))},
	{"incomplete bodies", frontAddresses, 40, misbehavior.Body(crowdTurn(crowdBodyBytes, 1))},
	{"complete bodies", frontAddresses, 20, misbehavior.Body(crowdTurn(crowdBodyBytes, 0))},
	{"many short turns", frontAddresses, 200, misbehavior.Body(crowdTurn(100, 0))},
	{"silent connections", frontAddresses, 400, misbehavior.Silent()},
	{"empty lines", frontAddresses, 40, misbehavior.EmptyLines(1 << 20)},
	{"trailers", frontAddresses, 40, misbehavior.Trailer(crowdRequest(0), 1<<20)},
	{"chunk extensions", frontAddresses, 40, misbehavior.Chunks(misbehavior.Request{
		Path: "/draft/x", Host: tiercluster.ExampleHost, IDStart: "chunks-", Bytes: 64 << 10,
	})},
	{"unread responses", frontAddresses, 20, misbehavior.Pipeline(crowdRequest(0).Complete(), 100)},
	{"heads in single bytes", frontAddresses, 40, misbehavior.OneByteWrites(misbehavior.OpenHead("POST /draft/x HTTP/1.1", 2<<10))},
	{"probes with open heads", readinessAddresses, 40, misbehavior.OpenHead("GET /v1/readiness HTTP/1.1", 1<<20)},
	{"open heads at control", controlAddresses, 40, misbehavior.OpenHead("POST /v1/config/replace HTTP/1.1", 1<<20)},
	{"incomplete configurations", controlAddresses, 10, misbehavior.Body(misbehavior.Request{
		Path: "/v1/config/replace", Host: "control", IDStart: "change-", Fields: []string{"X-Base-Version: 1"}, Bytes: crowdConfigBytes, Missing: 1,
	})},
}

// playCrowds starts crowds, which overlap, until the context ends, and returns when all have left.
func (s *soak) playCrowds(ctx context.Context) {
	random := s.random(crowdUser)
	var present sync.WaitGroup
	for ctx.Err() == nil {
		s.startCrowd(ctx, random, &present)
		sleep(ctx, time.Duration(random.Int64N(int64(maxCrowdInterval))))
	}
	present.Wait()
}

// startCrowd starts a random crowd at a random address, which leaves after a random time or when the context ends.
func (s *soak) startCrowd(ctx context.Context, random *rand.Rand, present *sync.WaitGroup) {
	kind := crowdKinds[random.IntN(len(crowdKinds))]
	addresses := kind.addresses(s.cluster)
	address := addresses[random.IntN(len(addresses))]
	size := 1 + random.IntN(kind.maxSize)
	stay := time.Duration(random.Int64N(int64(maxCrowdTime)))
	s.mu.Lock()
	s.crowds = append(s.crowds, fmt.Sprintf("%d %s at %s for %s", size, kind.name, address, stay))
	s.mu.Unlock()
	crowd := misbehavior.Start(address, size, kind.client)
	present.Go(func() {
		sleep(ctx, stay)
		crowd.Stop()
	})
}
