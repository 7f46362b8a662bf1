// Package agent is the process beside each proxy that keeps the link to control. It follows what control distributes and feeds
// it to the proxy over loopback, so that a proxy that starts finds a view at once and control serves one subscriber a machine.
package agent

import (
	"context"
	"net"
	"strings"

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

// Agent is the agent process.
type Agent struct {
	settings *settings.Settings
	seeds    *settings.Seeds
	view     *feed.View
	log      *logrus.Entry
	timeline *timeline.Timeline
	control  *controlclient.Client
	reports  chan []byte // what the proxy saw, on its way to control
}

// mostReports bounds the reports that wait; more are dropped, as they tell of the same hosts.
const mostReports = 4

// New makes an agent.
func New(s *settings.Settings, log *logrus.Entry) (*Agent, error) {
	if err := settings.Require(map[string]string{"seeds": strings.Join(s.Seeds, ",")}); err != nil {
		return nil, err
	}
	a := &Agent{settings: s, seeds: settings.NewSeeds(s), view: feed.NewView(), log: log, timeline: timeline.New(log)}
	a.control = controlclient.New(rpc.NewClients(nil), a.controlAddresses)
	a.reports = make(chan []byte, mostReports)
	return a, nil
}

// Run serves until the context ends.
func (a *Agent) Run(ctx context.Context) error {
	listener, err := net.Listen("tcp", a.settings.AgentAddress())
	if err != nil {
		return oops.Wrapf(err, "internal_ports")
	}
	defer listener.Close()
	publisher := &feed.Publisher{View: a.view}
	go rpc.Serve(listener, func(message rpc.Message) {
		switch message.Kind {
		case feed.KindSubscribe:
			publisher.Handle(message)
		case controlclient.KindHostObservations:
			a.forward(message.Payload)
		case timeline.KindTimeline:
			message.Answer(codes.OK, a.timeline.Encode())
		default:
			message.Answer(codes.Malformed, nil)
		}
	})
	viewReceived := func([]feed.Item) { a.timeline.Reach(timeline.ViewReceived) }
	subscriber := &feed.Subscriber{View: a.view, Addresses: a.controlAddresses, OnChange: viewReceived}
	go a.report(ctx)
	subscriber.Run(ctx)
	return nil
}

// forward queues a report of the proxy for control, if there is room.
func (a *Agent) forward(report []byte) {
	select {
	case a.reports <- report:
	default:
	}
}

// report hands reports to the primary of control. Each is tried once: while control has no primary, reports must not press upon it.
func (a *Agent) report(ctx context.Context) {
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
