package opconfig

// PickService chooses the service of a request by the route's weights. The draw is uniform in [0, 1).
func (r *Route) PickService(draw float64) string {
	if len(r.Split) == 0 {
		return r.Service
	}
	total := 0.0
	for _, split := range r.Split {
		total += split.Weight
	}
	left := draw * total
	for _, split := range r.Split {
		if left -= split.Weight; left < 0 {
			return split.Service
		}
	}
	// rounding left a remainder behind the last share
	for _, split := range r.Split {
		if split.Weight > 0 {
			return split.Service
		}
	}
	return r.Service
}
