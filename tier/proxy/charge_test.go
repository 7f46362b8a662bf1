package proxy

import (
	"io"
	"net/http"
	"strings"
	"testing"

	"otterseam/tier/programs"
	"otterseam/tier/rpc"
)

// Guards against a faulty host that spends the budget of a program: by more events than a turn may have, by comments, by events without
// data, or by the same event again and again.
func TestATurnIsChargedForNoMoreThanItMayGenerate(t *testing.T) {
	for name, test := range map[string]struct {
		repeat  string
		charged uint64
		kind    excess
	}{
		"events":       {"data: x\n\n", 10, excessTokens},
		"comments":     {": x\n\n", 0, excessIdle},
		"empty events": {"\n\n", 0, excessIdle},
		"repeats":      {"id: 1\ndata: x\n\n", 1, excessIdle},
	} {
		for _, path := range []string{"/stream/1", "/turn/1"} {
			t.Run(name+path, func(t *testing.T) {
				g := newTestProxy(t)
				ended := make(chan programs.End, 8)
				g.addStore(func(kind programs.CommandKind, m rpc.Message) {
					if kind == programs.CommandEnd {
						command, _ := programs.DecodeEnd(m.Payload[4:]) // after the shard
						ended <- command
					}
					acknowledge(m)
				})
				g.addHost(func(r hostRequest) {
					r.respondWithoutEnd(sealed+"Content-Type: text/event-stream\r\n\r\n", test.repeat)
				})
				c := g.dial()
				c.send(path, "r", turnHeaders+"X-Deadline-Ms: 2000\r\n", "x")
				response, err := http.ReadResponse(c.reader, nil)
				if err != nil {
					t.Fatal(err)
				}
				if _, err := io.Copy(io.Discard, response.Body); err == nil {
					t.Error("the response looks complete")
				}
				g.awaitIdle()
				if end := <-ended; end.Actual != test.charged || end.Retain {
					t.Errorf("charged %d tokens, want %d", end.Actual, test.charged)
				}
				if want := `{kind="` + test.kind.String() + `"} 1`; !strings.Contains(g.metrics(), want) {
					t.Errorf("%s is missing in\n%s", want, g.metrics())
				}
			})
		}
	}
}
