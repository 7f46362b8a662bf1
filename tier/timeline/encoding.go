package timeline

import (
	"otterseam/tier/codec"
	"otterseam/tier/rpc"
)

// KindTimeline is the kind of the call that requests the timeline of a process, as the operators' status command does. The request
// is empty. Control processes, stores and agents answer with [Timeline.Encode].
const KindTimeline rpc.Kind = 90

// Encode returns the wire format of the timeline: the reached steps, each followed by its time in milliseconds.
func (t *Timeline) Encode() []byte {
	t.mu.Lock()
	defer t.mu.Unlock()
	var e codec.Encoder
	for step := ProcessUp; step <= lastStep; step++ {
		if t.reached[step] != 0 {
			e.Uint8(uint8(step))
			e.Int64(t.reached[step].Milliseconds())
		}
	}
	return e.Bytes
}

// Decode returns the times of an encoded timeline in milliseconds, by the names of the steps. It skips steps that this version
// doesn't know.
func Decode(data []byte) map[string]int64 {
	d := codec.NewDecoder(data)
	steps := map[string]int64{}
	for {
		step := Step(d.Uint8())
		afterMS := d.Int64()
		if d.Err() != nil {
			return steps
		}
		if step.isKnown() {
			steps[step.String()] = afterMS
		}
	}
}
