package session

// RenewHolder notes that a control process which keeps sessions of hosts has answered what this one asked at a time, and how many
// heartbeats it has refused for want of a lease.
func (s *Sessions) RenewHolder(id, refusals uint64, asked int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hosts.RenewHolder(id, refusals, asked, s.now())
}

// RenewHost keeps a host's session, for the control process that heard it at a time. It tells whether a removal of the host may be
// under way.
func (s *Sessions) RenewHost(id string, by uint64, at int64) (removing bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.hosts.Renew(id, by, at)
}

// ReadmitHost notes that a host was put on the list.
func (s *Sessions) ReadmitHost(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hosts.Readmit(id)
}

// BeginHostRemoval ends a host's session.
func (s *Sessions) BeginHostRemoval(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hosts.BeginRemoval(id)
}

// FinishHostRemoval notes whether a removal was committed.
func (s *Sessions) FinishHostRemoval(id string, committed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hosts.FinishRemoval(id, committed, s.now())
}

// ForgetHost ends the session of a host that is not on the list.
func (s *Sessions) ForgetHost(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hosts.Forget(id)
}

// ExpiredHosts lists hosts that missed too many heartbeats of the given length in milliseconds.
func (s *Sessions) ExpiredHosts(heartbeat int64) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.hosts.Expired(heartbeat, s.now())
}
