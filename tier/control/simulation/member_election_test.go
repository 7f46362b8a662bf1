package simulation

import (
	"sort"

	"otterseam/tier/consensus"
	"otterseam/tier/control/election"
	"otterseam/tier/lease"
	"otterseam/tier/membership"
)

func (m *member) watchPrimary() {
	input := lease.FailoverInput{
		Now: m.clock(), StartedAt: m.clockOffset, RecordLearnedAt: m.epochSeenAt, PrimaryConfirmedAt: m.group.PrimaryConfirmedAt(),
		InSync: m.known.IsInSync(m.id), Leads: m.group.IsPrimary(), NamedPrimary: m.known.Primary == m.id, HasLed: m.hasLed,
		Rank: election.Rank(m.known, m.id), Jitter: m.s.random.Int63n(lease.ElectionStagger),
	}
	action := input.Next()
	if !m.backoff.MayPropose(m.known.Epoch, m.clock()) {
		action = lease.ActionLocatePrimary
	}
	switch action {
	case lease.ActionLocatePrimary:
		m.locate()
	case lease.ActionResumeLead:
		m.takeOver(election.PrepareBySelf)
	case lease.ActionTakeOver:
		m.takeOver(election.PrepareOnSilence)
	}
}

func (m *member) locate() {
	if m.clock()-m.lastLocate < election.LocateInterval {
		return
	}
	m.lastLocate = m.clock()
	for _, peer := range m.s.members {
		if peer != m {
			call(m.s, m.process, peer.process, election.CallTimeout.Milliseconds(), func(answer func(consensus.Record)) { answer(peer.known) },
				func(record consensus.Record, ok bool) {
					if ok {
						m.learn(record)
					}
				})
		}
	}
}

func (m *member) voter() lease.Voter {
	voter := lease.Voter{
		Now: m.clock(), StartedAt: m.startedAt, KnownEpoch: m.known.Epoch, KnownPrimary: m.known.Primary, PrimaryConfirmedAt: m.group.PrimaryConfirmedAt(),
	}
	if view := m.group.View(); view.Epoch > m.known.Epoch {
		voter.KnownEpoch, voter.KnownPrimary = view.Epoch, view.Primary
	}
	voter.Leads = m.group.IsPrimary() && m.status().HasLease(m.clock())
	return voter
}

// takeOver asks all members for pre-votes and, if a quorum grants them, proposes this member as primary.
func (m *member) takeOver(mode election.PrepareMode) {
	if m.proposing {
		return
	}
	m.proposing = true
	suspected := m.known.Epoch
	supporters, possible := map[uint64]bool{}, map[uint64]bool{}
	for _, peer := range m.s.members {
		possible[peer.id] = true
	}
	decided := false
	for _, peer := range m.s.members {
		call(m.s, m.process, peer.process, election.CallTimeout.Milliseconds(), func(answer func(bool)) {
			answer(peer.voter().Grants(lease.VoteRequest{Candidate: m.id, Epoch: suspected}))
		}, func(supported, ok bool) {
			supporters[peer.id] = supported && ok
			possible[peer.id] = supported && ok
			switch {
			case decided:
			case consensus.Quorum(m.known, supporters):
				decided = true
				m.proposeTakeover(mode, suspected)
			case !consensus.Quorum(m.known, possible):
				decided = true
				m.proposing = false
				m.locate()
			}
		})
	}
}

// policy returns the policy that tolerates the loss of any minority of the members.
func (s *sim) policy() membership.Policy {
	return membership.Policy{Tolerate: (len(s.members) - 1) / 2}
}

func (m *member) proposeTakeover(mode election.PrepareMode, suspected uint64) {
	applied := false
	var replaced consensus.Record
	m.propose(mode, func(current consensus.Record) (consensus.Record, bool) {
		if !election.MayReplace(current, suspected, m.id) {
			return current, false
		}
		applied = true
		replaced = current
		return m.s.policy().Successor(current, m.id, func(uint64) bool { return false }), true
	}, func(record consensus.Record, ok bool) {
		if ok && applied {
			m.s.checkElection(m, replaced)
			m.hasLed = true
			m.group.SetView(membership.View(record), m.clock())
			m.processOutput()
			return
		}
		m.backoff.Fail(suspected, m.clock(), m.s.random.Int63n)
	})
}

// adjustInSync adds replicas that have caught up to the in-sync set or, if there are none, removes silent ones.
func (m *member) adjustInSync() {
	if m.proposing {
		return
	}
	caughtUp := m.group.CaughtUp(m.clock())
	silent := m.group.Unresponsive(m.clock())
	sort.Slice(silent, func(i, j int) bool { return silent[i] < silent[j] })
	if len(caughtUp) == 0 && len(silent) == 0 {
		return
	}
	for _, id := range caughtUp {
		m.group.Admit(id)
	}
	m.proposing = true
	adjusted := false
	m.propose(election.PrepareBySelf, func(current consensus.Record) (consensus.Record, bool) {
		if current.Primary != m.id {
			return current, false
		}
		next := m.nextInSync(current, caughtUp, silent)
		adjusted = len(caughtUp) == 0 || len(next.InSync) > len(current.InSync)
		return next, adjusted
	}, func(record consensus.Record, ok bool) {
		if ok && adjusted {
			m.group.SetView(membership.View(record), m.clock())
			m.processOutput()
		}
	})
}

// nextInSync returns the next record, with the replicas that have caught up or, if there are none, without those that are silent.
func (m *member) nextInSync(current consensus.Record, caughtUp, silent []uint64) consensus.Record {
	next := current
	next.Epoch++
	for _, id := range caughtUp {
		next.InSync = append(consensus.Without(next.InSync, id), id)
	}
	for _, id := range silent {
		if len(caughtUp) == 0 && len(next.InSync) > m.s.policy().InSyncFloor(current) {
			next.InSync = consensus.Without(next.InSync, id)
		}
	}
	return next
}

// propose changes the register in a single attempt.
func (m *member) propose(mode election.PrepareMode, change func(consensus.Record) (consensus.Record, bool), done func(consensus.Record, bool)) {
	m.rounds.Observe(m.acceptor.Promised.Round)
	round, err := m.rounds.Next()
	if err != nil {
		m.s.t.Fatal(err)
	}
	ballot := consensus.ProposalNumber{Round: round, Proposer: m.id}
	proposal := consensus.NewProposal(ballot, m.known, consensus.Record{}, func(current consensus.Record, _ map[uint64]bool) (consensus.Record, bool) {
		return change(current)
	})
	finished, incarnation := false, m.incarnation
	finish := func(record consensus.Record, ok bool) {
		if finished || incarnation != m.incarnation {
			return
		}
		finished = true
		m.proposing = false
		m.rounds.Observe(proposal.HighestRound())
		if ok {
			m.observeRecord(record, true)
		}
		done(record, ok)
	}
	m.s.after(election.ProposeTimeout.Milliseconds(), func() { m.s.run(m.process, func() { finish(consensus.Record{}, false) }) })
	var send func([]consensus.Request)
	send = func(requests []consensus.Request) {
		for _, request := range requests {
			peer := m.s.members[request.To.ID-1]
			call(m.s, m.process, peer.process, election.CallTimeout.Milliseconds(), func(answer func(consensus.Response)) { answer(peer.vote(mode, request)) },
				func(response consensus.Response, reached bool) {
					if finished || incarnation != m.incarnation {
						return
					}
					if reached {
						send(proposal.Answer(request.Kind, request.To.ID, response))
					} else {
						send(proposal.Fail(request.Kind, request.To.ID))
					}
				})
		}
		switch proposal.Phase() {
		case consensus.PhaseDecided:
			finish(proposal.Decided(), true)
		case consensus.PhaseFailed:
			finish(consensus.Record{}, false)
		}
	}
	send(proposal.Begin())
}

// vote returns the acceptor's response to a request.
func (m *member) vote(mode election.PrepareMode, request consensus.Request) consensus.Response {
	if request.Kind == consensus.RequestPrepare {
		return m.prepare(mode, request.Number)
	}
	granted := m.accept(request.Number, request.Value)
	return consensus.Response{Granted: granted, Promised: m.acceptor.Promised, Accepted: m.acceptor.Accepted, Value: m.acceptor.Value}
}

func (m *member) prepare(mode election.PrepareMode, ballot consensus.ProposalNumber) consensus.Response {
	voter := m.voter()
	if mode == election.PrepareOnSilence && !voter.Grants(lease.VoteRequest{Epoch: voter.KnownEpoch}) {
		return consensus.Response{}
	}
	granted := m.acceptor.Prepare(ballot)
	return consensus.Response{Granted: granted, Promised: m.acceptor.Promised, Accepted: m.acceptor.Accepted, Value: m.acceptor.Value}
}

func (m *member) accept(ballot consensus.ProposalNumber, record consensus.Record) bool {
	granted := m.acceptor.Accept(ballot, record)
	if granted {
		m.learn(record)
	}
	return granted
}
