package http1

import "bytes"

// maxChunkLine is the maximum length in bytes of a line between chunks, including chunk extensions.
const maxChunkLine = 256

// chunkDecoder is the state of decoding a chunked body.
type chunkDecoder struct {
	unbounded     bool // the body is a stream whose chunks may exceed MaxBodyBytes
	remaining     int  // bytes of the current chunk still to be read
	expectLineEnd bool // the line end after the chunk data is expected next
	inTrailer     bool // the last chunk was read and only trailer lines follow
	trailerBytes  int
}

// decode appends the chunk data in src to dst, and returns the numbers of bytes written and read. dst may start at the same
// address as src, because decode never writes more bytes than it has read.
func (d *chunkDecoder) decode(dst, src []byte) (written, read int, done bool, err error) {
	for read < len(src) {
		if d.remaining > 0 {
			n := min(d.remaining, len(src)-read)
			dst = append(dst, src[read:read+n]...)
			read += n
			written += n
			d.remaining -= n
			d.expectLineEnd = true
			continue
		}
		line, size, err := cutChunkLine(src[read:])
		if err != nil {
			return written, read, false, err
		}
		if size == 0 {
			break
		}
		read += size
		done, err := d.handleLine(line)
		if done || err != nil {
			return written, read, done, err
		}
	}
	return written, read, false, nil
}

// cutChunkLine returns the first line of b without its line end, and its size including the line end. The size is 0 if the line
// is incomplete.
func cutChunkLine(b []byte) (line []byte, size int, err error) {
	i := bytes.IndexByte(b, '\n')
	switch {
	case i < 0 && len(b) > maxChunkLine, i > maxChunkLine, i == 0, i > 0 && b[i-1] != '\r':
		return nil, 0, ErrMalformed
	case i < 0:
		return nil, 0, nil
	}
	return b[:i-1], i + 1, nil
}

// handleLine processes a line that is not chunk data: a chunk size, the line end after chunk data, or a trailer line.
func (d *chunkDecoder) handleLine(line []byte) (done bool, err error) {
	switch {
	case d.expectLineEnd:
		if len(line) > 0 {
			return false, ErrMalformed
		}
		d.expectLineEnd = false
		return false, nil
	case d.inTrailer:
		d.trailerBytes += len(line)
		if d.trailerBytes > MaxHeadBytes {
			return false, ErrHeadTooLong
		}
		return len(line) == 0, nil
	}
	digits, _, _ := bytes.Cut(line, []byte(";"))
	size, ok := parseHex(bytes.TrimRight(digits, " \t"))
	if !ok {
		return false, ErrMalformed
	}
	if size > MaxBodyBytes && !d.unbounded {
		return false, ErrBodyTooLong
	}
	d.remaining = size
	d.inTrailer = size == 0
	return false, nil
}

// ChunkedStream decodes a chunked stream of unlimited length, such as the response to a watch.
type ChunkedStream struct{ chunks chunkDecoder }

// Decode appends the chunk data in src to dst. It returns the number of bytes of src that were used, and whether the stream has
// ended. It returns ErrBodyTooLong if the capacity of dst is too small for the data.
func (s *ChunkedStream) Decode(dst, src []byte) (data []byte, used int, done bool, err error) {
	s.chunks.unbounded = true
	written, read, done, err := s.chunks.decode(dst[len(dst):], src)
	if cap(dst)-len(dst) >= written {
		return dst[:len(dst)+written], read, done, err
	}
	return nil, read, done, ErrBodyTooLong
}
