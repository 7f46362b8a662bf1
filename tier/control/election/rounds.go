package election

import (
	"encoding/binary"

	"otterseam/tier/codes"
	"otterseam/tier/consensus"
	"otterseam/tier/storage"
)

// roundsValue is the name of the stored limit of the rounds that this process may have used.
const roundsValue = "rounds"

// openRounds reads the stored limit of the rounds that earlier incarnations of this process may have used, and returns an allocator for
// the rounds above it.
func openRounds(values *storage.Values, acceptor consensus.Acceptor) (*consensus.RoundAllocator, error) {
	content, err := values.Read(roundsValue)
	if err != nil {
		return nil, err
	}
	used := consensus.AssumedRoundLimit(acceptor)
	if content != nil {
		if len(content) != 8 {
			return nil, codes.DiskDamaged
		}
		used = binary.BigEndian.Uint64(content)
	}
	return consensus.NewRoundAllocator(used, func(limit uint64) error {
		return values.Write(roundsValue, binary.BigEndian.AppendUint64(nil, limit))
	}), nil
}
