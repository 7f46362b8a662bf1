package http1

import (
	"bytes"
	"math"
	"strconv"
	"strings"
)

// HealthPath is the path of the health check, which the front polls until the response is successful.
const HealthPath = "/_health"

const (
	maxRefBytes = 64
	// customerKeyBytes is the length of a customer's key in hexadecimal digits. As a number, the key is below maxCustomer.
	customerKeyBytes = 16
	maxCustomer      = 1 << 33
	maxTimeoutMillis = 3600_000
	maxUnits         = 1e6
)

// Status codes of hosts that, together with Srv-Declined, prove that an attempt was not executed. They are not taken from
// net/http because importing it costs memory in an idle process.
const (
	statusUnavailable    = 503
	statusGatewayTimeout = 504
)

// Invocation is an invocation as described by the head of a client's request.
type Invocation struct {
	Ref, Operation, Customer, Plan string
	Units                          float64
	Timeout                        float64 // seconds for which the client waits after sending the request
	GatewayCount, FirstGateway     int     // the gateways that serve the customer, consecutive and wrapping around
	Retry                          bool    // the client has sent the request before
}

// invocationFields holds the header fields that are validated after all of them were read.
type invocationFields struct {
	operation  []byte
	terms      []byte
	timeout    []byte
	customer   []byte
	duplicated bool
}

// ParseInvocation parses a client's request. It returns false if a required field is missing, malformed or duplicated: a host
// might use the other one of two duplicates.
func ParseInvocation(m *Message) (Invocation, bool) {
	var inv Invocation
	var fields invocationFields
	for i := range m.FieldCount() {
		f := m.Field(i)
		inv.parseField(f, &fields)
	}
	timeout, timeoutOK := parseDecimal(fields.timeout)
	inv.Operation = string(fields.operation)
	inv.Customer = strings.ToLower(string(fields.customer))
	inv.Timeout = float64(timeout) / 1000
	ok := !fields.duplicated &&
		len(inv.Ref) > 0 && len(inv.Ref) <= maxRefBytes && inv.Plan != "" &&
		fields.operationMatches(m.Target) &&
		timeoutOK && timeout > 0 && timeout <= maxTimeoutMillis &&
		fields.customerValid() &&
		inv.parseTerms(fields.terms)
	return inv, ok
}

func (inv *Invocation) parseField(f Field, fields *invocationFields) {
	switch {
	case equalFold(f.Name, "req-id"):
		fields.setText(&inv.Ref, f.Value)
	case equalFold(f.Name, "req-kind"):
		fields.set(&fields.operation, f.Value)
	case equalFold(f.Name, "x-tier"):
		fields.setText(&inv.Plan, f.Value)
	case equalFold(f.Name, "cookie"):
		if key := cookieKey(f.Value); key != nil {
			fields.set(&fields.customer, key)
		}
	case equalFold(f.Name, "req-deadline-ms"):
		fields.set(&fields.timeout, f.Value)
	case equalFold(f.Name, "x-call-terms"):
		fields.set(&fields.terms, f.Value)
	case equalFold(f.Name, "req-retry"):
		inv.Retry = string(f.Value) == "1"
	}
}

func (f *invocationFields) set(field *[]byte, value []byte) {
	f.duplicated = f.duplicated || *field != nil
	*field = value
}

func (f *invocationFields) setText(field *string, value []byte) {
	f.duplicated = f.duplicated || *field != ""
	*field = string(value)
}

// operationMatches reports whether the first segment of the path is the name of the operation, as required.
func (f *invocationFields) operationMatches(target []byte) bool {
	path, _, _ := bytes.Cut(target, []byte("?"))
	first, _, _ := bytes.Cut(bytes.TrimPrefix(path, []byte("/")), []byte("/"))
	return target[0] == '/' && len(f.operation) > 0 && bytes.Equal(first, f.operation)
}

func (f *invocationFields) customerValid() bool {
	number, ok := parseHex(f.customer)
	return ok && len(f.customer) == customerKeyBytes && number < maxCustomer
}

// cookieKey returns the value of the cookie with the customer's key, or nil if there is none.
func cookieKey(cookies []byte) []byte {
	for len(cookies) > 0 {
		var pair []byte
		pair, cookies, _ = bytes.Cut(cookies, []byte(";"))
		if name, value, ok := bytes.Cut(trimSpace(pair), []byte("=")); ok && string(name) == "key" {
			return value
		}
	}
	return nil
}

// The required terms of X-Call-Terms.
const (
	termUnits = 1 << iota
	termSpread
	termFirst
	allTerms = termUnits | termSpread | termFirst
)

// parseTerms parses the value of X-Call-Terms, for example "units=2,spread=3,first=1". Unknown names are ignored.
func (inv *Invocation) parseTerms(terms []byte) bool {
	given := 0
	for len(terms) > 0 {
		var pair []byte
		pair, terms, _ = bytes.Cut(terms, []byte(","))
		name, value, _ := bytes.Cut(trimSpace(pair), []byte("="))
		ok := true
		switch string(name) {
		case "units":
			inv.Units, ok = parseUnits(value)
			given |= termUnits
		case "spread":
			inv.GatewayCount, ok = parseDecimal(value)
			ok = ok && inv.GatewayCount >= 1
			given |= termSpread
		case "first":
			inv.FirstGateway, ok = parseDecimal(value)
			given |= termFirst
		}
		if !ok {
			return false
		}
	}
	return given == allTerms
}

func parseUnits(value []byte) (float64, bool) {
	units, ok := ParseNumber(value)
	return units, ok && units > 0 && units <= maxUnits
}

// ParseNumber parses a finite decimal number.
func ParseNumber(v []byte) (float64, bool) {
	v = bytes.Trim(v, " \t\r\n")
	if bytes.ContainsAny(v, "xXpP_") { // non-decimal forms that strconv.ParseFloat accepts
		return 0, false
	}
	x, err := strconv.ParseFloat(string(v), 64)
	return x, err == nil && !math.IsNaN(x) && !math.IsInf(x, 0)
}

// Declined reports whether a host's response proves that the attempt was not executed.
func Declined(m *Message) bool {
	if m.Status != statusUnavailable && m.Status != statusGatewayTimeout {
		return false
	}
	for i := range m.FieldCount() {
		f := m.Field(i)
		if equalFold(f.Name, "srv-declined") {
			return string(f.Value) == "1"
		}
	}
	return false
}
