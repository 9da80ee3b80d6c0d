package proxy

import (
	"context"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"seamloom.example/seamloom/internal/failure"
	"seamloom.example/seamloom/internal/membership"
)

// Timeouts and bounds of the connections to model servers.
const (
	// dialTimeout is how long opening a connection may take. A server that is up accepts
	// within a millisecond.
	dialTimeout = 300 * time.Millisecond
	// unackedTimeout is the TCP_USER_TIMEOUT: how long sent data may stay unacknowledged, and
	// how long the failure of an idle connection may stay undetected.
	unackedTimeout = 1500 * time.Millisecond
	// defaultKeepAlive is how long an idle connection is kept if its server states no
	// keep-alive timeout. keepAliveMargin is subtracted from a stated timeout, so that no call
	// is sent while the server closes the connection.
	defaultKeepAlive = 700 * time.Millisecond
	keepAliveMargin  = 300 * time.Millisecond
	// maxIdlePerServer bounds the idle connections to one server.
	maxIdlePerServer = 16
	// sweepInterval is the minimum time between two sweeps, which close idle connections that
	// can't be reused.
	sweepInterval          = time.Second
	maxResponseHeaderBytes = 256 << 10
)

// Pool holds the idle connections to model servers, each to one incarnation of a server. A
// connection serves one call at a time. When the call is over, the connection is returned to the pool
// or closed.
type Pool struct {
	transport *http.Transport
	now       func() time.Time

	mutex sync.Mutex
	idle  map[incarnation][]*pooledConn
	// listed contains the incarnations in the current list of servers; nil before the first list.
	listed    map[incarnation]bool
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
	// request is the request on the connection, previous the one before it.
	request, previous carriedRequest
}

// carriedRequest tells which request a connection carried. A server may send a late copy of its answer in the
// place of the next one.
type carriedRequest struct {
	// id is the request's ID, which its answer repeats; empty if it has none.
	id string
	// sent is false if there was no such request.
	sent bool
}

// mayBeAnsweredAs reports whether a late answer to the request can't be told from an answer to a request with the ID.
func (r carriedRequest) mayBeAnsweredAs(id string) bool { return r.sent && r.id != "" && r.id == id }

// carry records that the connection carries a request with the ID.
func (c *pooledConn) carry(id string) {
	c.previous, c.request = c.request, carriedRequest{id: id, sent: true}
}

// previousHadNoID reports whether the connection carried a request without an ID just before the present one. An answer
// without an ID may then be a late copy of the answer to that request.
func (c *pooledConn) previousHadNoID() bool { return c.previous.sent && c.previous.id == "" }

// trackedConnKey is the context key of the trackedConn whose embedded Conn the dialer sets.
type trackedConnKey struct{}

// NewPool returns an empty pool. AddressOverrides maps addresses of servers to the addresses that
// are dialed in their place.
func NewPool(addressOverrides map[string]string) *Pool {
	dialer := &net.Dialer{Timeout: dialTimeout, Control: setUnackedTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 2}}
	pool := &Pool{now: time.Now, idle: map[incarnation][]*pooledConn{}}
	pool.transport = &http.Transport{DisableCompression: true, MaxResponseHeaderBytes: maxResponseHeaderBytes,
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			if override, found := addressOverrides[address]; found {
				address = override
			}
			conn, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			tracked := ctx.Value(trackedConnKey{}).(*trackedConn)
			tracked.Conn = conn
			return tracked, nil
		}}
	return pool
}

// setUnackedTimeout sets TCP_USER_TIMEOUT to unackedTimeout on a new socket, so that a dead connection is
// detected soon.
func setUnackedTimeout(_, _ string, raw syscall.RawConn) error {
	var err error
	if controlErr := raw.Control(func(descriptor uintptr) {
		err = unix.SetsockoptInt(int(descriptor), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTimeout/time.Millisecond))
	}); controlErr != nil {
		return controlErr
	}
	return err
}

// get returns an idle connection that is still usable, or opens one, and starts a request with this ID (empty for
// none) and deadline on it. An error means that nothing was sent.
//
// Invariant: no connection carries an ID twice in succession. A late copy of the first answer, which repeats the
// ID, would be taken for the answer to the second request.
func (p *Pool) get(ctx context.Context, server membership.Server, id string, deadline time.Time) (*pooledConn, error) {
	key := incarnationOf(server)
	for {
		idle := p.popIdle(key, id)
		if idle == nil {
			break
		}
		if idle.http.Err() == nil && idle.conn.begin(deadline) {
			idle.carry(id)
			return idle, nil
		}
		idle.close()
	}
	conn := &trackedConn{now: p.now}
	client, err := p.transport.NewClientConn(context.WithValue(ctx, trackedConnKey{}, conn), "http", server.Address)
	if err != nil {
		return nil, failure.Wrap(failure.Unreachable, err)
	}
	p.mutex.Lock()
	p.opened++
	p.mutex.Unlock()
	opened := &pooledConn{incarnation: key, conn: conn, http: client}
	if !conn.begin(deadline) {
		opened.close()
		return nil, errConnClosed
	}
	opened.carry(id)
	return opened, nil
}

// popIdle removes and returns the connection that became idle last, of those whose last request did not have the ID.
// It returns nil if there is none.
func (p *Pool) popIdle(key incarnation, id string) *pooledConn {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	idle := p.idle[key]
	for position, conn := range slices.Backward(idle) {
		if !conn.request.mayBeAnsweredAs(id) {
			p.idle[key] = slices.Delete(idle, position, position+1)
			return conn
		}
	}
	return nil
}

// put returns a connection to the pool after a complete response, or closes it if it can't be
// reused. keepAlive is how long the connection may be idle and still be used.
func (p *Pool) put(used *pooledConn, keepAlive time.Duration) {
	if used.http.Err() != nil || used.http.Available() == 0 {
		used.close()
		return
	}
	used.conn.becomeIdle(keepAlive)
	now := p.now()
	var surplus []*pooledConn
	p.mutex.Lock()
	if p.listed != nil && !p.listed[used.incarnation] {
		surplus = append(surplus, used)
	} else {
		p.idle[used.incarnation] = append(p.idle[used.incarnation], used)
	}
	if now.Sub(p.lastSweep) >= sweepInterval {
		p.lastSweep = now
		surplus = append(surplus, p.sweep(now)...)
	}
	p.mutex.Unlock()
	for _, conn := range surplus {
		conn.close()
	}
}

// sweep removes and returns the idle connections that have been idle for too long, that their
// servers closed, or that exceed maxIdlePerServer. The caller holds the mutex.
func (p *Pool) sweep(now time.Time) []*pooledConn {
	var surplus []*pooledConn
	for key, idle := range p.idle {
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
			delete(p.idle, key)
		} else {
			p.idle[key] = remaining
		}
	}
	return surplus
}

// SetServers sets the current servers and closes the idle connections to all other incarnations.
func (p *Pool) SetServers(servers []membership.Server) {
	listed := make(map[incarnation]bool, len(servers))
	for _, server := range servers {
		listed[incarnationOf(server)] = true
	}
	var surplus []*pooledConn
	p.mutex.Lock()
	p.listed = listed
	for key, idle := range p.idle {
		if !listed[key] {
			surplus = append(surplus, idle...)
			delete(p.idle, key)
		}
	}
	p.mutex.Unlock()
	for _, conn := range surplus {
		conn.close()
	}
}

// Opened returns how many connections have been opened.
func (p *Pool) Opened() uint64 {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.opened
}

// close closes the connection. No byte of a call is written to it afterwards.
func (c *pooledConn) close() {
	_, _ = c.conn.end()
	_ = c.http.Close()
}

// readKeepAlive returns how long a connection may be idle and still be used, according to the
// Keep-Alive header of a response, or defaultKeepAlive if the header states no timeout.
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
