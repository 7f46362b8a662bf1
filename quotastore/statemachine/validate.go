package statemachine

// InvalidStateError is returned for a snapshot that can be decoded but in which a part of the state is missing or empty, which
// Snapshot never writes.
type InvalidStateError struct {
	Part string // of the state
}

func (e *InvalidStateError) Error() string { return e.Part + ": missing, or an element is empty" }

// validate returns an error for a decoded state in which a part is missing or empty. Such a state would cause a nil pointer
// dereference later.
func (s *State) validate() error {
	for _, part := range []struct {
		name  string
		valid bool
	}{
		{"sessions", complete(s.Sessions, nil)},
		{"counters", complete(s.Counters, (*counter).valid)},
		{"leases", complete(s.Leases, nil)},
		{"unreported usage", complete(s.Unreported, (*unreportedByKey).valid)},
		{"markers", complete(s.Markers, nil)},
		{"metered usage", s.Metering.valid()},
	} {
		if !part.valid {
			return &InvalidStateError{Part: part.name}
		}
	}
	return nil
}

// complete reports whether a map and all of its elements are non-nil, and all elements are valid.
func complete[T any](all map[string]*T, valid func(*T) bool) bool {
	if all == nil {
		return false
	}
	for _, x := range all {
		if x == nil || valid != nil && !valid(x) {
			return false
		}
	}
	return true
}

func (c *counter) valid() bool { return c.ByHolder == nil || complete(c.ByHolder, nil) }

func (u *unreportedByKey) valid() bool { return complete(u.ByKey, nil) }

func (m *metering) valid() bool {
	if m == nil || m.ByHolder == nil {
		return false
	}
	for _, byCustomer := range m.ByHolder {
		if !complete(byCustomer, nil) {
			return false
		}
	}
	return true
}
