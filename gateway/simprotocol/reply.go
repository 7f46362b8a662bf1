package simprotocol

import (
	"bytes"
	"encoding/json"
	"math"
	"strconv"
)

// Reply collects the commands with which one batch is answered.
type Reply struct {
	line    bytes.Buffer
	gateway int
	open    bool // the list of the present gateway has been begun
	first   bool // no list has
}

// Begin starts the reply to one batch.
func (r *Reply) Begin() {
	r.line.Reset()
	r.line.WriteString(`{"gateways":[`)
	r.open = false
	r.first = true
}

// For says whose commands follow. A gateway without commands is left out.
func (r *Reply) For(gateway int) {
	r.closeList()
	r.gateway = gateway
}

func (r *Reply) openList() {
	if !r.first {
		r.line.WriteByte(',')
	}
	r.line.WriteString(`{"who":`)
	r.line.WriteString(strconv.Itoa(r.gateway))
	r.line.WriteString(`,"cmds":[`)
	r.open = true
	r.first = false
}

func (r *Reply) closeList() {
	if r.open {
		r.line.WriteString("]}")
		r.open = false
	}
}

// Put writes one command: its name and its values in order.
func (r *Reply) Put(name string, values ...any) {
	if r.open {
		r.line.WriteByte(',')
	} else {
		r.openList()
	}
	r.line.WriteByte('[')
	r.line.WriteString(strconv.Quote(name))
	for _, v := range values {
		r.line.WriteByte(',')
		r.writeValue(v)
	}
	r.line.WriteByte(']')
}

// writeValue writes numbers without exponents; one that is infinite or none is 0.
func (r *Reply) writeValue(v any) {
	switch x := v.(type) {
	case float64:
		if math.IsNaN(x) || math.IsInf(x, 0) {
			x = 0
		}
		r.line.WriteString(strconv.FormatFloat(x, 'f', -1, 64))
	case int:
		r.line.WriteString(strconv.Itoa(x))
	case uint64:
		r.line.WriteString(strconv.FormatUint(x, 10))
	default:
		text, err := json.Marshal(v)
		if err != nil {
			text = []byte("null")
		}
		r.line.Write(text)
	}
}

// Line ends the reply and gives it, newline included. It is valid until the next Begin.
func (r *Reply) Line() []byte {
	r.closeList()
	r.line.WriteString("]}\n")
	return r.line.Bytes()
}
