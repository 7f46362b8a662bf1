package muster
import ("testing";"fmt")
func TestDbg(t *testing.T) {
	debug = func(at float64, i int, s string) { fmt.Printf("%.2f  %d: %s\n", at-1000, i, s)  }
	Play(Plan{Members: 300, Length: 200, Mail: 60, Part: .1, Delay: .005, Every: 5, Down: 8, Loss: .1, Seed: 1})
}
