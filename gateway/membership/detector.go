package membership

import (
	"math"

	"otterseam/internal/rng"
)

// Broadcast as a recipient stands for every other gateway.
const Broadcast = -1

// Message is to be sent to another gateway.
type Message struct {
	// To is the number of a gateway, or Broadcast.
	To   int
	Text string
}

// Config says where a gateway stands.
type Config struct {
	// Self is this gateway's number in the list of Members.
	Self    int
	Members int
	// MessageRate is how many messages a second a gateway takes in from all others for all purposes; Part is the part of it
	// that is for membership in quiet times.
	MessageRate float64
	Part        float64
	// Seed gives the random numbers.
	Seed uint64
}

const (
	// minPeriod and maxPeriod bound the time between heartbeats, in seconds.
	minPeriod = 0.2
	maxPeriod = 5
	// periodMargin leaves room for pings beside the heartbeats.
	periodMargin = 1.2
	// pauseAllowed is how long a gateway may go without a tick before it counts as having been stopped, in seconds.
	pauseAllowed = 0.3
	// minWait is the shortest time between ticks that is asked for, in seconds.
	minWait = 0.001
)

// member is what is known of one gateway.
type member struct {
	incarnation   incarnation
	lastHeard     float64 // the last sign of it that came straight; NaN: none was waited for yet
	deadSince     float64 // the longer ago, the less it counts
	watchedAt     float64 // when it was last looked after
	lastHeartbeat float64 // that came by itself, not asked for
	unseen        bool    // nothing has come of it since it is looked after
	nextPingAt    float64 // no ping before
	tolerance     float64 // factor on the silence allowed: more after it was accused wrongly
	accusedAt     float64 // when it was accused here; 0: it was not
}

// Detector is one gateway's view of all members. A nil Detector knows only the list.
//
// Tick gives what is to be sent now, Wait how long until it should be called again, Receive brings a message. StateOf, AliveCount
// and ShareDivisor say what is believed, LogLine what the log should hear. Flush does what a loop's turn needs at once.
type Detector struct {
	self    int
	members []member
	period  float64 // between heartbeats, in seconds
	random  rng.Stream

	started  bool
	tickedAt float64
	dead     int // members that count as dead

	heartbeats heartbeats
	pings      pingBudget
	health     localHealth
	reconnect  reconnect
	gossip     gossip
	news       logNews
	outbox     []Message

	// Malformed counts messages that made no sense.
	Malformed int
	// Changes counts changes of what is believed of any member.
	Changes int
}

// New makes a gateway's view of a list of which nobody has been heard yet.
func New(config Config) *Detector {
	watching := float64(min(watchers, config.Members-1))
	d := &Detector{
		self:       config.Self,
		members:    make([]member, config.Members),
		period:     min(maxPeriod, max(minPeriod, periodMargin*watching/max(0.01, config.MessageRate*config.Part))),
		random:     rng.New("member %d ", config.Seed), // the name gives the numbers: it stays as it was recorded
		heartbeats: heartbeats{meanGap: initialMeanGap},
		gossip:     gossip{maxRate: config.MessageRate / 2},
	}
	for i := range d.members {
		d.members[i] = member{lastHeard: math.NaN(), tolerance: 1}
	}
	return d
}

// start begins a new life at the first moment, with nobody heard of.
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

// Flush sends what is due and logs what is new.
func (d *Detector) Flush(now float64, send func(to int, text string), log func(text string)) {
	for _, message := range d.Tick(now) {
		send(message.To, message.Text)
	}
	if line := d.LogLine(now); line != "" {
		log(line)
	}
}

// Tick gives what is to be sent now.
func (d *Detector) Tick(now float64) []Message {
	if d == nil {
		return nil
	}
	d.start(now)
	if pause := now - d.tickedAt - pauseAllowed; pause > 0 {
		d.wasStopped(now, pause)
	}
	d.pings.refill(now-d.tickedAt, d.period)
	d.tickedAt = now
	d.checkIsolation(now)
	d.sendHeartbeats(now)
	d.watchRing(now)
	d.pingDead(now)
	d.spreadNews(now)
	messages := d.outbox
	d.outbox = nil
	return messages
}

// Wait is how long Tick need not be called, in seconds.
func (d *Detector) Wait(now float64) float64 {
	if d == nil {
		return math.Inf(1)
	}
	next := min(d.heartbeats.nextAt-now, d.period/4)
	if d.gossip.waiting() {
		next = min(next, d.gossip.nextAt-now)
	}
	return max(minWait, next)
}

// Receive brings a message; the next Tick may hold an answer to it. It returns false for one that is not about membership.
func (d *Detector) Receive(now float64, from int, text string) bool {
	if d == nil || !isPacket(text) {
		return false
	}
	d.start(now)
	p, err := parsePacket(text, len(d.members))
	if err != nil || p.sender == d.self || from >= 0 && p.sender != from { // spoilt or forged: nothing is believed of it
		d.Malformed++
		return true
	}
	d.heardAnybody(now)
	d.signOfLife(now, &p)
	if p.kind == kindNews {
		d.gossip.countBroadcast(now)
	}
	for _, e := range p.entries {
		d.learn(now, p.sender, e)
	}
	return true
}

func (d *Detector) send(to int, text string) {
	d.outbox = append(d.outbox, Message{To: to, Text: text})
}
