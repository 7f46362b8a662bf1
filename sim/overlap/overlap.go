package overlap

import "slices"

// Values holds the magnitudes of the faults of one kind in force. A nil Values has none.
type Values []float64

// Toggle adds a magnitude when its fault begins, and removes one equal magnitude when it ends.
func (v *Values) Toggle(magnitude float64, begin bool) {
	if begin {
		*v = append(*v, magnitude)
		return
	}
	if i := slices.Index(*v, magnitude); i >= 0 {
		*v = append((*v)[:i], (*v)[i+1:]...)
	}
}

// Product returns the product of all magnitudes, or 1 if there are none.
func (v Values) Product() float64 {
	product := 1.0
	for _, magnitude := range v {
		product *= magnitude
	}
	return product
}

// Any reports whether draw returns true for any of the magnitudes, which are probabilities here. It calls draw for each in order until
// one call returns true.
func (v Values) Any(draw func(probability float64) bool) bool {
	return slices.ContainsFunc(v, draw)
}
