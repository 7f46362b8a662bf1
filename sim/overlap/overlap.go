package overlap

import "slices"

// Values are the magnitudes of one kind of fault that are in force now. A nil Values has none.
type Values []float64

// Toggle adds a magnitude when its fault begins, and removes one of that size when it ends.
func (v *Values) Toggle(magnitude float64, begin bool) {
	if begin {
		*v = append(*v, magnitude)
		return
	}
	if i := slices.Index(*v, magnitude); i >= 0 {
		*v = append((*v)[:i], (*v)[i+1:]...)
	}
}

// Product is the product of all, 1 where there are none.
func (v Values) Product() float64 {
	product := 1.0
	for _, magnitude := range v {
		product *= magnitude
	}
	return product
}

// Any says whether one of several probabilities comes true. draw is asked for each in turn until one does.
func (v Values) Any(draw func(probability float64) bool) bool {
	return slices.ContainsFunc(v, draw)
}
