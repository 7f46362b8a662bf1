package quotastoresim

import (
	"encoding/binary"
	"fmt"
	"hash/fnv"
	"math"
	"testing"

	"otterseam/internal/digesttest"
)

// digestedSeeds is the number of seeds, counted from 0, whose runs are compared.
const digestedSeeds = 12

// TestRunsMatchRecordedDigests compares digests of runs with recorded ones. A digest covers the time and server of each log line, which
// depend on every earlier draw and message, and the numbers of the verdict.
func TestRunsMatchRecordedDigests(t *testing.T) {
	recording := digesttest.OpenPlatformRecording(t)
	for seed := range uint64(digestedSeeds) {
		t.Run(fmt.Sprint("seed", seed), func(t *testing.T) {
			t.Parallel()
			sum := fnv.New128a()
			o := OptionsForSeed(seed, 8)
			o.OnLogLine = func(at float64, server int, _ string) {
				var b [9]byte
				binary.BigEndian.PutUint64(b[:], math.Float64bits(at))
				b[8] = byte(server)
				sum.Write(b[:])
			}
			v := RunSeed(seed, o)
			fmt.Fprint(sum, v.Answered, v.Rejected, v.Unknown, v.Faults, v.MachinesLost, v.Undecided, len(v.Lost), len(v.DoubleCounted), len(v.DuplicateEffects), len(v.NotRecovered))
			recording.Compare(t, "run", int64(seed), fmt.Sprintf("%x", sum.Sum(nil)))
		})
	}
}
