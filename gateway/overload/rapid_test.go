package overload

import (
	"flag"
	"fmt"
	"os"
	"testing"

	"pgregory.net/rapid"
)

// The same cases each time; by hand with another -rapid.seed and more -rapid.checks.
func TestMain(m *testing.M) {
	flag.Set("rapid.seed", "1")
	flag.Set("rapid.nofailfile", "true")
	flag.Set("rapid.checks", "60")
	flag.Parse()
	os.Exit(m.Run())
}

// No host answers anything, and everything else is as it may be: any number of api gateways, of hosts and of wishes, words that
// are lost, wrong or come from one that lies, deliveries that end in any way or not at all, lives that begin empty at any
// moment, looks that come late. What all send stays within the sum: for each life what it takes to find out, and the trials.
func TestTheSumHoldsInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.SampledFrom([]int{1, 2, 3, 12, 30, 100, 300, 1000}).Draw(t, "api gateways")
		hosts := rapid.IntRange(1, 200).Draw(t, "hosts")
		mail := rapid.SampledFrom([]float64{0, 60}).Draw(t, "mail")
		wishes := rapid.Float64Range(0.5, 60).Draw(t, "wishes a second of each")
		loss := rapid.Float64Range(0, 1).Draw(t, "words lost")
		liars := rapid.IntRange(0, 3).Draw(t, "who call a silence over")
		restarts := rapid.Float64Range(0, 0.2).Draw(t, "restarts a second of each")
		ends := rapid.Float64Range(0, 1).Draw(t, "deliveries that end")
		dice := rapid.Uint64().Draw(t, "seed")
		const step, long = 0.02, 4.0
		chance := func() float64 { // drawn beside rapid: a case has up to a million
			dice = dice*6364136223846793005 + 1442695040888963407
			return float64(dice>>33) / (1 << 31)
		}
		all, lives, sent, now := make([]*Controller, n), 0, 0, 500.0
		begin := func(i int) {
			all[i] = New(Config{Gateways: n, MessageRate: mail, Seed: dice + uint64(i)})
			all[i].SetFleet(float64(n), hosts)
			lives++
		}
		for i := range all {
			begin(i)
		}
		type out struct {
			by   int
			of   *Controller
			host string
			at   float64
		}
		var flying []out
		for ; now < 500+long; now += step {
			for i := range all {
				if chance() < restarts*step {
					begin(i)
				}
				f := all[i]
				for k := 0; k < 3 && chance() < wishes*step/3; k++ {
					if f.AllowsAttempt(now) {
						x := out{i, f, fmt.Sprint(int(chance() * float64(hosts))), now}
						f.AttemptStarted(now, x.host, false)
						sent, flying = sent+1, append(flying, x)
					}
				}
				if chance() < 0.1 {
					continue // it looks a little later
				}
				f.Evaluate(now)
				f.Flush(now, func(_ int, text string) {
					for to := range all {
						if to != i && chance() >= loss {
							all[to].Receive(now, i, text)
						}
					}
				}, func(string) {})
			}
			if mail > 0 && n > 3 && liars > 0 && chance() < 0.2 {
				for to := liars; to < n; to++ {
					all[to].Receive(now, int(chance()*float64(liars)), "~l")
				}
			}
			kept := flying[:0]
			for _, x := range flying {
				if now-x.at > 0.1 && chance() < 0.2*ends {
					x.of.AttemptEnded(now, x.host, x.at, []AttemptResult{Unanswered, ConnectFailed, Inconclusive}[int(chance()*3)])
					continue
				}
				kept = append(kept, x)
			}
			flying = kept
		}
		sum := trials
		if mail == 0 {
			sum = apart
		}
		// What ended in a way that tells nothing, or half of it, is not held against the hosts; so it may take longer.
		find := 2*alone/max(0.2, 1-0.7*ends) + wishes*0.4
		each := min(float64(n)*each, sum)
		most := float64(lives)*(find+float64(1+liars)) + 2*each*long + 40
		if float64(sent) > most {
			t.Fatalf("%d sent by %d lives of %d, at most %.0f", sent, lives, n, most)
		}
		if all := float64(lives) * wishes * long / 2; n >= 30 && wishes > 30 && float64(sent) > all {
			t.Fatalf("%d sent of %.0f wished for: nothing was bounded", sent, 2*all)
		}
	})
}
