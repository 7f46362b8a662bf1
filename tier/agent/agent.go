package agent

import (
	"context"
	"net"
	"strings"
	"sync"
	"time"

	"github.com/samber/oops"
	"github.com/sirupsen/logrus"

	"otterseam/tier/codes"
	"otterseam/tier/controlclient"
	"otterseam/tier/directory"
	"otterseam/tier/feed"
	"otterseam/tier/rpc"
	"otterseam/tier/settings"
	"otterseam/tier/timeline"
)

// rotateAfter is how long the agent stays with one control process on average. Agents whose process ended are spread again over all
// within about twice that; a move costs a connection and what changed meanwhile.
const rotateAfter = 10 * time.Second

// maxQueuedReports bounds the reports that wait for control; more are dropped, as they tell of the same hosts.
const maxQueuedReports = 4

// Agent is the agent process.
type Agent struct {
	settings  *settings.Settings
	seeds     *settings.Seeds
	log       *logrus.Entry
	timeline  *timeline.Timeline
	view      *feed.View
	publisher *feed.Publisher
	control   *controlclient.Client
	reports   chan []byte // what the proxy observed, on its way to control
}

// New makes an agent. The settings have to name seeds.
func New(s *settings.Settings, log *logrus.Entry) (*Agent, error) {
	if err := settings.Require(map[string]string{"seeds": strings.Join(s.Seeds, ",")}); err != nil {
		return nil, err
	}
	view := feed.NewView()
	a := &Agent{
		settings:  s,
		seeds:     settings.NewSeeds(s),
		log:       log,
		timeline:  timeline.New(log),
		view:      view,
		publisher: &feed.Publisher{View: view},
		reports:   make(chan []byte, maxQueuedReports),
	}
	a.control = controlclient.New(rpc.NewClients(nil), a.controlAddresses)
	return a, nil
}

// Run serves until the context ends, and then waits for its goroutines.
func (a *Agent) Run(ctx context.Context) error {
	listener, err := net.Listen("tcp", a.settings.AgentAddress())
	if err != nil {
		return oops.Wrapf(err, "internal_ports")
	}
	a.serve(ctx, listener)
	return nil
}

// serve serves on a listener, which it closes in the end.
func (a *Agent) serve(ctx context.Context, listener net.Listener) {
	var running sync.WaitGroup
	running.Go(func() { rpc.Serve(listener, a.handle) })
	running.Go(func() { a.sendReports(ctx) })
	subscriber := &feed.Subscriber{View: a.view, Addresses: a.controlAddresses, OnChange: a.noteView, RotateAfter: rotateAfter}
	subscriber.Run(ctx)
	_ = listener.Close() // it only ends Serve
	running.Wait()
}

// handle takes a message of the proxy, or of an operator's status command.
func (a *Agent) handle(message rpc.Message) {
	switch message.Kind {
	case feed.KindSubscribe:
		a.publisher.Handle(message)
	case controlclient.KindHostObservations:
		a.queueReport(message.Payload)
	case timeline.KindTimeline:
		message.Answer(codes.OK, a.timeline.Encode())
	default:
		message.Answer(codes.Malformed, nil)
	}
}

// noteView notes the first view.
func (a *Agent) noteView([]feed.Item) { a.timeline.Reach(timeline.ViewReceived) }

// queueReport queues a report of the proxy for control, if there is room.
func (a *Agent) queueReport(report []byte) {
	select {
	case a.reports <- report:
	default:
	}
}

// sendReports hands reports to the primary of control until the context ends. Each is tried once: while control has no primary,
// reports must put no load on it.
func (a *Agent) sendReports(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case report := <-a.reports:
			if _, err := a.control.CallOnce(ctx, controlclient.KindHostObservations, report); err != nil {
				a.log.WithError(err).Debug("a report of hosts was not taken")
			}
		}
	}
}

// controlAddresses lists where control may be: the members that the view names and the seeds.
func (a *Agent) controlAddresses() []string {
	return append(directory.ControlAddresses(a.view), a.seeds.Addresses()...)
}
