package server

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"time"

	"otterseam/gateway/http1"
)

var (
	errNotAWatch      = errors.New("response is not a watch")
	errSuperseded     = errors.New("superseded by another stream")
	errInvalidList    = errors.New("list without hosts or with an invalid version") // not the same as an empty list
	errMessageTooLong = errors.New("message too long")
)

// messageError reports that a discovery message is invalid. Its stream is closed, and the complete list is requested.
type messageError struct{ reason error }

func (e *messageError) Error() string { return e.reason.Error() }
func (e *messageError) Unwrap() error { return e.reason }

// staleChangeError reports a change to a version before the current one.
type staleChangeError struct{ version, held int64 }

func (e *staleChangeError) Error() string {
	return fmt.Sprintf("change to version %d after version %d", e.version, e.held)
}

// droppedEntriesError reports a list with invalid entries.
type droppedEntriesError struct {
	version int64
	dropped int // number of invalid entries
}

func (e *droppedEntriesError) Error() string {
	return fmt.Sprintf("version %d: %d entries dropped", e.version, e.dropped)
}

// watchStream is one watch on a connection of its own.
type watchStream struct {
	source    *discoverySource
	tcp       net.Conn
	opened    time.Time
	firstData chan struct{} // closed on its first message or empty line
	ended     chan struct{} // closed when the stream has ended

	// Guarded by DiscoveryClient.mu:
	receivedAny bool // firstData is closed
	superseded  bool // another stream is active
}

func (w *watchStream) hasReceived() bool {
	select {
	case <-w.firstData:
		return true
	default:
		return false
	}
}

// stop interrupts the reader, which then closes the connection.
func (w *watchStream) stop() { interrupt(w.tcp) }

// open opens a connection and requests the changes since the last known version.
func (d *DiscoveryClient) open(src *discoverySource) (*watchStream, error) {
	dialer := net.Dialer{Timeout: discoveryDialTimeout, KeepAlive: -1}
	tcp, err := dialer.DialContext(src.ctx, "tcp", src.addr)
	if err != nil {
		return nil, err
	}
	d.mu.Lock()
	from := src.watchFrom
	d.mu.Unlock()
	stream := &watchStream{source: src, tcp: tcp, opened: time.Now(), firstData: make(chan struct{}), ended: make(chan struct{})}
	_ = tcp.SetWriteDeadline(stream.opened.Add(defaultFirstDataTimeout))
	if _, err = tcp.Write(http1.AppendDiscoveryWatch(nil, from)); err != nil {
		tcp.Close()
		return nil, err
	}
	d.group.Go(func() error {
		d.serveStream(stream)
		return nil
	})
	return stream, nil
}

// serveStream reads a stream until it ends, and closes its connection. It is the only place that closes it.
func (d *DiscoveryClient) serveStream(stream *watchStream) {
	stop := context.AfterFunc(stream.source.ctx, stream.stop)
	err := d.read(stream)
	stop()
	stream.tcp.Close()
	var unusable *messageError
	malformed := errors.As(err, &unusable)
	d.deactivate(stream, malformed)
	close(stream.ended)
	if stream.source.ctx.Err() != nil {
		return
	}
	if malformed {
		d.log.Warn().Err(err).Str("discovery", stream.source.addr).Msg("host list has errors; requesting the complete list")
	} else {
		d.log.Debug().Err(err).Str("discovery", stream.source.addr).Msg("discovery watch ended")
	}
}

// deactivate records that a stream has ended. After an invalid message the complete list is requested next.
func (d *DiscoveryClient) deactivate(stream *watchStream, malformed bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if stream.source.activeStream == stream {
		stream.source.activeStream = nil
	}
	if malformed && !stream.superseded {
		stream.source.watchFrom = 0
	}
}

// read decodes a stream message by message until it ends or can't be used any more.
func (d *DiscoveryClient) read(stream *watchStream) error {
	text := newStreamText(stream.tcp, func() error { return d.accept(stream, nil) })
	decoder := json.NewDecoder(text)
	for {
		var list Roster
		err := decoder.Decode(&list)
		if text.err != nil {
			return text.err
		}
		if err == nil && (list.Servers == nil || list.Version < 0) {
			err = errInvalidList
		}
		if err != nil {
			return &messageError{err}
		}
		if err := d.accept(stream, &list); err != nil {
			return err
		}
		text.messageDecoded(decoder.Buffered())
	}
}

// accept processes a message from a stream, or an empty line if list is nil. A new stream becomes the active one of its address
// with its first data, provided that the previous one has sent nothing since the new one was opened. A new address takes over only
// with its first list. After an error the stream can't be used any more.
func (d *DiscoveryClient) accept(stream *watchStream, list *Roster) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.mayActivate(stream) {
		return errSuperseded
	}
	stream.activate()
	if list == nil {
		return nil
	}
	return d.acceptList(stream.source, list)
}

// mayActivate reports whether data of a stream may be used. It is called under mu.
func (d *DiscoveryClient) mayActivate(stream *watchStream) bool {
	src := stream.source
	if stream.superseded || src != d.current && src != d.candidate {
		return false
	}
	active := src.activeStream
	return active == nil || active == stream || !src.lastReceived.After(stream.opened)
}

// activate makes a stream the active one of its address. It is called under DiscoveryClient.mu.
func (w *watchStream) activate() {
	previous := w.source.activeStream
	w.source.activeStream = w
	if previous != nil && previous != w {
		previous.superseded = true
		previous.stop()
	}
	w.source.lastReceived = time.Now()
	if !w.receivedAny {
		w.receivedAny = true
		close(w.firstData)
	}
}

// acceptList applies a list from the current source, or from the candidate, which thereby becomes the current source. It is called
// under mu.
func (d *DiscoveryClient) acceptList(src *discoverySource, list *Roster) error {
	if !list.Full && list.Version < src.acceptedVersion {
		return &messageError{&staleChangeError{version: list.Version, held: src.acceptedVersion}}
	}
	takesOver := src == d.candidate
	if takesOver {
		d.current.stop()
		d.current, d.candidate = src, nil
	}
	dropped := d.apply(src.ctx, *list, takesOver || list.Version < src.acceptedVersion)
	src.acceptedVersion = list.Version
	if dropped > 0 && src.incompleteVersion != list.Version {
		src.incompleteVersion = list.Version
		return &messageError{&droppedEntriesError{version: list.Version, dropped: dropped}}
	}
	src.watchFrom = list.Version
	return nil
}
