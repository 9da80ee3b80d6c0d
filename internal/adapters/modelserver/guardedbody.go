package modelserver

import (
	"bytes"
	"io"
	"sync/atomic"

	"seamloom.example/seamloom/internal/failure"
)

// guardedBody is an order on its way. Whether it may still go is asked when its
// first byte is taken, after every wait for a connection; an order without its
// body is none.
type guardedBody struct {
	content *bytes.Reader
	may     func() bool
	started *atomic.Bool
}

var errTooLate = failure.New(failure.DeadlinePassed, "the order may not go any more")

// Read gives the next bytes, the first of them only if they may still go.
func (g *guardedBody) Read(buffer []byte) (int, error) {
	if !g.started.Load() {
		if !g.may() {
			return 0, errTooLate
		}
		g.started.Store(true)
	}
	return g.content.Read(buffer)
}

// Close ends the body.
func (g *guardedBody) Close() error { return nil }

// renew starts the order anew: the transport asks for it only when nothing of
// the last try was written.
func newBody(content []byte, may func() bool, begun *atomic.Bool) func() (io.ReadCloser, error) {
	return func() (io.ReadCloser, error) {
		begun.Store(false)
		return &guardedBody{content: bytes.NewReader(content), may: may, started: begun}, nil
	}
}
