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

// rotateAfter is the average time for which the agent stays subscribed to one control process. After a control process has failed and
// restarted, its agents are evenly distributed again within about twice this time. A move costs a new connection and the changes
// made in the meantime.
const rotateAfter = 10 * time.Second

// maxQueuedReports limits the reports waiting to be sent to control. Further reports are dropped, as they describe the same hosts.
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
	reports   chan []byte // the proxy's observations of hosts, waiting to be sent to control
}

// New returns an agent. It fails if the settings contain no seeds.
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

// Run serves until the context ends and then waits for the agent's goroutines. It fails if it cannot listen.
func (a *Agent) Run(ctx context.Context) error {
	listener, err := net.Listen("tcp", a.settings.AgentAddress())
	if err != nil {
		return oops.Wrapf(err, "internal_ports")
	}
	a.serve(ctx, listener)
	return nil
}

// serve serves on the listener until the context ends, and then closes the listener.
func (a *Agent) serve(ctx context.Context, listener net.Listener) {
	var running sync.WaitGroup
	running.Go(func() { rpc.Serve(listener, a.handle) })
	running.Go(func() { a.sendReports(ctx) })
	subscriber := &feed.Subscriber{View: a.view, Addresses: a.controlAddresses, OnChange: a.recordView, RotateAfter: rotateAfter}
	subscriber.Run(ctx)
	_ = listener.Close() // its only purpose is to end rpc.Serve
	running.Wait()
}

// handle handles a message from the proxy or from an operator's status command.
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

// recordView records the first view in the timeline.
func (a *Agent) recordView([]feed.Item) { a.timeline.Reach(timeline.ViewReceived) }

// queueReport queues a report from the proxy, or drops it if the queue is full.
func (a *Agent) queueReport(report []byte) {
	select {
	case a.reports <- report:
	default:
	}
}

// sendReports sends queued reports to the primary of control until the context ends. It tries each report once, so that reports put
// no load on control while control has no primary.
func (a *Agent) sendReports(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case report := <-a.reports:
			if _, err := a.control.CallOnce(ctx, controlclient.KindHostObservations, report); err != nil {
				a.log.WithError(err).Debug("failed to send a report of host observations to control")
			}
		}
	}
}

// controlAddresses returns the addresses at which control may be reached: those of the members in the view, then the seeds.
func (a *Agent) controlAddresses() []string {
	return append(directory.ControlAddresses(a.view), a.seeds.Addresses()...)
}
