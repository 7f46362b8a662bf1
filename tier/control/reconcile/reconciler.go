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
	Config

	leading  uint64 // index of the entry that opened the lead for which sessions were begun, 0 if another process leads
	ledSince int64
}

// New makes a reconciler.
func New(config Config) *Reconciler { return &Reconciler{Config: config} }

// Lead looks once at all that a primary keeps in order.
func (r *Reconciler) Lead(ctx context.Context) {
	r.beginLead()
	if r.Lease.MayDecide() != nil {
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
	r.Node.WithGroup(state.Group, func(g *replica.Group) { opened = g.EpochStartIndex() })
	if r.leading == opened {
		return
	}
	r.leading = opened
	r.ledSince = r.Now()
	r.Timeline.Reach(timeline.PrimaryReady)
	r.Sessions.Begin(r.State)
	r.Ejector.Begin(r.State.EjectionTerms(), r.Now())
}

// publishMembers tells subscribers where control is.
func (r *Reconciler) publishMembers(ctx context.Context) {
	known := r.Elector.Known()
	var addresses []string
	for _, member := range known.Members {
		addresses = append(addresses, member.Address)
	}
	if slices.Equal(addresses, directory.ControlAddresses(r.State.View)) {
		return
	}
	r.propose(ctx, state.SetMembers{Record: known})
}

// propose has a command carried out. One that is not committed is planned anew at the next look.
func (r *Reconciler) propose(ctx context.Context, command state.Command) {
	_, _ = r.Proposer.Propose(ctx, command)
}

func (r *Reconciler) removeSilentHosts(ctx context.Context) {
	for _, id := range r.Sessions.ExpiredHosts(r.Heartbeat.Milliseconds()) {
		if _, listed := r.State.Host(id); !listed { // a late heartbeat of one that deregistered
			r.Sessions.ForgetHost(id)
			continue
		}
		r.Log.WithField("host", id).Info("host removed: no heartbeats")
		_, _ = r.Hosts.RemoveSilent(ctx, id) // the next look finds it again
	}
}

// ejectOutliers ejects hosts that fail where their peers do not, and takes back what has lapsed.
func (r *Reconciler) ejectOutliers(ctx context.Context) {
	eject, ended := r.Ejector.Decide(func() outlier.Fleet { return ejection.FleetOf(r.State) }, r.Now())
	var commands []state.Command
	for _, each := range eject {
		r.Log.WithFields(logrus.Fields{"host": each.Host, "term_ms": each.DurationMS}).Info("host ejected: it fails where its peers do not")
		commands = append(commands, state.EjectHost{ID: each.Host, TermMS: each.DurationMS})
	}
	for _, host := range ended {
		commands = append(commands, state.ReinstateHost{ID: host})
	}
	r.Proposer.ProposeAll(ctx, commands)
}
