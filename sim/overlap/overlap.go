// Package overlap holds the figures of troubles that overlap: each is put in when it begins and taken out when it ends,
// in any order. It knows nothing of what they mean.
package overlap

// Values is the figures in force.
type Values []float64

// Toggle puts a figure in, or takes one of that size out.
func (s *Values) Toggle(x float64, begin bool) {
	if begin {
		*s = append(*s, x)
		return
	}
	for i, y := range *s {
		if x == y {
			*s = append((*s)[:i], (*s)[i+1:]...)
			return
		}
	}
}

// Product is the product of all, 1 where there are none.
func (s Values) Product() float64 {
	x := 1.0
	for _, y := range s {
		x *= y
	}
	return x
}

// Any says whether one of several chances comes true; draw is asked for each.
func (s Values) Any(draw func(p float64) bool) bool {
	for _, p := range s {
		if draw(p) {
			return true
		}
	}
	return false
}
