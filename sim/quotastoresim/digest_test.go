package quotastoresim

import (
	"encoding/binary"
	"fmt"
	"hash/fnv"
	"math"
	"testing"
)

// runDigests holds the digests of the runs of commit 1895881, by seed. A digest covers the time and server of each log line, which
// depend on every earlier draw and message, and the numbers of the verdict. Later commits have to reproduce the digests.
var runDigests = map[uint64]string{
	0:  "ca15479c5f2130aec3e2efa6451176b2",
	1:  "1444b0183fcc23e53f3f4ca915707c02",
	2:  "8d07262817a519e861b5c6fd0bae251a",
	3:  "bd6d90f610f3a9e8f241b5d4e09a5049",
	4:  "a2b52978c7b823a29f0f19af086cf809",
	5:  "2a6a4876c34340c6d4ecca4d1a490fc0",
	6:  "c1efbf78df4854d7fc5725df317d19d8",
	7:  "64597f4cec3c71e5d0831ad6f224eafe",
	8:  "e8535ad9f88c60ecc5c9d8cb23b7a145",
	9:  "810f36149e8848cc025b96af6c5a45d1",
	10: "cb8c55ddccfed0e570b3fab43f203a0d",
	11: "f7d4ce096c3f5190235c87133ceaa6b5",
}

func TestRunsMatchRecordedDigests(t *testing.T) {
	for seed := range uint64(12) {
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
			if got := fmt.Sprintf("%x", sum.Sum(nil)); got != runDigests[seed] {
				t.Errorf("digest\n%d: %q, want %q", seed, got, runDigests[seed])
			}
		})
	}
}
