package membership

import "testing"

func FuzzParsePacket(f *testing.F) {
	const members = 40
	d := startedDetector(members, 5000)
	f.Add(d.heartbeatText(kindHeartbeat))
	f.Add(d.updateText([]int{1, 2, 3}))
	f.Add("!n")
	f.Fuzz(func(t *testing.T, text string) {
		p, err := parsePacket(text, members)
		if err != nil {
			return
		}
		if p.sender < 0 || p.sender >= members || p.incarnation.dead() {
			t.Fatalf("%+v", p)
		}
		for _, e := range p.entries {
			if e.member < 0 || e.member >= members || e.incarnation >= incarnationCount {
				t.Fatalf("%+v", e)
			}
		}
		d.Receive(5001, p.sender, text)
		if divisor := d.ShareDivisor(5001, 0, members); divisor < members/2 || divisor > members {
			t.Fatalf("share divisor %g", divisor)
		}
	})
}
