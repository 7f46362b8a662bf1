package status

import (
	"context"
	"sync"

	"otterseam/tier/consensus"
	"otterseam/tier/controlclient"
	"otterseam/tier/rpc"
)

// NewestRecord asks all control processes for the newest record of who leads and who is in sync; it is empty if none answers.
func NewestRecord(ctx context.Context, addresses []string) consensus.Record {
	records := make([]consensus.Record, len(addresses))
	var asking sync.WaitGroup
	for i, address := range addresses {
		asking.Go(func() { records[i] = locate(ctx, address) })
	}
	asking.Wait()
	var newest consensus.Record
	for _, record := range records {
		if record.Epoch > newest.Epoch {
			newest = record
		}
	}
	return newest
}

// locate asks one control process for the record that it knows; it is empty if there is no answer.
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
