package opconfig

// PickService chooses the service of a request by the route's weights. draw is a random number, uniform in [0, 1).
func (r *Route) PickService(draw float64) string {
	if len(r.Split) == 0 {
		return r.Service
	}
	total := 0.0
	for _, split := range r.Split {
		total += split.Weight
	}
	remaining := draw * total
	for _, split := range r.Split {
		if remaining -= split.Weight; remaining < 0 {
			return split.Service
		}
	}
	// rounding errors left a remainder after the last share
	for _, split := range r.Split {
		if split.Weight > 0 {
			return split.Service
		}
	}
	return r.Service
}
