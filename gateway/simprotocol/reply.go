package simprotocol

import (
	"bytes"
	"encoding/json"
	"math"
	"strconv"
)

// Reply collects the commands in reply to one batch.
type Reply struct {
	line     bytes.Buffer
	gateway  int
	listOpen bool // whether the command list of the current gateway was opened
	noList   bool // whether no command list was opened yet
}

// Begin starts the reply to one batch.
func (r *Reply) Begin() {
	r.line.Reset()
	r.line.WriteString(`{"gateways":[`)
	r.listOpen = false
	r.noList = true
}

// SelectGateway sets the gateway whose commands follow. A gateway without commands is omitted from the reply.
func (r *Reply) SelectGateway(gateway int) {
	r.closeList()
	r.gateway = gateway
}

func (r *Reply) openList() {
	if !r.noList {
		r.line.WriteByte(',')
	}
	r.line.WriteString(`{"who":`)
	r.line.WriteString(strconv.Itoa(r.gateway))
	r.line.WriteString(`,"cmds":[`)
	r.listOpen = true
	r.noList = false
}

func (r *Reply) closeList() {
	if r.listOpen {
		r.line.WriteString("]}")
		r.listOpen = false
	}
}

// Add appends one command: its name and its values in order.
func (r *Reply) Add(name string, values ...any) {
	if r.listOpen {
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

// writeValue writes one value. Numbers have no exponents, and NaN and infinities are written as 0.
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

// Line ends the reply and returns it as a line with its newline. The result is valid until the next Begin.
func (r *Reply) Line() []byte {
	r.closeList()
	r.line.WriteString("]}\n")
	return r.line.Bytes()
}
