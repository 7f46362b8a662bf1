// Package codec encodes the messages and the records on disk of the serving tier. It has no reflection and no schema: a message
// writes its fields in order and reads them in the same order.
//
// # The format
//
//   - Integers are big-endian, of 1, 4 or 8 bytes. A bool is one byte, 0 or 1.
//   - Strings and byte slices stand behind their length, of 4 bytes.
//   - A list stands behind the number of its elements, of 4 bytes.
//
// # Invariants
//
//   - A decoder keeps its first error and returns zeros from then on, so that a message is read field by field and checked once,
//     with Err.
//   - No length that a message names takes memory before the message is known to hold that much.
//   - Blobs that a decoder returns share the message's memory; who keeps one longer, or changes it, copies it.
//
// Bytes behind the last field are no error: a later version may append fields.
package codec
