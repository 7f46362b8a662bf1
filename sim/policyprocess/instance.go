package policyprocess

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strconv"

	"otterseam/gateway/policy"
	"otterseam/sim/gatewaymodel"
)

// Values of messages to the program.
const (
	clientRetryOption = 2 // a bit of the options of JOB_IN
	hostKind          = "host"
	listNumber        = 0 // number of the DIRECTORY message to which DISCOVERY refers
	listGeneration    = 1

	listComplete = "whole"
	listChanges  = "patch"
	listAtStart  = "stale_copy"
)

// instance is one policy in the program. Its messages are buffered until SetTimers, because all messages of one moment form one batch.
type instance struct {
	process     *Process
	slot        int
	messages    bytes.Buffer
	withoutList bool // no host list has been sent yet
}

var _ gatewaymodel.Policy = (*instance)(nil)

// put adds a message to the batch.
func (i *instance) put(name string, values ...any) {
	if i.messages.Len() > 0 {
		i.messages.WriteByte(',')
	}
	i.messages.WriteString(`["` + name + `"`)
	for _, value := range values {
		i.messages.WriteByte(',')
		i.messages.Write(encode(value))
	}
	i.messages.WriteByte(']')
}

// encode encodes a value as JSON. A value that JSON cannot represent becomes null.
func encode(value any) []byte {
	if number, ok := value.(float64); ok {
		return []byte(formatNumber(number))
	}
	encoded, err := json.Marshal(value)
	if err != nil {
		return []byte("null")
	}
	return encoded
}

// formatNumber returns the shortest text that parses to the same number.
func formatNumber(x float64) string { return strconv.FormatFloat(x, 'g', -1, 64) }

func (i *instance) UpdateHosts(_ float64, list []policy.HostEntry, complete bool) {
	rows := make([][]any, len(list))
	for n, entry := range list {
		rows[n] = []any{entry.Addr, entry.Zone, hostKind, entry.Cell, entry.State, entry.Weight, entry.StartedAt}
	}
	mode := listChanges
	if complete {
		mode = listComplete
	}
	if i.withoutList {
		mode = listAtStart
		i.withoutList = false
	}
	i.put("DIRECTORY", listNumber, rows)
	i.put("DISCOVERY", mode, listGeneration, listNumber)
}

func (i *instance) Accept(_ float64, r policy.Request) {
	options := 0
	if r.ClientRetry {
		options = clientRetryOption
	}
	i.put("JOB_IN", r.Ref, r.GatewayCount, r.Units, r.Operation, r.Customer, r.Deadline, r.Plan, options, r.FirstGateway)
}

func (i *instance) AttemptEnded(_ float64, ref string, number int, result policy.AttemptResult) {
	i.put("VERDICT", ref, result.Final, 0, result.Duration, "", result.ActualUnits, number, string(result.Outcome), nil)
}

func (i *instance) Abandon(_ float64, ref string) { i.put("HANGUP", ref) }

func (i *instance) TimerFired(_ float64, nonce uint64) { i.put("BELL", nonce) }

func (i *instance) PeerMessage(_ float64, from int, text string) { i.put("MESSAGE", from, text) }

func (i *instance) CounterReplied(_ float64, name uint64, outcome policy.Outcome, sum, seconds float64) {
	i.put("SUM", string(outcome), sum, name, seconds)
}

// SetTimers sends the batch of this moment and executes the reply.
func (i *instance) SetTimers(now float64) {
	if i.process.err != nil || i.messages.Len() == 0 {
		i.messages.Reset()
		return
	}
	batch := fmt.Sprintf(`{"at_time":%s,"gateways":[{"who":%d,"inbox":[%s]}]}`+"\n", formatNumber(now), i.slot, i.messages.Bytes())
	i.messages.Reset()
	i.process.ask(batch)
}
