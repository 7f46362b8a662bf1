package membership

import "errors"

// errMalformed is of a text that is no message among so many members. It is counted in [Detector.Malformed].
var errMalformed = errors.New("membership: malformed message")

// A message is printable text of at most maxPacket bytes. All begin with packetPrefix, the kind, the sender's number and its
// incarnation. Behind it stand, in a heartbeat, a ping and an ack, the first member of a window and the incarnations of that
// window in turn; in news, members with their incarnations.
const (
	packetPrefix  = '!'
	kindHeartbeat = 'b'
	kindPing      = 'a' // a heartbeat that asks for an ack
	kindAck       = 'c'
	kindNews      = 'n'

	maxPacket = 256
	// memberDigits and incarnationDigits are the widths of numbers, in digits of base 64.
	memberDigits      = 2
	incarnationDigits = 5
	entryDigits       = memberDigits + incarnationDigits
	headLength        = 2 + memberDigits + incarnationDigits
	// maxEntries is how many entries news may hold; window how many incarnations ride with a heartbeat.
	maxEntries = 30
	window     = 20
)

const digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-_"

var digitValue = func() (values [256]int8) {
	for i := range values {
		values[i] = -1
	}
	for i, digit := range []byte(digits) {
		values[digit] = int8(i)
	}
	return values
}()

// entry is what a message says of a member.
type entry struct {
	member      int
	incarnation incarnation
}

// packet is a message as it was parsed.
type packet struct {
	kind        byte
	sender      int
	incarnation incarnation
	entries     []entry
}

func appendNumber(b []byte, x uint32, width int) []byte {
	for i := width - 1; i >= 0; i-- {
		b = append(b, digits[x>>(6*i)&63])
	}
	return b
}

func appendMember(b []byte, k int) []byte { return appendNumber(b, uint32(k), memberDigits) }

func appendIncarnation(b []byte, a incarnation) []byte {
	return appendNumber(b, uint32(a), incarnationDigits)
}

// head begins a message with room for so many bytes more.
func (d *Detector) head(kind byte, more int) []byte {
	b := append(make([]byte, 0, headLength+more), packetPrefix, kind)
	return appendIncarnation(appendMember(b, d.self), d.members[d.self].incarnation)
}

// heartbeatText is a heartbeat, a ping or an ack, with a window of what is known of the others.
func (d *Detector) heartbeatText(kind byte) string {
	start := d.heartbeats.windowStart
	b := appendMember(d.head(kind, memberDigits+incarnationDigits*window), start)
	n := len(d.members)
	for i := range min(window, n) {
		b = appendIncarnation(b, d.members[(start+i)%n].incarnation)
	}
	return string(b)
}

// newsText says what is known of some members.
func (d *Detector) newsText(members []int) string {
	b := d.head(kindNews, entryDigits*len(members))
	for _, k := range members {
		b = appendIncarnation(appendMember(b, k), d.members[k].incarnation)
	}
	return string(b)
}

// entryText passes on to a member what another said of it.
func (d *Detector) entryText(e entry) string {
	b := d.head(kindNews, entryDigits)
	return string(appendIncarnation(appendMember(b, e.member), e.incarnation))
}

// isPacket says whether a text is meant for this package.
func isPacket(text string) bool { return len(text) > 0 && text[0] == packetPrefix }

// parser takes numbers off the front of a text, and remembers whether one was missing.
type parser struct {
	text   string
	failed bool
}

func (p *parser) number(width int) (x uint32) {
	if len(p.text) < width {
		p.failed = true
		return 0
	}
	for i := range width {
		value := digitValue[p.text[i]]
		if value < 0 {
			p.failed = true
			return 0
		}
		x = x<<6 | uint32(value)
	}
	p.text = p.text[width:]
	return x
}

// member takes the number of one of so many members.
func (p *parser) member(members int) int {
	k := int(p.number(memberDigits))
	if k >= members {
		p.failed = true
	}
	return k
}

func (p *parser) incarnation() incarnation { return incarnation(p.number(incarnationDigits)) }

// parsePacket parses a message among so many members.
func parsePacket(text string, members int) (packet, error) {
	if !isPacket(text) || len(text) < 2 || len(text) > maxPacket {
		return packet{}, errMalformed
	}
	p := parser{text: text[2:]}
	result := packet{kind: text[1], sender: p.member(members), incarnation: p.incarnation()}
	if p.failed || result.incarnation <= 1 || result.incarnation.dead() { // nobody says that itself is dead
		return packet{}, errMalformed
	}
	switch result.kind {
	case kindPing, kindHeartbeat, kindAck:
		result.entries = p.windowEntries(members)
	case kindNews:
		result.entries = p.newsEntries(members)
	default:
		return packet{}, errMalformed
	}
	if p.failed {
		return packet{}, errMalformed
	}
	return result, nil
}

// windowEntries gives those of a window of which the sender has heard.
func (p *parser) windowEntries(members int) (entries []entry) {
	k := p.member(members)
	if len(p.text)%incarnationDigits != 0 || len(p.text)/incarnationDigits > members {
		p.failed = true
	}
	for ; len(p.text) > 0 && !p.failed; k = (k + 1) % members {
		if a := p.incarnation(); a > 1 && !p.failed {
			entries = append(entries, entry{member: k, incarnation: a})
		}
	}
	return entries
}

func (p *parser) newsEntries(members int) (entries []entry) {
	if len(p.text)%entryDigits != 0 {
		p.failed = true
	}
	for len(p.text) > 0 && !p.failed {
		e := entry{member: p.member(members), incarnation: p.incarnation()}
		if e.incarnation == 0 {
			p.failed = true
		}
		if !p.failed {
			entries = append(entries, e)
		}
	}
	return entries
}
