package replay

import (
	"bufio"
	"net"
	"os"
	"time"

	"github.com/juju/errors"

	"seamloom.example/seamloom/internal/failure"
)

// conn is a client's connection to a machine. One request at a time uses it.
type conn struct {
	net.Conn
	reader  *bufio.Reader
	machine string
	// rests is until when the client may take it up again.
	reusableUntil time.Time
}

// dial connects to a machine; it gets a second to come up.
func dial(to target) (*conn, error) {
	connection, err := net.DialTimeout("tcp", to.front, time.Second)
	if err != nil {
		return nil, failure.Wrap(failure.Unreachable, err)
	}
	return &conn{Conn: connection, reader: bufio.NewReaderSize(connection, 4096), machine: to.machine}, nil
}

// quiet tells whether nothing came on a resting connection: stray is true when bytes did.
func (c *conn) quiet() (open, stray bool) {
	if c.reader.Buffered() > 0 {
		return false, true
	}
	_ = c.SetReadDeadline(time.Now().Add(50 * time.Microsecond))
	_, err := c.reader.Peek(1)
	_ = c.SetReadDeadline(time.Time{})
	if err == nil {
		return false, true
	}
	return errors.Is(err, os.ErrDeadlineExceeded), false
}

var errNoMachine = failure.New(failure.Unreachable, "no machine takes clients")
