package timeline

import (
	"otterseam/tier/codec"
	"otterseam/tier/rpc"
)

// KindTimeline is the call by which the status command of operators asks a process for its timeline. The request is empty; control
// processes, stores and agents answer with [Timeline.Encode].
const KindTimeline rpc.Kind = 90

// Encode is the timeline's form on the wire: steps and milliseconds.
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

// Decode reads the steps of a timeline with their milliseconds. Steps that this version doesn't know are left out.
func Decode(data []byte) map[string]int64 {
	d := codec.NewDecoder(data)
	steps := map[string]int64{}
	for {
		step := Step(d.Uint8())
		after := d.Int64()
		if d.Err() != nil {
			return steps
		}
		if step.isKnown() {
			steps[step.String()] = after
		}
	}
}
