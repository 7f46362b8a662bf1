package http1

import "bytes"

// maxChunkLine is the most bytes of a line between chunks, its extensions included.
const maxChunkLine = 256

// chunkDecoder is how far a chunked body has been decoded.
type chunkDecoder struct {
	endless      bool // a stream: its chunks may be of any length
	left         int  // bytes of the present chunk
	closing      bool // the line end behind a chunk is still to come
	trailer      bool // only trailer lines are to come
	trailerBytes int
}

// decode appends to dst the data in src, and returns how many bytes were written and read. dst may begin where src does: no
// more is written than was read.
func (d *chunkDecoder) decode(dst, src []byte) (written, read int, done bool, err error) {
	for read < len(src) {
		if d.left > 0 {
			n := min(d.left, len(src)-read)
			dst = append(dst, src[read:read+n]...)
			read += n
			written += n
			d.left -= n
			d.closing = true
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
		done, err := d.line(line)
		if done || err != nil {
			return written, read, done, err
		}
	}
	return written, read, false, nil
}

// cutChunkLine gives the line that b begins with, and its size with the line end; 0 while it is not complete.
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

// line takes a line that is no data.
func (d *chunkDecoder) line(line []byte) (done bool, err error) {
	switch {
	case d.closing:
		if len(line) > 0 {
			return false, ErrMalformed
		}
		d.closing = false
		return false, nil
	case d.trailer:
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
	if size > MaxBodyBytes && !d.endless {
		return false, ErrBodyTooLong
	}
	d.left = size
	d.trailer = size == 0
	return false, nil
}

// ChunkedStream decodes a chunked stream without end, as a watch is.
type ChunkedStream struct{ chunks chunkDecoder }

// Decode appends to dst the data in src. It returns how many bytes of src were used, and whether the stream has ended.
// ErrBodyTooLong is returned where dst has no room for the data.
func (s *ChunkedStream) Decode(dst, src []byte) (data []byte, used int, done bool, err error) {
	s.chunks.endless = true
	written, read, done, err := s.chunks.decode(dst[len(dst):], src)
	if cap(dst)-len(dst) >= written {
		return dst[:len(dst)+written], read, done, err
	}
	return nil, read, done, ErrBodyTooLong
}
