package control

import (
	"bytes"
	"context"
	"time"

	"otterseam/tier/codec"
	"otterseam/tier/consensus"
	"otterseam/tier/control/election"
	"otterseam/tier/control/state"
	"otterseam/tier/controlclient"
	"otterseam/tier/directory"
	"otterseam/tier/feed"
	"otterseam/tier/multigroup"
	"otterseam/tier/periodic"
	"otterseam/tier/replica"
)

// controlBeatEvery is how often a control process keeps its session with the primary.
const controlBeatEvery = 150 * time.Millisecond

// beat keeps this process's session with the primary.
func (s *Server) beat(ctx context.Context) {
	periodic.Run(ctx, controlBeatEvery, func() {
		if s.status.Leads() {
			s.sessions.RenewControl(s.self, s.draining.Load())
		} else if s.elector.Known().IsBootstrapped() {
			s.beatPrimary(ctx)
		}
	})
}

// beatPrimary tells the primary that this process is there. The answer says how old the primary's contact with a majority is; it
// counts from before the question was sent.
func (s *Server) beatPrimary(ctx context.Context) {
	beat := controlclient.MemberHeartbeat{Member: s.self, Leaving: s.draining.Load(), RejectedHeartbeats: s.refusals.Load()}
	s.host.WithGroup(state.Group, func(g *replica.Group) { beat.Echoed = g.LastProbe() })
	call, cancel := context.WithTimeout(ctx, election.CallTimeout)
	defer cancel()
	asked := multigroup.Now()
	answer, err := s.primary.Call(call, controlclient.KindMemberHeartbeat, beat.Encode())
	if err != nil {
		return
	}
	d := codec.NewDecoder(answer)
	record := consensus.DecodeRecord(d)
	age := d.Int64()
	if d.Err() == nil {
		s.elector.Learn(record)
		s.status.ObserveReached(asked - age)
	}
}

// storeBeat keeps a store's session, and registers a store that is new or was started again.
func (s *Server) storeBeat(ctx context.Context, payload []byte) (state.Result, error) {
	beat, err := controlclient.DecodeStoreHeartbeat(payload)
	if err != nil {
		return state.Result{}, err
	}
	s.sessions.RenewStore(beat)
	held, known := s.state.View.Get(feed.SectionStore, directory.StoreKey(beat.Store.Identity))
	if known && bytes.Equal(held, beat.Store.Encode()) {
		return state.Result{}, s.status.MayDecide()
	}
	defer s.wakeSupervisor() // shards may have waited for this store
	return s.submitHere(ctx, state.PutStore{Store: beat.Store}.Encode())
}

// hostBeat keeps a host's session; only what changed is replicated.
func (s *Server) hostBeat(ctx context.Context, beat controlclient.HostHeartbeat) (state.Result, error) {
	removing := s.sessions.RenewHost(beat.Host.ID, s.self.ID, multigroup.Now())
	held, known := s.state.Host(beat.Host.ID)
	if known && held == beat.Host && !removing {
		return state.Result{}, s.status.MayDecide()
	}
	result, err := s.submitHere(ctx, state.PutHost{Host: beat.Host, Seq: beat.Seq}.Encode())
	if err == nil {
		s.sessions.ReadmitHost(beat.Host.ID)
	}
	return result, err
}

// hostGone removes a host. One that deregistered never comes back, whatever heartbeats of its arrive late.
func (s *Server) hostGone(ctx context.Context, id string, deregistered bool) (state.Result, error) {
	if _, known := s.state.Host(id); !known && !deregistered {
		s.sessions.ForgetHost(id)
		return state.Result{}, nil
	}
	s.sessions.BeginHostRemoval(id)
	result, err := s.submitHere(ctx, state.RemoveHost{ID: id, Deregistered: deregistered}.Encode())
	s.sessions.FinishHostRemoval(id, err == nil)
	return result, err
}
