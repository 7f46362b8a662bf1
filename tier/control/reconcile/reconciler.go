package reconcile

import (
	"context"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"otterseam/tier/control/ejection"
	"otterseam/tier/control/election"
	"otterseam/tier/control/heartbeat"
	"otterseam/tier/control/proposal"
	"otterseam/tier/control/session"
	"otterseam/tier/control/state"
	"otterseam/tier/directory"
	"otterseam/tier/multigroup"
	"otterseam/tier/outlier"
	"otterseam/tier/replica"
	"otterseam/tier/timeline"
)

// Config is what a Reconciler is made of.
type Config struct {
	Node     *multigroup.Node
	State    *state.State
	Sessions *session.Sessions
	Ejector  *ejection.Ejector
	Elector  *election.Elector
	Lease    heartbeat.Lease
	Proposer *proposal.Proposer
	Hosts    *heartbeat.Hosts
	Timeline *timeline.Timeline
	Log      *logrus.Entry
	// Now is the process's steady clock in milliseconds.
	Now func() int64
	// Heartbeat is how often hosts are to send heartbeats.
	Heartbeat time.Duration
	// Tolerate is how many store machines may be lost at once.
	Tolerate int
}

// Reconciler does the primary's periodic work. Lead and EndLead are of one goroutine, the supervisor's; the other methods may be
// called from any.
type Reconciler struct {
	config Config

	leading  uint64 // index of the entry that opened the lead for which sessions were begun, 0 if another process leads
	ledSince int64
}

// New makes a reconciler.
func New(config Config) *Reconciler { return &Reconciler{config: config} }

// Lead looks once at all that a primary keeps in order.
func (r *Reconciler) Lead(ctx context.Context) {
	r.beginLead()
	if r.config.Lease.MayDecide() != nil {
		return
	}
	r.publishMembers(ctx)
	r.removeSilentHosts(ctx)
	r.removeLostStores(ctx)
	r.placeShards(ctx)
	r.ejectOutliers(ctx)
}

// EndLead notes that another process leads, so that sessions begin anew the next time.
func (r *Reconciler) EndLead() { r.leading = 0 }

// beginLead starts sessions anew when this process has begun to lead.
func (r *Reconciler) beginLead() {
	opened := uint64(0)
	r.config.Node.WithGroup(state.Group, func(g *replica.Group) { opened = g.EpochStartIndex() })
	if r.leading == opened {
		return
	}
	r.leading = opened
	r.ledSince = r.config.Now()
	r.config.Timeline.Reach(timeline.PrimaryReady)
	r.config.Sessions.Begin(r.config.State)
	r.config.Ejector.Begin(r.config.State.EjectionDurations(), r.config.Now())
}

// publishMembers tells subscribers where control is.
func (r *Reconciler) publishMembers(ctx context.Context) {
	known := r.config.Elector.Known()
	var addresses []string
	for _, member := range known.Members {
		addresses = append(addresses, member.Address)
	}
	if slices.Equal(addresses, directory.ControlAddresses(r.config.State.View)) {
		return
	}
	r.propose(ctx, state.SetMembers{Record: known})
}

// propose has a command carried out. One that is not committed is planned anew at the next look.
func (r *Reconciler) propose(ctx context.Context, command state.Command) {
	_, _ = r.config.Proposer.Propose(ctx, command)
}

func (r *Reconciler) removeSilentHosts(ctx context.Context) {
	for _, id := range r.config.Sessions.ExpiredHosts(r.config.Heartbeat.Milliseconds()) {
		if _, listed := r.config.State.Host(id); !listed { // a late heartbeat of one that deregistered
			r.config.Sessions.ForgetHost(id)
			continue
		}
		r.config.Log.WithField("host", id).Info("host removed: no heartbeats")
		_, _ = r.config.Hosts.RemoveSilent(ctx, id) // the next look finds it again
	}
}

// ejectOutliers ejects hosts that fail where their peers do not, and takes back what has lapsed.
func (r *Reconciler) ejectOutliers(ctx context.Context) {
	eject, ended := r.config.Ejector.Decide(func() outlier.Fleet { return ejection.FleetOf(r.config.State) }, r.config.Now())
	var commands []state.Command
	for _, each := range eject {
		r.config.Log.WithFields(logrus.Fields{"host": each.Host, "term_ms": each.DurationMS}).Info("host ejected: it fails where its peers do not")
		commands = append(commands, state.EjectHost{ID: each.Host, DurationMS: each.DurationMS})
	}
	for _, host := range ended {
		commands = append(commands, state.ReinstateHost{ID: host})
	}
	r.config.Proposer.ProposeAll(ctx, commands)
}
