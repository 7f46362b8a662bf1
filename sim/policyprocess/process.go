package policyprocess

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os/exec"
	"strings"

	"otterseam/gateway/policydriver"
	"otterseam/sim/gatewaymodel"
	"otterseam/sim/simulation"
)

// namePrefix is that of programs in results and errors, and by which a command line names one.
const namePrefix = "wire:"

// readBufferSize is that of what the program says, in bytes. A line may be longer.
const readBufferSize = 1 << 20

// Process is a program that decides. It is the source of the policies that stand for its instances.
type Process struct {
	name    string
	input   io.WriteCloser
	output  *bufio.Reader
	wait    func() error
	outputs map[int]policydriver.Output // by slot: where an instance's decisions go
	err     error
	line    string // the last that the program said
	lines   int
}

var _ simulation.PolicySource = (*Process)(nil)

// ProgramError is what was wrong with a program's part in a simulation.
type ProgramError struct {
	Program string
	Line    string // the last that it said
	Lines   int    // how many it has said
	Err     error
}

func (e *ProgramError) Error() string {
	return fmt.Sprintf("%s: %v; its line %d was %.200q", e.Program, e.Err, e.Lines, e.Line)
}

func (e *ProgramError) Unwrap() error { return e.Err }

// Start starts a program.
func Start(path string) (*Process, error) {
	command := exec.Command(path)
	input, err := command.StdinPipe()
	if err != nil {
		return nil, err
	}
	output, err := command.StdoutPipe()
	if err != nil {
		return nil, err
	}
	if err := command.Start(); err != nil {
		return nil, fmt.Errorf("%s%s: %w", namePrefix, path, err)
	}
	return Attach(namePrefix+path, input, output, command.Wait), nil
}

// Attach takes the pipes of a program that runs; wait is called when it is let go. name is that in results and errors.
func Attach(name string, input io.WriteCloser, output io.Reader, wait func() error) *Process {
	return &Process{
		name:    name,
		input:   input,
		output:  bufio.NewReaderSize(output, readBufferSize),
		wait:    wait,
		outputs: map[int]policydriver.Output{},
	}
}

// Name is that of the program in results and errors.
func (p *Process) Name() string { return p.name }

// Err is what ended the program's part in the simulation: a *ProgramError.
func (p *Process) Err() error { return p.err }

// Close closes the program's input, on which it ends.
func (p *Process) Close() {
	_ = p.input.Close()
	_ = p.wait() // how it ends once nothing is asked of it any more decides nothing
}

// NewPolicy makes an instance in the program.
func (p *Process) NewPolicy(
	run *simulation.Simulation, slot int, seed uint64, out policydriver.Output,
) (gatewaymodel.Policy, error) {
	created := &instance{process: p, slot: slot, withoutList: true}
	if p.outputs[slot] != nil {
		created.put("CRASH_NOW")
	}
	p.outputs[slot] = out
	settings, err := json.Marshal(simulation.StartSettings(run.Day, slot))
	if err != nil {
		return nil, err
	}
	created.put("CREATE", seed, json.RawMessage(settings))
	return created, p.err
}

// fail ends the program's part in the simulation, with the first thing that is wrong.
func (p *Process) fail(format string, args ...any) {
	if p.err == nil {
		p.err = &ProgramError{Program: p.name, Line: p.line, Lines: p.lines, Err: fmt.Errorf(format, args...)}
	}
}

// ask sends a batch and carries out the reply.
func (p *Process) ask(batch string) {
	_, writeErr := io.WriteString(p.input, batch) // one that has ended may have said why
	line, readErr := p.output.ReadBytes('\n')
	if err := errors.Join(writeErr, readErr); err != nil {
		p.fail("has ended in the middle of the day (%w)", err)
		return
	}
	p.lines++
	p.line = strings.TrimSpace(string(line))
	p.carryOut(line)
}
