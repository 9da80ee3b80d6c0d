package proxy

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"seamloom.example/seamloom/internal/failure"
	"seamloom.example/seamloom/internal/membership"
)

// Timeouts and bounds of the connections to servers. The values are ours.
const (
	// dialTimeout is how long a connection may take to come up: a server that is there
	// takes a millisecond.
	dialTimeout = 300 * time.Millisecond
	// unackedTimeout is how long what was sent may go unacknowledged, and how long a
	// connection on which nothing is said may be dead before it shows.
	unackedTimeout = 1500 * time.Millisecond
	// defaultKeepAlive is how long a connection is kept when its server does not say how long
	// it keeps it; keepAliveMargin what is taken off when it does.
	defaultKeepAlive = 700 * time.Millisecond
	keepAliveMargin  = 300 * time.Millisecond
	// maxIdlePerServer bounds the connections kept for one server.
	maxIdlePerServer = 16
	// sweepInterval is how long resting connections may outlive their use.
	sweepInterval          = time.Second
	maxResponseHeaderBytes = 256 << 10
)

// Pool are the connections to model servers that rest between calls, each for one
// life of a server. A call takes one alone; whether it is used again is decided when
// the call is over.
type Pool struct {
	transport *http.Transport
	now       func() time.Time

	mutex     sync.Mutex
	idle      map[incarnation][]*pooledConn
	known     map[incarnation]bool
	lastSweep time.Time
	opened    uint64
}

// incarnation is one run of a server process at an address.
type incarnation struct{ name, address string }

func incarnationOf(server membership.Server) incarnation {
	return incarnation{name: server.Name, address: server.Address}
}

// pooledConn is a connection with its HTTP/1.1 client.
type pooledConn struct {
	incarnation incarnation
	conn        *trackedConn
	http        *http.ClientConn
}

type connectionKey struct{}

// NewPool makes the connections of a router. Detours replace addresses when dialling.
func NewPool(detours map[string]string) *Pool {
	dialer := &net.Dialer{Timeout: dialTimeout, Control: setUnackedTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 2}}
	pool := &Pool{now: time.Now, idle: map[incarnation][]*pooledConn{}}
	pool.transport = &http.Transport{DisableCompression: true, MaxResponseHeaderBytes: maxResponseHeaderBytes,
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			if detour, found := detours[address]; found {
				address = detour
			}
			conn, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			tracked := ctx.Value(connectionKey{}).(*trackedConn)
			tracked.Conn = conn
			return tracked, nil
		}}
	return pool
}

// setUnackedTimeout has a dead connection show soon.
func setUnackedTimeout(_, _ string, raw syscall.RawConn) error {
	var err error
	if outer := raw.Control(func(descriptor uintptr) {
		err = unix.SetsockoptInt(int(descriptor), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTimeout/time.Millisecond))
	}); outer != nil {
		return outer
	}
	return err
}

// get gives an idle connection that is still good, or opens one. Failing means that
// nothing was sent.
func (c *Pool) get(ctx context.Context, server membership.Server, ends time.Time) (*pooledConn, error) {
	key := incarnationOf(server)
	for {
		idle := c.popIdle(key)
		if idle == nil {
			break
		}
		if idle.http.Err() == nil && idle.conn.begin(ends) {
			return idle, nil
		}
		idle.close()
	}
	conn := &trackedConn{now: c.now}
	client, err := c.transport.NewClientConn(context.WithValue(ctx, connectionKey{}, conn), "http", server.Address)
	if err != nil {
		return nil, failure.Wrap(failure.Unreachable, err)
	}
	c.mutex.Lock()
	c.opened++
	c.mutex.Unlock()
	opened := &pooledConn{incarnation: key, conn: conn, http: client}
	if !conn.begin(ends) {
		opened.close()
		return nil, errConnClosed
	}
	return opened, nil
}

func (c *Pool) popIdle(key incarnation) *pooledConn {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	idle := c.idle[key]
	if len(idle) == 0 {
		return nil
	}
	last := idle[len(idle)-1]
	idle[len(idle)-1] = nil
	c.idle[key] = idle[:len(idle)-1]
	return last
}

// put takes a connection back after a whole answer. Rests is what the answer said of how
// long the server keeps it.
func (c *Pool) put(used *pooledConn, keepAlive time.Duration) {
	if used.http.Err() != nil || used.http.Available() == 0 {
		used.close()
		return
	}
	used.conn.becomeIdle(keepAlive)
	now := c.now()
	var surplus []*pooledConn
	c.mutex.Lock()
	if c.known != nil && !c.known[used.incarnation] {
		surplus = append(surplus, used)
	} else {
		c.idle[used.incarnation] = append(c.idle[used.incarnation], used)
	}
	if now.Sub(c.lastSweep) >= sweepInterval {
		c.lastSweep = now
		surplus = append(surplus, c.sweep(now)...)
	}
	c.mutex.Unlock()
	for _, conn := range surplus {
		conn.close()
	}
}

// sweep takes out the connections that rested too long, that their servers closed or that
// are too many.
func (c *Pool) sweep(now time.Time) []*pooledConn {
	var surplus []*pooledConn
	for key, idle := range c.idle {
		remaining := idle[:0]
		for position, conn := range idle {
			if conn.http.Err() != nil || conn.conn.idleTooLong(now) || len(idle)-position > maxIdlePerServer {
				surplus = append(surplus, conn)
			} else {
				remaining = append(remaining, conn)
			}
		}
		clear(idle[len(remaining):])
		if len(remaining) == 0 {
			delete(c.idle, key)
		} else {
			c.idle[key] = remaining
		}
	}
	return surplus
}

// SetServers drops the connections to incarnations that are no longer listed.
func (c *Pool) SetServers(servers []membership.Server) {
	known := make(map[incarnation]bool, len(servers))
	for _, server := range servers {
		known[incarnationOf(server)] = true
	}
	var surplus []*pooledConn
	c.mutex.Lock()
	c.known = known
	for key, idle := range c.idle {
		if !known[key] {
			surplus = append(surplus, idle...)
			delete(c.idle, key)
		}
	}
	c.mutex.Unlock()
	for _, conn := range surplus {
		conn.close()
	}
}

// Opened counts the connections that came up.
func (c *Pool) Opened() uint64 {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.opened
}

func (p *pooledConn) close() {
	_, _ = p.conn.end()
	_ = p.http.Close()
}

// readKeepAlive reads how long a server keeps the connection.
func readKeepAlive(header http.Header) time.Duration {
	for _, text := range header["Keep-Alive"] {
		for entry := range strings.SplitSeq(text, ",") {
			if seconds, found := strings.CutPrefix(strings.TrimSpace(entry), "timeout="); found {
				if count, err := strconv.ParseUint(seconds, 10, 16); err == nil {
					return max(0, time.Duration(count)*time.Second-keepAliveMargin)
				}
			}
		}
	}
	return defaultKeepAlive
}
