package programs

import "otterseam/tier/codec"

// CommandKind tells what a replicated command does. It is the first byte of a command, before the time.
type CommandKind uint8

// The kinds of commands.
const (
	// CommandBegin is a Begin, which a gateway sends before a turn.
	CommandBegin CommandKind = iota + 1
	// CommandEnd is an End, which a gateway sends after a turn.
	CommandEnd
	// CommandFetch is a Fetch, which a gateway sends for a turn of another program.
	CommandFetch
)

// Where the time stands in an encoded command.
const (
	stampStart = 1
	stampEnd   = stampStart + 8
)

// IsCommand tells whether bytes begin as an encoded command that can be stamped.
func IsCommand(command []byte) bool {
	return len(command) >= stampEnd && command[0] >= uint8(CommandBegin) && command[0] <= uint8(CommandFetch)
}

// Stamp writes the time into an encoded command.
func Stamp(command []byte, now int64) {
	var e codec.Encoder
	e.Int64(now)
	copy(command[stampStart:stampEnd], e.Bytes)
}
