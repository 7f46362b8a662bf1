package membership

import "testing"

func FuzzParsePacket(f *testing.F) {
	const members = 40
	d := startedDetector(members, 5000)
	f.Add(d.heartbeatText(kindHeartbeat))
	f.Add(d.newsText([]int{1, 2, 3}))
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
			if e.member < 0 || e.member >= members || e.incarnation >= incarnations {
				t.Fatalf("%+v", e)
			}
		}
		d.Receive(5001, p.sender, text)
		if by := d.ShareDivisor(5001, 0, members); by < members/2 || by > members {
			t.Fatalf("divides by %g", by)
		}
	})
}
