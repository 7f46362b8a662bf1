package membership

import (
	"math"

	"otterseam/internal/rng"
)

// Broadcast is the recipient of a message to every other gateway.
const Broadcast = -1

// Message is a message to be sent to another gateway.
type Message struct {
	// To is the number of a gateway, or Broadcast.
	To   int
	Text string
}

// Config configures a Detector.
type Config struct {
	// Self is the index of this gateway in the configured list, and Members the length of that list.
	Self    int
	Members int
	// MessageRate is the number of messages per second that a gateway accepts from all others for all purposes. Part is the
	// fraction of it that membership uses while nothing fails.
	MessageRate float64
	Part        float64
	// Seed determines the random numbers.
	Seed uint64
}

const (
	// minPeriod and maxPeriod bound the time between heartbeats, in seconds.
	minPeriod = 0.2
	maxPeriod = 5
	// periodMargin lengthens the period to leave part of the message rate for pings.
	periodMargin = 1.2
	// maxTickGap is the maximum time between two ticks, in seconds. A longer gap means that the process was paused.
	maxTickGap = 0.3
	// minWait is the minimum of Detector.Wait, in seconds.
	minWait = 0.001
)

// member is the local view of one gateway.
type member struct {
	incarnation   incarnation
	lastHeard     float64 // time of the last message from the member itself; NaN while its silence is not measured
	deadSince     float64 // time from which its weight fades
	watchedAt     float64 // time when it was last watched
	lastHeartbeat float64 // time of the last heartbeat, not counting replies to pings
	unseen        bool    // nothing was received from it since watching began
	nextPingAt    float64 // earliest time of the next ping
	tolerance     float64 // factor on the allowed silence, raised by false accusations
	accusedAt     float64 // time of the accusation by this gateway, or 0
}

// Detector is one gateway's view of all members. A nil Detector does nothing and divides shares by the configured number.
//
// The caller passes incoming messages to Receive, and calls Flush at least as often as Wait requires. Flush sends the messages
// that Tick returns and logs the line that LogLine returns. StateOf, AliveCount and ShareDivisor return the current view.
type Detector struct {
	self    int
	members []member
	period  float64 // mean interval between heartbeats, in seconds
	random  rng.Stream

	started  bool
	tickedAt float64
	dead     int // number of dead members

	heartbeats heartbeats
	pings      pingBudget
	health     localHealth
	reconnect  reconnect
	gossip     gossip
	pendingLog logEvents
	outbox     []Message

	// Malformed counts the invalid messages received.
	Malformed int
	// Changes counts the state changes of members.
	Changes int
}

// New returns a detector that has not heard from any member yet.
func New(config Config) *Detector {
	watching := float64(min(watchers, config.Members-1))
	d := &Detector{
		self:       config.Self,
		members:    make([]member, config.Members),
		period:     min(maxPeriod, max(minPeriod, periodMargin*watching/max(0.01, config.MessageRate*config.Part))),
		random:     rng.New("member %d ", config.Seed), // the text determines the random numbers, so recorded messages depend on it
		heartbeats: heartbeats{meanGap: initialMeanGap},
		gossip:     gossip{maxRate: config.MessageRate / 2},
	}
	for i := range d.members {
		d.members[i] = member{lastHeard: math.NaN(), tolerance: 1}
	}
	return d
}

// start sets the initial times and the incarnation when the detector is first used.
func (d *Detector) start(now float64) {
	if d.started {
		return
	}
	d.started = true
	d.tickedAt = now
	d.gossip.rateAt = now
	d.health.lastHeard = now
	d.members[d.self].incarnation = firstIncarnation(now)
	d.heartbeats.nextAt = now + d.random.Float64()*d.period
}

// Flush sends the messages that are due and logs new changes.
func (d *Detector) Flush(now float64, send func(to int, text string), log func(text string)) {
	for _, message := range d.Tick(now) {
		send(message.To, message.Text)
	}
	if line := d.LogLine(now); line != "" {
		log(line)
	}
}

// Tick returns the messages that are due.
func (d *Detector) Tick(now float64) []Message {
	if d == nil {
		return nil
	}
	d.start(now)
	if pause := now - d.tickedAt - maxTickGap; pause > 0 {
		d.handlePause(now, pause)
	}
	d.pings.refill(now-d.tickedAt, d.period)
	d.tickedAt = now
	d.checkIsolation(now)
	d.sendHeartbeats(now)
	d.watchRing(now)
	d.pingDead(now)
	d.broadcastUpdates(now)
	messages := d.outbox
	d.outbox = nil
	return messages
}

// Wait returns the time in seconds until Tick must be called next.
func (d *Detector) Wait(now float64) float64 {
	if d == nil {
		return math.Inf(1)
	}
	next := min(d.heartbeats.nextAt-now, d.period/4)
	if d.gossip.hasPending() {
		next = min(next, d.gossip.nextAt-now)
	}
	return max(minWait, next)
}

// Receive processes an incoming message; the next Tick returns the replies to it. Receive returns false if the message does not
// belong to this package. from is the index of the sender, or negative if it is unknown.
func (d *Detector) Receive(now float64, from int, text string) bool {
	if d == nil || !isPacket(text) {
		return false
	}
	d.start(now)
	p, err := parsePacket(text, len(d.members))
	if err != nil || p.sender == d.self || from >= 0 && p.sender != from { // corrupt or forged
		d.Malformed++
		return true
	}
	d.recordReceive(now)
	d.recordSender(now, &p)
	if p.kind == kindUpdate {
		d.gossip.countBroadcast(now)
	}
	for _, e := range p.entries {
		d.applyEntry(now, p.sender, e)
	}
	return true
}

func (d *Detector) send(to int, text string) {
	d.outbox = append(d.outbox, Message{To: to, Text: text})
}
