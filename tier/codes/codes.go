package codes

import "fmt"

// Code is a numbered result. It implements error, so that it can be returned and tested with errors.Is.
type Code uint16 //nolint:errname // primarily a number on the wire that also implements error, like syscall.Errno

// The result codes. Their constants follow the names in docs/codes.md. A number is never reused for another meaning.
//
//nolint:errname // values of Code, like those of syscall.Errno
const (
	OK Code = 0

	// Codes of replication groups and of messages between processes.
	NotPrimary    Code = 101
	Unavailable   Code = 102
	Timeout       Code = 103
	Malformed     Code = 104
	WrongIdentity Code = 105
	NoVote        Code = 106
	PrimaryAlive  Code = 107

	// Codes of the operator's configuration.
	ConfigInvalid   Code = 201
	ConfigBase      Code = 202
	ConfigNone      Code = 203
	ConfigForgotten Code = 204

	// Codes of hosts.
	HostStale Code = 211

	// Codes of the retirement of store machines.
	RetireUnknown Code = 221
	RetireTooFew  Code = 222

	// Codes of programs and their turns.
	BudgetSpent Code = 301
	TurnUnknown Code = 302
	TurnSettled Code = 303
	StoreFull   Code = 304

	// Codes of requests at a proxy.
	NoRoute          Code = 401
	NoHost           Code = 402
	HostsFull        Code = 403
	HostFailed       Code = 404
	RequestMalformed Code = 405
	BodyTooLarge     Code = 406
	HeadTooLarge     Code = 407
	NotReady         Code = 408
	StoreUnreachable Code = 409
	DeadlineReached  Code = 410
	ClientGone       Code = 411
	AnswerNotKept    Code = 412
	Stopping         Code = 413
	Overloaded       Code = 414
	ResponseExcess   Code = 415

	// Codes of disks.
	DiskDamaged   Code = 501
	DiskWrite     Code = 502
	DiskRegressed Code = 503
	DiskForeign   Code = 504
	DiskStalled   Code = 505

	// Codes of connections between processes.
	LinkBroken        Code = 511
	LinkBusy          Code = 512
	SubscriptionStale Code = 513
)

// Error returns the code's number and name.
func (c Code) Error() string {
	for _, row := range Table {
		if row.Code == c {
			return fmt.Sprintf("code %d %s", uint16(c), row.Name)
		}
	}
	return fmt.Sprintf("code %d", uint16(c))
}
