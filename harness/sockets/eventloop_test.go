package sockets

import (
	"context"
	"fmt"
	"strings"
	"testing"

	"otterseam/harness/leakcheck"
	"otterseam/sim/eventqueue"
)

// Events run in the order of their times, whether they come from the queue or from Do.
func TestEventLoopRunsEventsInTimeOrder(t *testing.T) {
	leakcheck.Check(t)
	queue := &eventqueue.Queue{}
	loop := newEventLoop(queue)
	var order []string
	fired := make(chan struct{})
	loop.Do(func() { order = append(order, "first") })
	queue.Schedule(0.2, func() {
		order = append(order, "queue")
		close(fired)
	})
	go func() {
		<-fired
		loop.Do(func() {
			order = append(order, fmt.Sprintf("after %v", queue.Now() >= 0.2))
			queue.Stop()
		})
	}()
	loop.run(context.Background(), 30)
	if strings.Join(order, ",") != "first,queue,after true" {
		t.Fatal(order)
	}
}
