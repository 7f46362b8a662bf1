package control

import (
	"context"
	"math/rand/v2"
	"sync"

	"otterseam/tier/codec"
	"otterseam/tier/codes"
	"otterseam/tier/consensus"
	"otterseam/tier/controlclient"
	"otterseam/tier/lease"
	"otterseam/tier/multigroup"
	"otterseam/tier/replica"
	"otterseam/tier/rpc"
)

// locate asks all control processes known who they are and what they know.
func (s *Server) locate(ctx context.Context) {
	s.locatedAt = multigroup.Now()
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var wait sync.WaitGroup
	for _, address := range s.otherAddresses() {
		if address == s.self.Address {
			continue
		}
		wait.Add(1)
		go func() {
			defer wait.Done()
			asked := multigroup.Now()
			answer, err := s.clients.To(address).Call(call, controlclient.KindLocate, nil)
			if err != nil {
				return
			}
			d := codec.NewDecoder(answer)
			there := consensus.Member{ID: d.Uint64(), Address: address, Node: d.String()}
			founds := d.Bool()
			record := consensus.DecodeRecord(d)
			if d.Err() == nil {
				s.elector.Learn(record)
				s.noteAnswered(there, asked)
				s.noteFounder(there, founds)
			}
		}()
	}
	wait.Wait()
}

// locateNowAndThen asks unless it has asked a moment ago.
func (s *Server) locateNowAndThen(ctx context.Context) {
	if multigroup.Now()-s.locatedAt > locateEvery {
		s.locate(ctx)
	}
}

// answerLocate tells who this process is and what it knows, and takes what the asker may have told.
func (s *Server) answerLocate(message rpc.Message) {
	if len(message.Payload) > 0 {
		s.learnEncoded(message.Payload)
	}
	var e codec.Encoder
	e.Uint64(s.self.ID)
	e.String(s.self.Node)
	e.Bool(s.settings.Bootstrap)
	consensus.EncodeRecord(&e, s.elector.Known())
	message.Answer(codes.OK, e.Bytes)
}

// situation is what this process knows of its primary.
func (s *Server) situation() lease.FailoverInput {
	known, learned := s.elector.KnownSince()
	situation := lease.FailoverInput{
		Now:             multigroup.Now(),
		StartedAt:       s.startedAt,
		RecordLearnedAt: learned,
		InSync:          known.IsInSync(s.self.ID),
		NamedPrimary:    known.Primary == s.self.ID,
		HasLed:          s.elector.hasLed(),
		Rank:            rank(known, s.self.ID),
		Jitter:          rand.Int64N(lease.ElectionStagger),
		DiskDegraded:    s.host.DiskDegraded(),
	}
	s.host.WithGroup(controlGroup, func(g *replica.Group) {
		situation.PrimaryConfirmedAt = g.PrimaryConfirmedAt()
		situation.Leads = g.IsPrimary()
	})
	return situation
}

// watchPrimary takes over when the primary has been silent, or without a majority, for too long.
func (s *Server) watchPrimary(ctx context.Context) {
	epoch := s.elector.Known().Epoch
	switch s.situation().Next() {
	case lease.ActionLocatePrimary:
		s.locateNowAndThen(ctx)
	case lease.ActionResumeLead:
		s.takeOver(ctx, prepareBySelf, epoch)
	case lease.ActionTakeOver:
		s.takeOver(ctx, prepareOnSilence, epoch)
	}
}

// rank is a replica's place among those that may follow the primary.
func rank(record consensus.Record, id uint64) int {
	place := 0
	for _, each := range record.InSync {
		if each == id {
			return place
		}
		if each != record.Primary {
			place++
		}
	}
	return place
}

// takeOver asks the others first whether they would follow, and only then for their promises, so that a process that could not
// win disturbs nobody. One without support looks around: whom it knows may have been replaced, or it may have the disk of another
// installation.
func (s *Server) takeOver(ctx context.Context, mode prepareMode, epoch uint64) {
	if !s.elector.askSupport(ctx, mode, epoch) {
		if mode != prepareOnTransfer {
			s.locateNowAndThen(ctx)
		}
		return
	}
	if mode != prepareOnTransfer {
		s.locate(ctx) // whose disks are lost
	}
	if s.elector.Known().Epoch != epoch {
		return
	}
	if err := s.elector.TakeOver(ctx, mode, epoch, s.lost); err != nil {
		s.log.WithField("epoch", epoch).WithError(err).Info("takeover did not succeed")
	}
}
