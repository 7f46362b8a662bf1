package upstream

import (
	"bufio"
	"hash/maphash"
	"net"
	"net/http"
	"syscall"
	"time"

	"otterseam/tier/attempt"
)

const (
	// unlimited is the headBudget while no head is read.
	unlimited = -1

	readBufferBytes = 4 << 10
	// maxHeadBytes bounds the head of a response, and what comes instead of one.
	maxHeadBytes = 256 << 10
	// maxRequests is how many requests a connection carries before it ends. It keeps their ids, as an unsolicited response may be one to
	// any of them.
	maxRequests = 1024
)

// sentRequest is a request that a connection has carried.
type sentRequest struct {
	idHash uint64
	isHead bool // its response has no body
}

var idSeed = maphash.MakeSeed()

// conn is a connection to a host. Nobody but the holder of its lease, or the pool while it is idle, may touch it.
type conn struct {
	socket      net.Conn
	reader      *bufio.Reader
	headBudget  int // bytes that may be read before the head is complete; unlimited if negative
	history     []sentRequest
	idleSince   time.Time
	idleTimeout time.Duration
}

func newConn(socket net.Conn) *conn {
	c := &conn{socket: socket, headBudget: unlimited}
	c.reader = bufio.NewReaderSize(c, readBufferBytes)
	return c
}

// Read reads from the socket, within the bound on heads.
func (c *conn) Read(p []byte) (int, error) {
	if c.headBudget == 0 {
		return 0, errHeadTooLong
	}
	if c.headBudget > 0 && len(p) > c.headBudget {
		p = p[:c.headBudget]
	}
	n, err := c.socket.Read(p)
	if c.headBudget > 0 {
		c.headBudget -= n
	}
	return n, err
}

func (c *conn) close() { _ = c.socket.Close() }

// recordRequest notes a request that is to be sent. It reports false if the connection must not carry it: a response to an earlier
// request could be taken for its own.
func (c *conn) recordRequest(id, method string) bool {
	if _, known := c.findRequest(id); known {
		return false
	}
	c.history = append(c.history, sentRequest{maphash.String(idSeed, id), method == http.MethodHead})
	return true
}

// findRequest looks for a request that the connection has carried.
func (c *conn) findRequest(id string) (sentRequest, bool) {
	hash := maphash.String(idSeed, id)
	for _, request := range c.history {
		if request.idHash == hash {
			return request, true
		}
	}
	return sentRequest{}, false
}

// idleExpired tells whether the connection has been idle for too long.
func (c *conn) idleExpired() bool { return time.Since(c.idleSince) >= c.idleTimeout }

// isReusable tells whether an idle connection can carry a request.
func (c *conn) isReusable() bool {
	return len(c.history) < maxRequests && !c.idleExpired() && c.isSilent()
}

// isSilent tells whether nothing has arrived on an idle connection, neither bytes nor its end.
func (c *conn) isSilent() bool {
	source, ok := c.socket.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := source.SyscallConn()
	if err != nil {
		return false
	}
	silent := false
	err = raw.Read(func(fd uintptr) bool {
		var one [1]byte
		n, readErr := syscall.Read(int(fd), one[:])
		silent = n < 0 && (readErr == syscall.EAGAIN || readErr == syscall.EWOULDBLOCK)
		return true
	})
	return err == nil && silent
}

// readHead reads the head of a response to such a request.
func (c *conn) readHead(asked *http.Request) (*http.Response, error) {
	c.headBudget = maxHeadBytes
	defer func() { c.headBudget = unlimited }()
	return http.ReadResponse(c.reader, asked)
}

// classify tells what matters of a response's head: whose it is, how its body ends, and what it proves.
func (c *conn) classify(response *http.Response, request Request) attempt.Head {
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
	} else if earlier, known := c.findRequest(ids[0]); known {
		head.Owner = attempt.OwnerEarlier
		if earlier.isHead || request.Method == http.MethodHead {
			head.Framing = attempt.FramedByMethod
			return head
		}
	}
	if response.ContentLength < 0 && len(response.TransferEncoding) == 0 {
		head.Framing = attempt.FramedByClose
	}
	return head
}
