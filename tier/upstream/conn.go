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
	// unlimited is the headBudget while no head is being read.
	unlimited = -1

	readBufferBytes = 4 << 10
	// maxHeadBytes limits the head of a response, and any data received in place of a head.
	maxHeadBytes = 256 << 10
	// maxRequests is how many requests a connection carries before it is closed. The connection keeps the ID of each of them, as an
	// unsolicited response may belong to any of them.
	maxRequests = 1024
)

// sentRequest is a request that a connection has carried.
type sentRequest struct {
	idHash uint64
	isHead bool // the method is HEAD, so the response has no body
}

var idSeed = maphash.MakeSeed()

// conn is a connection to a host. Only the owner of its lease may use it, or the pool while it is idle.
type conn struct {
	socket      net.Conn
	reader      *bufio.Reader
	headBudget  int // bytes that may still be read for the current head; unlimited if negative
	headMemory  headMemory
	history     []sentRequest
	idleSince   time.Time
	idleTimeout time.Duration
}

func newConn(socket net.Conn) *conn {
	c := &conn{socket: socket, headBudget: unlimited}
	c.reader = bufio.NewReaderSize(c, readBufferBytes)
	return c
}

// Read reads from the socket, up to the remaining head budget. It returns ErrHeadTooLong when the budget is used up.
func (c *conn) Read(p []byte) (int, error) {
	if c.headBudget == 0 {
		return 0, ErrHeadTooLong
	}
	if c.headBudget > 0 && len(p) > c.headBudget {
		p = p[:c.headBudget]
	}
	n, err := c.socket.Read(p)
	if c.headBudget > 0 {
		c.headBudget -= n
		if err := c.headMemory.add(p[:n]); err != nil {
			return 0, err
		}
	}
	return n, err
}

func (c *conn) close() { _ = c.socket.Close() }

// recordRequest records a request before it is sent. It returns false if the connection has carried a request with the same ID, as a
// response to that earlier request could be mistaken for the response to this one.
func (c *conn) recordRequest(id, method string) bool {
	if _, known := c.findRequest(id); known {
		return false
	}
	c.history = append(c.history, sentRequest{maphash.String(idSeed, id), method == http.MethodHead})
	return true
}

// findRequest returns the request with the given ID if the connection has carried it.
func (c *conn) findRequest(id string) (sentRequest, bool) {
	hash := maphash.String(idSeed, id)
	for _, request := range c.history {
		if request.idHash == hash {
			return request, true
		}
	}
	return sentRequest{}, false
}

// idleExpired reports whether the connection's idle timeout has passed.
func (c *conn) idleExpired() bool { return time.Since(c.idleSince) >= c.idleTimeout }

// isReusable reports whether an idle connection can carry another request.
func (c *conn) isReusable() bool {
	return len(c.history) < maxRequests && !c.idleExpired() && c.hasNoInput()
}

// hasNoInput reports whether an idle connection has received nothing, neither data nor an end of stream.
func (c *conn) hasNoInput() bool {
	source, ok := c.socket.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := source.SyscallConn()
	if err != nil {
		return false
	}
	noInput := false
	err = raw.Read(func(fd uintptr) bool {
		var buffer [1]byte
		n, readErr := syscall.Read(int(fd), buffer[:])
		noInput = n < 0 && (readErr == syscall.EAGAIN || readErr == syscall.EWOULDBLOCK)
		return true
	})
	return err == nil && noInput
}

// readHead reads the head of a response to a request with the method of httpRequest. It returns an error if the head exceeds the memory.
func (c *conn) readHead(httpRequest *http.Request) (*http.Response, error) {
	c.headBudget = maxHeadBytes
	defer func() { c.headBudget = unlimited }()
	return http.ReadResponse(c.reader, httpRequest)
}

// classify returns the properties of a response's head: which request it belongs to, how its body is framed, and what it proves.
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
