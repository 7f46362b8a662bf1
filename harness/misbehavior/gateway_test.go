package misbehavior

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"testing"
	"time"

	"otterseam/harness/childprocess"
	"otterseam/harness/sockets"
	"otterseam/harness/tiercluster"
	"otterseam/sim/scenarios"
)

const (
	// gatewayMemoryMB is the memory limit of the gateway in the settings of these tests, and the bound of its peak.
	gatewayMemoryMB = 32
	// gatewayDescriptors is the descriptor limit, and the bound of the descriptors.
	gatewayDescriptors = 1024
	gatewayCrowd       = 500
	gatewaySeed        = 1
)

// apiGateway is a running gateway with stand-ins for its hosts, counter and discovery.
type apiGateway struct {
	*testing.T
	address string
	process *childprocess.Process
	ids     int
}

func startGateway(t *testing.T) *apiGateway {
	t.Helper()
	requireEnabled(t)
	day, err := scenarios.Load("try")
	if err != nil {
		t.Fatal(err)
	}
	address, err := sockets.FreeAddress()
	if err != nil {
		t.Fatal(err)
	}
	dir := t.TempDir()
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	ready := make(chan string, 1)
	go func() {
		_, err := sockets.RunStandIns(ctx, day, gatewaySeed, dir, []string{address}, func(paths []string) { ready <- paths[0] })
		ended <- err
	}()
	t.Cleanup(func() {
		cancel()
		if err := <-ended; err != nil {
			t.Error(err)
		}
	})
	var config string
	select {
	case config = <-ready:
	case err := <-ended:
		ended <- err
		t.Fatal(err)
	}
	lowerGatewayLimits(t, config)
	process, err := childprocess.Start(programs.gateway, "gateway", dir, "EDGE_CONFIG="+config)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = process.Stop()
		if t.Failed() {
			showLogs(t, dir)
		}
	})
	g := &apiGateway{T: t, address: address, process: process}
	g.checkOrdinaryRequest()
	return g
}

// lowerGatewayLimits sets the limits in a gateway's configuration file.
func lowerGatewayLimits(t *testing.T, path string) {
	t.Helper()
	text, err := os.ReadFile(filepath.Clean(path))
	if err != nil {
		t.Fatal(err)
	}
	var config map[string]any
	if err := json.Unmarshal(text, &config); err != nil {
		t.Fatal(err)
	}
	config["limits"] = map[string]any{"memory_mb": gatewayMemoryMB, "sockets": gatewayDescriptors}
	if text, err = json.Marshal(config); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(path, text, 0o600); err != nil {
		t.Fatal(err)
	}
}

// checkOrdinaryRequest checks that a request is answered, if need be after tries that are refused.
func (g *apiGateway) checkOrdinaryRequest() {
	g.Helper()
	var got tiercluster.Response
	err := tiercluster.WaitUntil(waitLimit, func() bool {
		g.ids++
		header := map[string]string{
			"Req-Id": fmt.Sprintf("%016x", g.ids), "Req-Kind": "lookup", "X-Tier": "small", "Cookie": "key=0000000000000007",
			"Req-Deadline-Ms": "1000", "X-Call-Terms": "units=1,spread=1,first=0",
		}
		got = tiercluster.Call(http.MethodGet, "http://"+g.address+"/lookup/42", "127.0.0.1", header, "")
		return got.Err == nil && got.Status == http.StatusOK
	})
	if err != nil {
		g.Errorf("an ordinary request isn't answered: %s", summary(got))
	}
}

func checkGateway(t *testing.T, client Client) {
	t.Helper()
	g := startGateway(t)
	descriptors := SampleDescriptors(g.process.PID())
	crowd := Start(g.address, gatewayCrowd, client)
	defer crowd.Stop()
	crowd.AwaitSent()
	time.Sleep(holdTime)
	g.checkOrdinaryRequest()
	checkPeak(t, "descriptors of the gateway", descriptors, gatewayDescriptors)
	checkMemory(t, g.process, gatewayMemoryMB)
}

func gatewayRequest(headLines, bytes, missing int) Request {
	return Request{
		Path: "/lookup/42", Host: "127.0.0.1", IDStart: "gateway-", Lines: headLines, Bytes: bytes, Missing: missing,
		Fields: []string{
			"Req-Id: 00000000000000ff", "Req-Kind: lookup", "X-Tier: small", "Cookie: key=0000000000000007",
			"Req-Deadline-Ms: 1000", "X-Call-Terms: units=1,spread=1,first=0",
		},
	}
}

func TestGatewayBoundsHeadsOfManyLines(t *testing.T) {
	checkGateway(t, Body(gatewayRequest(7600, 10, 1)))
}

// Guards against the memory of shorter heads, which need no large buffer and are therefore not bounded by the number of these.
func TestGatewayBoundsShorterHeadsOfManyLines(t *testing.T) {
	checkGateway(t, Body(gatewayRequest(3700, 10, 1)))
}

func TestGatewayBoundsIncompleteBodies(t *testing.T) {
	checkGateway(t, Body(gatewayRequest(0, 64<<10, 1)))
}

func TestGatewayBoundsEmptyLines(t *testing.T) { checkGateway(t, EmptyLines(1<<20)) }

func TestGatewayBoundsOneByteWrites(t *testing.T) {
	checkGateway(t, OneByteWrites(OpenHead("GET /lookup/42 HTTP/1.1", 4<<10)))
}

func TestGatewayBoundsUnreadResponses(t *testing.T) {
	checkGateway(t, Pipeline(gatewayRequest(0, 100, 0), 100))
}
