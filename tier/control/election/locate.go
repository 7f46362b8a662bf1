package election

import (
	"context"
	"sync"

	"otterseam/tier/codes"
	"otterseam/tier/consensus"
	"otterseam/tier/controlclient"
	"otterseam/tier/rpc"
)

// LocateInterval is the interval, in milliseconds, at which a process without a primary locates the other control processes.
const LocateInterval = 200

// locate asks all known addresses of control processes for their identity and the record that they know.
func (f *Failover) locate(ctx context.Context) {
	f.locatedAt = f.elector.config.Now()
	call, cancel := context.WithTimeout(ctx, CallTimeout)
	defer cancel()
	var wait sync.WaitGroup
	for _, address := range f.elector.Addresses() {
		if address == f.elector.config.Self.Address {
			continue
		}
		wait.Add(1)
		go func() {
			defer wait.Done()
			f.locateAddress(call, address)
		}()
	}
	wait.Wait()
}

// locateAddress asks the process at an address for its identity and its record.
func (f *Failover) locateAddress(ctx context.Context, address string) {
	sentAt := f.elector.config.Now()
	answer, err := f.elector.config.Clients.To(address).Call(ctx, controlclient.KindLocate, nil)
	if err != nil {
		return
	}
	response, err := controlclient.DecodeLocateResponse(answer)
	if err != nil {
		return
	}
	member := consensus.Member{ID: response.ID, Address: address, Node: response.Node}
	f.elector.Learn(response.Record)
	f.elector.ObserveAnswer(member, sentAt)
	f.candidates.set(member, response.Bootstraps)
}

// locateUnlessRecent calls locate if the last call was longer than LocateInterval ago.
func (f *Failover) locateUnlessRecent(ctx context.Context) {
	if f.elector.config.Now()-f.locatedAt > LocateInterval {
		f.locate(ctx)
	}
}

// HandleLocate answers with the identity of this process and the record that it knows. It learns the record in the request, if any.
func (e *Elector) HandleLocate(message rpc.Message) {
	if len(message.Payload) > 0 {
		e.learnEncoded(message.Payload)
	}
	response := controlclient.LocateResponse{ID: e.config.Self.ID, Node: e.config.Self.Node, Bootstraps: e.config.Bootstrap, Record: e.Known()}
	message.Answer(codes.OK, response.Encode())
}

// Announce sends the known record to the seeds that are not members. A process that starts on an empty disk may know only the seeds, so
// it can find the group through them.
func (e *Elector) Announce(ctx context.Context) {
	known := e.Known()
	members := map[string]bool{}
	for _, member := range known.Replicas() {
		members[member.Address] = true
	}
	call, cancel := context.WithTimeout(ctx, CallTimeout)
	defer cancel()
	for _, seed := range e.config.Seeds() {
		if !members[seed] {
			_, _ = e.config.Clients.To(seed).Call(call, controlclient.KindLocate, encodeRecord(known)) // a failed call is repeated by the next announcement
		}
	}
}
