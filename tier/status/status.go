// Package status reads the state of a running tier from its control processes, for operators and tests.
package status

import (
	"context"
	"sort"
	"sync"

	"otterseam/tier/codes"
	"otterseam/tier/consensus"
	"otterseam/tier/control/state"
	"otterseam/tier/controlclient"
	"otterseam/tier/directory"
	"otterseam/tier/feed"
	"otterseam/tier/rpc"
)

// Status is what the control processes tell.
type Status struct {
	Control       consensus.Record  `json:"control"`
	ConfigVersion uint64            `json:"config_version"`
	Revision      uint64            `json:"revision"`
	Stores        []directory.Store `json:"stores"`
	Shards        []directory.Shard `json:"shards"`
	Hosts         []directory.Host  `json:"hosts"`
	Ejected       map[string]int64  `json:"hosts_set_aside"` // by host, the term in milliseconds

	Recovery []Recovery `json:"recovery"` // of the processes of control and of the stores

	ControlProtection Protection            `json:"control_bears"`
	ShardProtection   map[uint32]Protection `json:"shards_bear"`
}

// Read asks the control processes at the addresses, which are those of the internal ports.
func Read(ctx context.Context, addresses []string) (Status, error) {
	view, err := readView(ctx, addresses)
	if err != nil {
		return Status{}, err
	}
	s := Status{Control: NewestRecord(ctx, addresses), Revision: view.Revision()}
	if data, found := view.Get(feed.SectionConfig, directory.CurrentKey); found {
		s.ConfigVersion, _ = state.SplitConfig(data)
	}
	for _, store := range directory.Stores(view) {
		s.Stores = append(s.Stores, store)
	}
	for _, shard := range directory.Shards(view) {
		s.Shards = append(s.Shards, shard)
	}
	s.Hosts = directory.Hosts(view)
	s.Ejected = directory.Ejections(view)
	sort.Slice(s.Stores, func(i, j int) bool { return s.Stores[i].Node < s.Stores[j].Node })
	sort.Slice(s.Shards, func(i, j int) bool { return s.Shards[i].ID < s.Shards[j].ID })
	s.protect()
	processes := addresses
	for _, store := range s.Stores {
		processes = append(processes[:len(processes):len(processes)], store.Address)
	}
	s.Recovery = readRecovery(ctx, processes)
	return s, nil
}

// readView subscribes until the first update has come.
func readView(ctx context.Context, addresses []string) (*feed.View, error) {
	view := feed.NewView()
	reading, cancel := context.WithCancel(ctx)
	defer cancel()
	subscriber := &feed.Subscriber{View: view, Addresses: func() []string { return addresses }, OnChange: func([]feed.Item) { cancel() }}
	subscriber.Run(reading)
	if view.Revision() == 0 {
		return nil, codes.Unavailable
	}
	return view, nil
}

// NewestRecord asks all control processes for the newest record of who leads and who is in sync; it is empty if none answers.
func NewestRecord(ctx context.Context, addresses []string) consensus.Record {
	var mu sync.Mutex
	var newest consensus.Record
	var wait sync.WaitGroup
	for _, address := range addresses {
		wait.Add(1)
		go func() {
			defer wait.Done()
			client := rpc.NewClient(address, nil)
			defer client.Close()
			answer, err := client.Call(ctx, controlclient.KindLocate, nil)
			if err != nil {
				return
			}
			response, err := controlclient.DecodeLocateResponse(answer)
			mu.Lock()
			defer mu.Unlock()
			if err == nil && response.Record.Epoch > newest.Epoch {
				newest = response.Record
			}
		}()
	}
	wait.Wait()
	return newest
}
