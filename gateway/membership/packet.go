package membership

import "errors"

// errMalformed is the error for a text that is not a valid message. [Detector.Malformed] counts these errors.
var errMalformed = errors.New("membership: malformed message")

// A message is printable text of at most maxPacket bytes. It begins with packetPrefix, the kind, the sender's index and the
// sender's incarnation. In a heartbeat, a ping and an ack, the first member of a window and the incarnations of the members in
// that window follow. In an update, pairs of a member and its incarnation follow.
const (
	packetPrefix  = '!'
	kindHeartbeat = 'b'
	kindPing      = 'a' // a heartbeat that requests an ack
	kindAck       = 'c'
	kindUpdate    = 'n'

	maxPacket = 256
	// memberDigits and incarnationDigits are the widths of encoded numbers, in base-64 digits.
	memberDigits      = 2
	incarnationDigits = 5
	entryDigits       = memberDigits + incarnationDigits
	headerLength      = 2 + memberDigits + incarnationDigits
	// maxEntries is the maximum number of entries in an update, and window the number of incarnations in a heartbeat.
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

// entry is the incarnation of a member as stated in a message.
type entry struct {
	member      int
	incarnation incarnation
}

// packet is a parsed message.
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

// header returns the beginning of a message, with capacity for extra more bytes.
func (d *Detector) header(kind byte, extra int) []byte {
	b := append(make([]byte, 0, headerLength+extra), packetPrefix, kind)
	return appendIncarnation(appendMember(b, d.self), d.members[d.self].incarnation)
}

// heartbeatText encodes a heartbeat, a ping or an ack, with the incarnations of a window of members.
func (d *Detector) heartbeatText(kind byte) string {
	start := d.heartbeats.windowStart
	b := appendMember(d.header(kind, memberDigits+incarnationDigits*window), start)
	n := len(d.members)
	for i := range min(window, n) {
		b = appendIncarnation(b, d.members[(start+i)%n].incarnation)
	}
	return string(b)
}

// updateText encodes an update with the incarnations of some members.
func (d *Detector) updateText(members []int) string {
	b := d.header(kindUpdate, entryDigits*len(members))
	for _, k := range members {
		b = appendIncarnation(appendMember(b, k), d.members[k].incarnation)
	}
	return string(b)
}

// entryText encodes an update with a single entry received from another member.
func (d *Detector) entryText(e entry) string {
	b := d.header(kindUpdate, entryDigits)
	return string(appendIncarnation(appendMember(b, e.member), e.incarnation))
}

// isPacket reports whether a text is a message of this package.
func isPacket(text string) bool { return len(text) > 0 && text[0] == packetPrefix }

// parser decodes numbers from the beginning of a text. failed is set once one is missing or invalid.
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

// member decodes the index of one of the given number of members.
func (p *parser) member(members int) int {
	k := int(p.number(memberDigits))
	if k >= members {
		p.failed = true
	}
	return k
}

func (p *parser) incarnation() incarnation { return incarnation(p.number(incarnationDigits)) }

// parsePacket parses a message, given the number of members.
func parsePacket(text string, members int) (packet, error) {
	if !isPacket(text) || len(text) < 2 || len(text) > maxPacket {
		return packet{}, errMalformed
	}
	p := parser{text: text[2:]}
	result := packet{kind: text[1], sender: p.member(members), incarnation: p.incarnation()}
	if p.failed || result.incarnation <= 1 || result.incarnation.dead() { // no member accuses itself
		return packet{}, errMalformed
	}
	switch result.kind {
	case kindPing, kindHeartbeat, kindAck:
		result.entries = p.windowEntries(members)
	case kindUpdate:
		result.entries = p.updateEntries(members)
	default:
		return packet{}, errMalformed
	}
	if p.failed {
		return packet{}, errMalformed
	}
	return result, nil
}

// windowEntries decodes a window and returns the entries of the members that the sender has heard from.
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

func (p *parser) updateEntries(members int) (entries []entry) {
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
