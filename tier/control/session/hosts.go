package session

// RenewHolder records that a control process that receives heartbeats of hosts has answered the probe that this one sent at
// probeSentAt, and how many heartbeats it has rejected because it had no lease.
func (s *Sessions) RenewHolder(id, rejections uint64, probeSentAt int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hosts.RenewHolder(id, rejections, probeSentAt, s.now())
}

// RenewHost renews the session of a host from which the control process holderID received a heartbeat at seenAt. It reports whether a
// removal of the host may be in flight.
func (s *Sessions) RenewHost(id string, holderID uint64, seenAt int64) (removing bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.hosts.Renew(id, holderID, seenAt)
}

// ReadmitHost records that a host was added to the host list after any removal.
func (s *Sessions) ReadmitHost(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hosts.Readmit(id)
}

// BeginHostRemoval ends a host's session and records that its removal is in flight.
func (s *Sessions) BeginHostRemoval(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hosts.BeginRemoval(id)
}

// FinishHostRemoval records whether a removal is known to be committed.
func (s *Sessions) FinishHostRemoval(id string, committed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hosts.FinishRemoval(id, committed, s.now())
}

// ForgetHost ends the session of a host that is not listed.
func (s *Sessions) ForgetHost(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hosts.Forget(id)
}

// ExpiredHosts returns the hosts whose sessions have expired. heartbeat is the heartbeat interval of hosts in milliseconds.
func (s *Sessions) ExpiredHosts(heartbeat int64) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.hosts.Expired(heartbeat, s.now())
}
