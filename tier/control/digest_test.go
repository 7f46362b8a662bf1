package control

import (
	"encoding/binary"
	"hash/fnv"
	"testing"
)

// eventDigest sums up the events of a simulation: their times and the order in which they were planned. A decision that differs
// anywhere plans other events or draws other random numbers.
type eventDigest struct{ sum uint64 }

func (d *eventDigest) add(event simEvent) {
	hash := fnv.New64a()
	for _, number := range []uint64{d.sum, uint64(event.at), uint64(event.order)} {
		_, _ = hash.Write(binary.BigEndian.AppendUint64(nil, number))
	}
	d.sum = hash.Sum64()
}

// digestSeeds is how many seeds of each simulation are held to their recorded digest.
const digestSeeds = 10

// The digests were taken from the code of commit f810951, before the package was split.
var (
	faultDigests = [digestSeeds]uint64{
		0xafd9dd509888d692, 0x370071d45aa755ea, 0xd8bbc16cd5bb6966, 0x6b92b3ee63e4d2a1, 0x25710a0a0c1d9056,
		0xb46d04a1715e3d95, 0x7164d1facf4a17ea, 0x13563b1bb0cfc151, 0x9bd04bd6a213bfec, 0xd188004e98ed2fc0,
	}
	linearDigests = [digestSeeds]uint64{
		0x0c8facf765b0bc9f, 0xf5f2081c1833049b, 0x7cf9043c48c74897, 0x133306eb7bf5744d, 0x5a6c20431337667e,
		0x6845b557bba5e109, 0x1527f3c4a6c332fe, 0x5d938173ba58798b, 0x7f593b7c0eb677ee, 0xa74279f74061c356,
	}
)

func TestSimulationsPlayTheRecordedEvents(t *testing.T) {
	for seed := range int64(digestSeeds) {
		s := newSimNetwork(t, seed)
		s.plan()
		s.play(simLength)
		if s.digest.sum != faultDigests[seed] {
			t.Errorf("faults, seed %d: digest %#016x, not %#016x", seed, s.digest.sum, faultDigests[seed])
		}
		l := newSimMembers(t, seed)
		l.addLinearOperators(&linearHistory{})
		l.planLinear(noLinearFault)
		l.play(linearLength)
		if l.digest.sum != linearDigests[seed] {
			t.Errorf("orders, seed %d: digest %#016x, not %#016x", seed, l.digest.sum, linearDigests[seed])
		}
	}
}
