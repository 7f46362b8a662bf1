package membership

import "math"

// incarnation numbers the starts and refutations of a member. An even number means that the member is alive, and the odd number
// after it that this incarnation was accused and counts as dead. 0 and 1 belong to a member never heard from. The numbers wrap
// around.
type incarnation uint32

const (
	incarnationCount = 1 << 30
	// ticksPerSecond is the resolution of the clock from which the first incarnation of a process is derived.
	ticksPerSecond = 4
)

// firstIncarnation derives an incarnation from the clock, so that it is newer than the previous ones of a process without
// persistent state.
func firstIncarnation(now float64) incarnation {
	tick := math.Floor(ticksPerSecond * math.Max(0, now))
	return incarnation(uint64(2*(tick+1)) % incarnationCount)
}

// newer reports whether a is newer than b.
func (a incarnation) newer(b incarnation) bool {
	if a <= 1 || b <= 1 {
		return a > b
	}
	return a != b && (a-b)%incarnationCount < incarnationCount/2
}

func (a incarnation) dead() bool { return a&1 == 1 }

// accused returns the number that marks the incarnation a as dead.
func (a incarnation) accused() incarnation { return a | 1 }

// refuted returns the first number after a that means alive.
func (a incarnation) refuted() incarnation { return (a + 2 - a&1) % incarnationCount }
