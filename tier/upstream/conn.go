package upstream

import (
	"bufio"
	"errors"
	"hash/maphash"
	"net"
	"net/http"
	"syscall"
	"time"

	"otterseam/tier/attempt"
)

const (
	readBufferBytes = 4 << 10
	// maxHeadBytes bounds the head of an answer, and what comes instead of one.
	maxHeadBytes = 256 << 10
	// maxCarried is how many requests a connection carries before it ends. It keeps their ids, as a surplus answer may be one to
	// any of them.
	maxCarried = 1024
)

var errHeadTooLong = errors.New("the head of the answer is too long")

// carried is a request that a connection has carried.
type carried struct {
	id   uint64 // hash of its id
	head bool   // its answer has no body, as it was a HEAD
}

var idSeed = maphash.MakeSeed()

// conn is a connection to a host. Nobody but the holder of its lease, or the pool while it is idle, may touch it.
type conn struct {
	socket    net.Conn
	reader    *bufio.Reader
	headLeft  int // bytes that may be read before the head is whole; negative for no bound
	carried   []carried
	idleSince time.Time
	idleFor   time.Duration
}

func newConn(socket net.Conn) *conn {
	c := &conn{socket: socket, headLeft: -1}
	c.reader = bufio.NewReaderSize(c, readBufferBytes)
	return c
}

// Read reads from the socket, within the bound on heads.
func (c *conn) Read(p []byte) (int, error) {
	if c.headLeft == 0 {
		return 0, errHeadTooLong
	}
	if c.headLeft > 0 && len(p) > c.headLeft {
		p = p[:c.headLeft]
	}
	n, err := c.socket.Read(p)
	if c.headLeft > 0 {
		c.headLeft -= n
	}
	return n, err
}

func (c *conn) close() { _ = c.socket.Close() }

// carry notes a request. It reports false if the connection must not carry it: an answer to an earlier request could be taken
// for its own.
func (c *conn) carry(id, method string) bool {
	if _, known := c.find(id); known {
		return false
	}
	c.carried = append(c.carried, carried{maphash.String(idSeed, id), method == http.MethodHead})
	return true
}

// find looks for a request that the connection has carried.
func (c *conn) find(id string) (carried, bool) {
	hash := maphash.String(idSeed, id)
	for _, request := range c.carried {
		if request.id == hash {
			return request, true
		}
	}
	return carried{}, false
}

// rested tells whether the connection has been idle for too long.
func (c *conn) rested() bool { return time.Since(c.idleSince) >= c.idleFor }

// usable tells whether an idle connection can carry a request.
func (c *conn) usable() bool { return len(c.carried) < maxCarried && !c.rested() && c.quiet() }

// quiet tells whether nothing has arrived on an idle connection, neither bytes nor its end.
func (c *conn) quiet() bool {
	source, can := c.socket.(syscall.Conn)
	if !can {
		return true
	}
	raw, err := source.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var one [1]byte
		n, readErr := syscall.Read(int(fd), one[:])
		quiet = n < 0 && (readErr == syscall.EAGAIN || readErr == syscall.EWOULDBLOCK)
		return true
	})
	return err == nil && quiet
}

// readHead reads the head of an answer to such a request.
func (c *conn) readHead(asked *http.Request) (*http.Response, error) {
	c.headLeft = maxHeadBytes
	defer func() { c.headLeft = -1 }()
	return http.ReadResponse(c.reader, asked)
}

// describe tells what matters of an answer's head.
func (c *conn) describe(response *http.Response, request Request) attempt.Head {
	header := response.Header
	head := attempt.Head{
		Status:      response.StatusCode,
		NotExecuted: header.Get(headerNotExecuted) != "",
		Sealed:      header.Get(headerSeal) != "",
		Encoded:     header.Get("Content-Encoding") != "",
		Closing:     response.Close,
	}
	ids := header.Values(headerRequestID)
	if len(ids) != 1 {
		return head
	}
	if ids[0] == request.ID {
		head.Owner = attempt.OwnerOwn
	} else if earlier, known := c.find(ids[0]); known {
		head.Owner = attempt.OwnerEarlier
		if earlier.head || request.Method == http.MethodHead {
			head.Framing = attempt.FramedByMethod
			return head
		}
	}
	if response.ContentLength < 0 && len(response.TransferEncoding) == 0 {
		head.Framing = attempt.FramedByClose
	}
	return head
}
