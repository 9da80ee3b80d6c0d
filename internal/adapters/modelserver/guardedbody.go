package modelserver

import (
	"bytes"
	"io"
	"sync/atomic"

	"seamloom.example/seamloom/internal/failure"
)

// guardedBody is the body of a request. It is sent only if maySend returns true. The
// transport reads the body after any wait for a connection, and maySend is called at the
// first read. A server does not execute a request whose body it has not received.
type guardedBody struct {
	content *bytes.Reader
	maySend func() bool
	started *atomic.Bool
}

var errTooLate = failure.New(failure.DeadlinePassed, "the request may no longer be sent")

// Read reads the next bytes of the content. It fails with errTooLate if the request may no longer be sent and
// nothing has been read yet.
func (g *guardedBody) Read(buffer []byte) (int, error) {
	if !g.started.Load() {
		if !g.maySend() {
			return 0, errTooLate
		}
		g.started.Store(true)
	}
	return g.content.Read(buffer)
}

// Close does nothing: the body holds no resources.
func (g *guardedBody) Close() error { return nil }

// newBody returns a function that makes the body of one attempt to send the request. Each call of
// the returned function sets bodyStarted to false; the first read of the new body sets it to true
// if maySend allows the read. The transport calls the returned function again only if it wrote
// nothing in the previous attempt.
func newBody(content []byte, maySend func() bool, bodyStarted *atomic.Bool) func() (io.ReadCloser, error) {
	return func() (io.ReadCloser, error) {
		bodyStarted.Store(false)
		return &guardedBody{content: bytes.NewReader(content), maySend: maySend, started: bodyStarted}, nil
	}
}
