package soak

import (
	"bytes"
	"io"
	"time"

	"robinstack/emulator"
)

const (
	// maxStreamBytes bounds the beginning of a connection between controllers that may be repeated.
	maxStreamBytes = 64 << 10
	// maxStreamCopies bounds how often the beginning of one connection is repeated.
	maxStreamCopies = 4
	// copyTimeout is how long the connection of a copy stays open for the answer, which is dropped.
	copyTimeout = 3 * time.Second
)

// messageCopier has copies of the messages of one connection arrive later, on connections of their
// own. An HTTP request is repeated once the next one begins, so after its answer. A stream of calls
// between controllers can only be repeated from its beginning, as its encoding depends on that.
type messageCopier struct {
	link    *link
	message []byte
	copies  int
}

// beginsRequest reports whether data begins with the first line of an HTTP request.
func beginsRequest(data []byte) bool {
	line, _, found := bytes.Cut(data, []byte("\r\n"))
	return found && bytes.HasSuffix(line, []byte(" HTTP/1.1"))
}

// add adds data that has been sent to the server.
func (m *messageCopier) add(data []byte) {
	isStream := m.link.kind == emulator.PeerMessage
	if !isStream && beginsRequest(data) {
		m.repeat()
		m.message = nil
	}
	if len(m.message) > maxStreamBytes {
		return
	}
	m.message = append(m.message, data...)
	if isStream && m.copies < maxStreamCopies && m.repeat() {
		m.copies++
	}
}

// repeat has a copy of the message arrive later, if one is to, and reports whether it is.
func (m *messageCopier) repeat() bool {
	delay, selected := m.link.copies.Select(m.link.kind)
	if !selected || len(m.message) == 0 {
		return false
	}
	data, l := bytes.Clone(m.message), m.link
	go l.copies.DeliverAfter(l.ctx, delay, l.kind, func() { l.sendCopy(data) })
	return true
}

// sendCopy sends data to the server over a new connection and drops the answer.
func (l *link) sendCopy(data []byte) {
	server, err := l.dialServer()
	if err != nil {
		return // the server is down: the copy is lost
	}
	defer l.track(server)()
	if server.SetDeadline(time.Now().Add(copyTimeout)) != nil {
		return
	}
	if _, err := server.Write(data); err == nil {
		_, _ = io.Copy(io.Discard, server) // ends at the deadline
	}
}
