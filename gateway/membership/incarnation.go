package membership

import "math"

// incarnation numbers the lives of a member and what is said of them: an even number says that it is alive, the odd one after
// it that this life was accused and counts as dead. 0 and 1 are of a member that was never heard of. The numbers wrap around.
type incarnation uint32

const (
	incarnations = 1 << 30
	// clockTicks is how many ticks a second the clock gives for the first number of a life.
	clockTicks = 4
)

// firstIncarnation numbers a life by the clock, so that it is newer than the former ones of a process that kept nothing.
func firstIncarnation(now float64) incarnation {
	tick := math.Floor(clockTicks * math.Max(0, now))
	return incarnation(uint64(2*(tick+1)) % incarnations)
}

// newer says whether a says something newer than b.
func (a incarnation) newer(b incarnation) bool {
	if a <= 1 || b <= 1 {
		return a > b
	}
	return a != b && (a-b)%incarnations < incarnations/2
}

func (a incarnation) dead() bool { return a&1 == 1 }

// accused is the number that says that the life a is dead.
func (a incarnation) accused() incarnation { return a | 1 }

// refuted is the first number after a that says: alive.
func (a incarnation) refuted() incarnation { return (a + 2 - a&1) % incarnations }
