package programs

import "otterseam/tier/codec"

// CommandKind is the type of a replicated command. It is the first byte of an encoded command; the timestamp follows it.
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

// Offsets of the timestamp in an encoded command.
const (
	timestampStart = 1
	timestampEnd   = timestampStart + 8
)

// IsCommand reports whether the bytes start with the kind and the timestamp of an encoded command, so that Stamp can be applied.
func IsCommand(command []byte) bool {
	return len(command) >= timestampEnd && command[0] >= uint8(CommandBegin) && command[0] <= uint8(CommandFetch)
}

// decodeCommand decodes an encoded command if it is of a kind.
func decodeCommand[T any](command []byte, kind CommandKind, decode func(*codec.Decoder) T) (value T, isKind bool) {
	d := codec.NewDecoder(command)
	if CommandKind(d.Uint8()) != kind {
		return value, false
	}
	value = decode(d)
	return value, d.Err() == nil
}

// Stamp sets the timestamp of an encoded command.
func Stamp(command []byte, now int64) {
	var e codec.Encoder
	e.Int64(now)
	copy(command[timestampStart:timestampEnd], e.Bytes)
}
