// Package codec encodes and decodes the messages and on-disk records of the serving tier. It uses no reflection and no schema: a
// message type writes its fields in a fixed order and reads them in the same order.
//
// # Format
//
//   - Integers are big-endian and have 1, 2, 4 or 8 bytes. A bool is one byte, 0 or 1.
//   - A string or byte slice is preceded by its length, in 4 bytes.
//   - A list is preceded by the number of its elements, in 4 bytes.
//
// # Invariants
//
//   - A decoder keeps its first error and returns zero values from then on, so that a caller can read a message field by field and
//     check for an error once, with Err.
//   - No memory is allocated for a length in a message before the message is known to contain that many bytes.
//   - Blobs that a decoder returns share the message's memory. A caller that modifies a blob, or keeps it longer than the message,
//     must copy it.
//
// Bytes after the last field are not an error, because a later version may append fields.
package codec
