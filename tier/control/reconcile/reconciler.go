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

// Config holds the dependencies and settings of a Reconciler.
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
	// Now returns the time of the process's monotonic clock in milliseconds.
	Now func() int64
	// Heartbeat is the heartbeat interval of hosts.
	Heartbeat time.Duration
	// Tolerate is the number of store machines that may be lost at once.
	Tolerate int
}

// Reconciler does the primary's periodic work. Reconcile and EndLeadership must be called from one goroutine, which is the supervisor's.
// The other methods may be called from any goroutine.
type Reconciler struct {
	config Config

	epochStartIndex uint64 // EpochStartIndex of the leadership for which sessions were started, 0 without one
	ledSince        int64
}

// New returns a reconciler.
func New(config Config) *Reconciler { return &Reconciler{config: config} }

// Reconcile makes one pass of the primary's periodic work. Without a lease it changes nothing.
func (r *Reconciler) Reconcile(ctx context.Context) {
	r.beginLeadership()
	if r.config.Lease.MayDecide() != nil {
		return
	}
	r.publishMembers(ctx)
	r.removeSilentHosts(ctx)
	r.removeLostStores(ctx)
	r.placeShards(ctx)
	r.ejectOutliers(ctx)
}

// EndLeadership records that this process is not the primary, so that sessions start anew when it becomes primary again.
func (r *Reconciler) EndLeadership() { r.epochStartIndex = 0 }

// beginLeadership starts all sessions anew if this process has become primary since the last pass.
func (r *Reconciler) beginLeadership() {
	startIndex := uint64(0)
	r.config.Node.WithGroup(state.Group, func(g *replica.Group) { startIndex = g.EpochStartIndex() })
	if r.epochStartIndex == startIndex {
		return
	}
	r.epochStartIndex = startIndex
	r.ledSince = r.config.Now()
	r.config.Timeline.Reach(timeline.PrimaryReady)
	r.config.Sessions.Begin(r.config.State)
	r.config.Ejector.Begin(r.config.State.EjectionDurations(), r.config.Now())
}

// publishMembers publishes the addresses of the control processes to subscribers if they have changed.
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

// propose executes a command. One that is not committed is planned again in the next pass.
func (r *Reconciler) propose(ctx context.Context, command state.Command) {
	_, _ = r.config.Proposer.Propose(ctx, command)
}

func (r *Reconciler) removeSilentHosts(ctx context.Context) {
	for _, id := range r.config.Sessions.ExpiredHosts(r.config.Heartbeat.Milliseconds()) {
		if _, listed := r.config.State.Host(id); !listed { // the session is that of a late heartbeat of a deregistered host
			r.config.Sessions.ForgetHost(id)
			continue
		}
		r.config.Log.WithField("host", id).Info("host removed: no heartbeats")
		_, _ = r.config.Hosts.RemoveSilent(ctx, id) // after an error, the next pass tries again
	}
}

// ejectOutliers ejects hosts that fail while their peers do not, and reinstates hosts whose ejections have ended.
func (r *Reconciler) ejectOutliers(ctx context.Context) {
	eject, ended := r.config.Ejector.Decide(func() outlier.Fleet { return ejection.FleetOf(r.config.State) }, r.config.Now())
	var commands []state.Command
	for _, decision := range eject {
		r.config.Log.WithFields(logrus.Fields{"host": decision.Host, "term_ms": decision.DurationMS}).Info("host ejected: it fails where its peers do not")
		commands = append(commands, state.EjectHost{ID: decision.Host, DurationMS: decision.DurationMS})
	}
	for _, host := range ended {
		commands = append(commands, state.ReinstateHost{ID: host})
	}
	r.config.Proposer.ProposeAll(ctx, commands)
}
