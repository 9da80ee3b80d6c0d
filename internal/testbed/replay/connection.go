package replay

import (
	"bufio"
	"net"
	"os"
	"time"

	"github.com/juju/errors"

	"seamloom.example/seamloom/internal/failure"
)

// conn is a client's connection to a machine. It carries one request at a time.
type conn struct {
	net.Conn
	reader  *bufio.Reader
	machine string
	// reusableUntil is the time until which the client may reuse the idle connection.
	reusableUntil time.Time
}

// dial connects to a machine within a second.
func dial(to target) (*conn, error) {
	connection, err := net.DialTimeout("tcp", to.frontAddress, time.Second)
	if err != nil {
		return nil, failure.Wrap(failure.Unreachable, err)
	}
	return &conn{Conn: connection, reader: bufio.NewReaderSize(connection, 4096), machine: to.machine}, nil
}

// checkIdle reports whether an idle connection is still open, and whether stray bytes arrived on
// it. A connection with stray bytes counts as not open.
func (c *conn) checkIdle() (open, stray bool) {
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

var errNoMachine = failure.New(failure.Unreachable, "no machine accepts clients")
