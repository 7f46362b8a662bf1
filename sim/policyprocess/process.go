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

// namePrefix is the prefix of a program's path in results, errors and command lines.
const namePrefix = "wire:"

// readBufferSize is the size in bytes of the buffer for the program's output. A line may be longer.
const readBufferSize = 1 << 20

// Process is a running program that makes policy decisions. It is the source of policies that forward to instances in the program.
type Process struct {
	name    string
	input   io.WriteCloser
	output  *bufio.Reader
	wait    func() error
	outputs map[int]policydriver.Output // by slot: output for an instance's decisions
	err     error
	line    string // last line of the program's output
	lines   int
}

var _ simulation.PolicySource = (*Process)(nil)

// ProgramError is the error that ended the use of a program in a simulation.
type ProgramError struct {
	Program string
	Line    string // last line of its output
	Lines   int    // number of lines read
	Err     error
}

func (e *ProgramError) Error() string {
	return fmt.Sprintf("%s: %v; line %d of its output was %.200q", e.Program, e.Err, e.Lines, e.Line)
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

// Attach returns the Process of a running program with the given pipes. Close calls wait. name identifies the program in results and
// errors.
func Attach(name string, input io.WriteCloser, output io.Reader, wait func() error) *Process {
	return &Process{
		name:    name,
		input:   input,
		output:  bufio.NewReaderSize(output, readBufferSize),
		wait:    wait,
		outputs: map[int]policydriver.Output{},
	}
}

// Name returns the name of the program in results and errors.
func (p *Process) Name() string { return p.name }

// Err returns the *ProgramError that ended the use of the program, or nil.
func (p *Process) Err() error { return p.err }

// Close closes the program's input, upon which it ends, and waits for it.
func (p *Process) Close() {
	_ = p.input.Close()
	_ = p.wait() // the exit status does not matter once the simulation is over
}

// NewPolicy creates an instance in the program.
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

// fail ends the use of the program. Only the first error is kept.
func (p *Process) fail(format string, args ...any) {
	if p.err == nil {
		p.err = &ProgramError{Program: p.name, Line: p.line, Lines: p.lines, Err: fmt.Errorf(format, args...)}
	}
}

// ask sends a batch and executes the reply.
func (p *Process) ask(batch string) {
	_, writeErr := io.WriteString(p.input, batch) // read even if this fails, as a program that has ended may have reported why
	line, readErr := p.output.ReadBytes('\n')
	if err := errors.Join(writeErr, readErr); err != nil {
		p.fail("has ended in the middle of the day (%w)", err)
		return
	}
	p.lines++
	p.line = strings.TrimSpace(string(line))
	p.carryOut(line)
}
