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
	errNotAWatch   = errors.New("not a watch")
	errSuperseded  = errors.New("another is heard")
	errNoList      = errors.New("a list without hosts or version") // which is not an empty list
	errEndlessText = errors.New("a message without end")
)

// messageError says that a message of discovery can't be used: its stream is left, and the complete list is asked for.
type messageError struct{ reason error }

func (e *messageError) Error() string { return e.reason.Error() }
func (e *messageError) Unwrap() error { return e.reason }

// staleChangeError is a change to a version before the one that is held.
type staleChangeError struct{ version, held int64 }

func (e *staleChangeError) Error() string {
	return fmt.Sprintf("a change to version %d after version %d", e.version, e.held)
}

// droppedEntriesError is a list of which only a part makes sense.
type droppedEntriesError struct {
	version int64
	dropped int // entries
}

func (e *droppedEntriesError) Error() string {
	return fmt.Sprintf("version %d: %d entries were dropped", e.version, e.dropped)
}

// watchStream is one watch on one connection.
type watchStream struct {
	source    *discoverySource
	tcp       net.Conn
	opened    time.Time
	firstWord chan struct{} // closed with its first message or empty line
	ended     chan struct{} // closed when it is no more

	// Guarded by DiscoveryClient.mu:
	spoke      bool // firstWord is closed
	superseded bool // another is heard
}

func (w *watchStream) hasSpoken() bool {
	select {
	case <-w.firstWord:
		return true
	default:
		return false
	}
}

// stop has the reading end, which closes the connection.
func (w *watchStream) stop() { interrupt(w.tcp) }

// open asks for the changes since what is known, on a connection of its own.
func (d *DiscoveryClient) open(src *discoverySource) (*watchStream, error) {
	dialer := net.Dialer{Timeout: discoveryDialTimeout, KeepAlive: -1}
	tcp, err := dialer.DialContext(src.ctx, "tcp", src.addr)
	if err != nil {
		return nil, err
	}
	d.mu.Lock()
	from := src.watchFrom
	d.mu.Unlock()
	stream := &watchStream{source: src, tcp: tcp, opened: time.Now(), firstWord: make(chan struct{}), ended: make(chan struct{})}
	_ = tcp.SetWriteDeadline(stream.opened.Add(defaultFirstWordTimeout))
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

// serveStream reads a stream until it ends, and closes its connection: the one place where that is done.
func (d *DiscoveryClient) serveStream(stream *watchStream) {
	stop := context.AfterFunc(stream.source.ctx, stream.stop)
	err := d.read(stream)
	stop()
	stream.tcp.Close()
	var unusable *messageError
	malformed := errors.As(err, &unusable)
	d.leave(stream, malformed)
	close(stream.ended)
	if stream.source.ctx.Err() != nil {
		return
	}
	if malformed {
		d.log.Warn().Err(err).Str("discovery", stream.source.addr).Msg("list not used as it came, asked for again")
	} else {
		d.log.Debug().Err(err).Str("discovery", stream.source.addr).Msg("watch has ended")
	}
}

// leave notes that a stream is heard no more; after a malformed message the list is asked for from a version that is known to be
// complete.
func (d *DiscoveryClient) leave(stream *watchStream, malformed bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if stream.source.stream == stream {
		stream.source.stream = nil
	}
	if malformed && !stream.superseded {
		stream.source.watchFrom = 0
	}
}

// read takes what a stream brings, message by message, until it ends or can't be followed.
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
			err = errNoList
		}
		if err != nil {
			return &messageError{err}
		}
		if err := d.accept(stream, &list); err != nil {
			return err
		}
		text.messageTaken(decoder.Buffered())
	}
}

// accept takes a message, or an empty line (nil), from a stream. A stream is heard from its first word on if the one heard before has
// said nothing since this one was opened; a new address, if that word is a list. After an error the stream is of no use any more.
func (d *DiscoveryClient) accept(stream *watchStream, list *Roster) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.mayHear(stream) {
		return errSuperseded
	}
	stream.hear()
	if list == nil {
		return nil
	}
	return d.acceptList(stream.source, list)
}

// mayHear says whether a stream's word counts. It is called under mu.
func (d *DiscoveryClient) mayHear(stream *watchStream) bool {
	src := stream.source
	if stream.superseded || src != d.current && src != d.candidate {
		return false
	}
	heard := src.stream
	return heard == nil || heard == stream || !src.lastHeard.After(stream.opened)
}

// hear makes a stream the one that is heard at its address. It is called under DiscoveryClient.mu.
func (w *watchStream) hear() {
	previous := w.source.stream
	w.source.stream = w
	if previous != nil && previous != w {
		previous.superseded = true
		previous.stop()
	}
	w.source.lastHeard = time.Now()
	if !w.spoke {
		w.spoke = true
		close(w.firstWord)
	}
}

// acceptList takes over a list of the source that is heard, or of the candidate, which takes over with it. It is called under mu.
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
