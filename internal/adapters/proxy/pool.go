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

// The patience with servers' connections. The values are ours.
const (
	// dialPatience is how long a connection may take to come up: a server that is there
	// takes a millisecond.
	dialPatience = 300 * time.Millisecond
	// connectionPatience is how long what was sent may go unacknowledged, and how long a
	// connection on which nothing is said may be dead before it shows.
	connectionPatience = 1500 * time.Millisecond
	// restsUnsaid is how long a connection is kept when its server does not say how long
	// it keeps it; restsMargin what is taken off when it does.
	restsUnsaid = 700 * time.Millisecond
	restsMargin = 300 * time.Millisecond
	// mostResting bounds the connections kept for one server.
	mostResting = 16
	// sweepPause is how long resting connections may outlive their use.
	sweepPause = time.Second
	mostHead   = 256 << 10
)

// Connections are the connections to model servers that rest between calls, each for one
// life of a server. A call takes one alone; whether it is used again is decided when
// the call is over.
type Connections struct {
	transport *http.Transport
	now       func() time.Time

	mutex   sync.Mutex
	resting map[incarnation][]*line
	listed  map[incarnation]bool
	swept   time.Time
	opened  uint64
}

// life is one life of a server at an address.
type incarnation struct{ name, address string }

func incarnationOf(server membership.Server) incarnation {
	return incarnation{name: server.Name, address: server.Address}
}

// line is a connection with its HTTP/1.1 client.
type line struct {
	incarnation incarnation
	connection  *conn
	client      *http.ClientConn
}

type connectionKey struct{}

// NewConnections makes the connections of a router. Detours replace addresses when dialling.
func NewConnections(detours map[string]string) *Connections {
	dialer := &net.Dialer{Timeout: dialPatience, Control: shortPatience,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 2}}
	connections := &Connections{now: time.Now, resting: map[incarnation][]*line{}}
	connections.transport = &http.Transport{DisableCompression: true, MaxResponseHeaderBytes: mostHead,
		DialContext: func(lifetime context.Context, network, address string) (net.Conn, error) {
			if detour, found := detours[address]; found {
				address = detour
			}
			connection, err := dialer.DialContext(lifetime, network, address)
			if err != nil {
				return nil, err
			}
			circuit := lifetime.Value(connectionKey{}).(*conn)
			circuit.Conn = connection
			return circuit, nil
		}}
	return connections
}

// shortPatience has a dead connection show soon.
func shortPatience(_, _ string, raw syscall.RawConn) error {
	var err error
	if outer := raw.Control(func(descriptor uintptr) {
		err = unix.SetsockoptInt(int(descriptor), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(connectionPatience/time.Millisecond))
	}); outer != nil {
		return outer
	}
	return err
}

// take gives a resting connection that is still good, or opens one. Failing means that
// nothing was sent.
func (c *Connections) take(lifetime context.Context, server membership.Server, ends time.Time) (*line, error) {
	key := incarnationOf(server)
	for {
		rested := c.pop(key)
		if rested == nil {
			break
		}
		if rested.client.Err() == nil && rested.connection.begin(ends) {
			return rested, nil
		}
		rested.close()
	}
	connection := &conn{now: c.now}
	client, err := c.transport.NewClientConn(context.WithValue(lifetime, connectionKey{}, connection), "http", server.Address)
	if err != nil {
		return nil, failure.Wrap(failure.Unreachable, err)
	}
	c.mutex.Lock()
	c.opened++
	c.mutex.Unlock()
	opened := &line{incarnation: key, connection: connection, client: client}
	if !connection.begin(ends) {
		opened.close()
		return nil, errShut
	}
	return opened, nil
}

func (c *Connections) pop(key incarnation) *line {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	resting := c.resting[key]
	if len(resting) == 0 {
		return nil
	}
	last := resting[len(resting)-1]
	resting[len(resting)-1] = nil
	c.resting[key] = resting[:len(resting)-1]
	return last
}

// give takes a connection back after a whole answer. Rests is what the answer said of how
// long the server keeps it.
func (c *Connections) give(used *line, rests time.Duration) {
	if used.client.Err() != nil || used.client.Available() == 0 {
		used.close()
		return
	}
	used.connection.rest(rests)
	now := c.now()
	var surplus []*line
	c.mutex.Lock()
	if c.listed != nil && !c.listed[used.incarnation] {
		surplus = append(surplus, used)
	} else {
		c.resting[used.incarnation] = append(c.resting[used.incarnation], used)
	}
	if now.Sub(c.swept) >= sweepPause {
		c.swept = now
		surplus = append(surplus, c.sweep(now)...)
	}
	c.mutex.Unlock()
	for _, l := range surplus {
		l.close()
	}
}

// sweep takes out the connections that rested too long, that their servers closed or that
// are too many.
func (c *Connections) sweep(now time.Time) []*line {
	var surplus []*line
	for key, resting := range c.resting {
		kept := resting[:0]
		for position, l := range resting {
			if l.client.Err() != nil || l.connection.rested(now) || len(resting)-position > mostResting {
				surplus = append(surplus, l)
			} else {
				kept = append(kept, l)
			}
		}
		clear(resting[len(kept):])
		if len(kept) == 0 {
			delete(c.resting, key)
		} else {
			c.resting[key] = kept
		}
	}
	return surplus
}

// SetServers drops the connections to lives that are listed no more.
func (c *Connections) SetServers(servers []membership.Server) {
	listed := make(map[incarnation]bool, len(servers))
	for _, server := range servers {
		listed[incarnationOf(server)] = true
	}
	var surplus []*line
	c.mutex.Lock()
	c.listed = listed
	for key, resting := range c.resting {
		if !listed[key] {
			surplus = append(surplus, resting...)
			delete(c.resting, key)
		}
	}
	c.mutex.Unlock()
	for _, l := range surplus {
		l.close()
	}
}

// Opened counts the connections that came up.
func (c *Connections) Opened() uint64 {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.opened
}

func (l *line) close() {
	_, _ = l.connection.end()
	_ = l.client.Close()
}

// readRests reads how long a server keeps the connection.
func readRests(header http.Header) time.Duration {
	for _, text := range header["Keep-Alive"] {
		for entry := range strings.SplitSeq(text, ",") {
			if seconds, found := strings.CutPrefix(strings.TrimSpace(entry), "timeout="); found {
				if count, err := strconv.ParseUint(seconds, 10, 16); err == nil {
					return max(0, time.Duration(count)*time.Second-restsMargin)
				}
			}
		}
	}
	return restsUnsaid
}
