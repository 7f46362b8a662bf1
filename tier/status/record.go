package status

import (
	"context"
	"sync"

	"otterseam/tier/consensus"
	"otterseam/tier/controlclient"
	"otterseam/tier/rpc"
)

// NewestRecord requests the group record, which names the primary and the members in sync, from all control processes and returns
// the one with the highest epoch. The record is empty if no process answers.
func NewestRecord(ctx context.Context, addresses []string) consensus.Record {
	records := make([]consensus.Record, len(addresses))
	var calls sync.WaitGroup
	for i, address := range addresses {
		calls.Go(func() { records[i] = locate(ctx, address) })
	}
	calls.Wait()
	var newest consensus.Record
	for _, record := range records {
		if record.Epoch > newest.Epoch {
			newest = record
		}
	}
	return newest
}

// locate returns the newest record that one control process knows. The record is empty if the process does not answer.
func locate(ctx context.Context, address string) consensus.Record {
	client := rpc.NewClient(address, nil)
	defer client.Close()
	answer, err := client.Call(ctx, controlclient.KindLocate, nil)
	if err != nil {
		return consensus.Record{}
	}
	response, err := controlclient.DecodeLocateResponse(answer)
	if err != nil {
		return consensus.Record{}
	}
	return response.Record
}
