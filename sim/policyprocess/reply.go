package policyprocess

import (
	"encoding/json"

	"otterseam/gateway/membership"
	"otterseam/gateway/policydriver"
)

// reply is a line of the program's output, with the commands of its instances.
type reply struct {
	Gateways []struct {
		Slot     int                 `json:"who"`
		Commands [][]json.RawMessage `json:"cmds"`
	} `json:"gateways"`
}

// carryOut parses a reply and executes its commands.
func (p *Process) carryOut(line []byte) {
	var read reply
	if err := json.Unmarshal(line, &read); err != nil {
		p.fail("invalid reply: %w", err)
		return
	}
	for _, gateway := range read.Gateways {
		out := p.outputs[gateway.Slot]
		if out == nil {
			p.fail("reply for api gateway %d, which does not exist", gateway.Slot)
			return
		}
		for _, values := range gateway.Commands {
			p.command(out, values)
			if p.err != nil {
				return
			}
		}
	}
}

// command is one command of a reply, with the values that follow its name.
type command struct {
	process *Process
	out     policydriver.Output
	name    string
	values  []json.RawMessage
}

// commands holds by name the functions that execute commands. nil means that there is nothing to do, because the simulation publishes
// the host list without a request and manages idle connections itself.
var commands = map[string]func(c *command){
	"PASS_ON":   (*command).send,
	"SHED":      (*command).throttle,
	"SURRENDER": (*command).giveUp,
	"CALL_OFF":  (*command).cancelAttempt,
	"BUMP":      (*command).addCount,
	"SCHEDULE":  (*command).setTimer,
	"ANNOUNCE":  (*command).sendPeer,
	"TRACE":     (*command).log,
	"FAULT":     (*command).fault,
	"TRACK":     nil,
	"FETCH":     nil,
	"RELEASE":   nil,
}

func (p *Process) command(out policydriver.Output, values []json.RawMessage) {
	var name string
	if len(values) == 0 || json.Unmarshal(values[0], &name) != nil {
		p.fail("reply has a command without a name")
		return
	}
	carryOut, known := commands[name]
	if !known {
		p.fail("reply has an unknown command: %s", name)
		return
	}
	if carryOut != nil {
		carryOut(&command{process: p, out: out, name: name, values: values[1:]})
	}
}

// read decodes the values of a command. All but the first may be omitted. It returns false if a value is invalid, which ends the use
// of the program.
func (c *command) read(targets ...any) bool {
	for i, target := range targets {
		missing := i >= len(c.values)
		if missing && i == 0 || !missing && json.Unmarshal(c.values[i], target) != nil {
			c.process.fail("%s: value %d is missing or invalid", c.name, i+1)
			return false
		}
	}
	return true
}

func (c *command) send() {
	var ref, addr string
	var timeout float64
	if c.read(&ref, &timeout, &addr) {
		c.out.Send(ref, addr, timeout)
	}
}

func (c *command) throttle() {
	var ref string
	var retryAfter float64
	if c.read(&ref, &retryAfter) {
		c.out.Throttle(ref, retryAfter)
	}
}

func (c *command) giveUp() {
	var ref string
	if c.read(&ref) {
		c.out.Fail(ref)
	}
}

func (c *command) cancelAttempt() {
	var ref string
	var number int
	if c.read(&ref, &number) {
		c.out.CancelAttempt(ref, number)
	}
}

func (c *command) addCount() {
	var name uint64
	var amount, lifetime float64
	if c.read(&name, &amount, &lifetime) {
		c.out.AddCount(name, amount, lifetime)
	}
}

func (c *command) setTimer() {
	var nonce uint64
	var at float64
	if c.read(&nonce, &at) {
		c.out.SetTimer(nonce, at)
	}
}

func (c *command) sendPeer() {
	var slot *int // null means all others
	var text string
	if !c.read(&slot, &text) {
		return
	}
	to := membership.Broadcast
	if slot != nil {
		to = *slot
	}
	c.out.SendPeer(to, text)
}

func (c *command) log() {
	var text string
	if c.read(&text) {
		c.out.Log(text)
	}
}

func (c *command) fault() {
	var text string
	c.read(&text)
	c.process.fail("program reported a failure: %s", text)
}
