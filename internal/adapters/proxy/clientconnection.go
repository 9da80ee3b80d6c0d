package proxy

import (
	"net/http"
	"sync"
	"time"

	"seamloom.example/seamloom/internal/config"
)

// clientConnection is the state of one connection of a client. Its mutex decides
// between a request that is about to be forwarded and the connection's dismissal:
// whichever comes first excludes the other.
type clientConnection struct {
	mutex sync.Mutex
	state http.ConnState
	since time.Time
	// admitted tells that the present request was read whole and may be forwarded.
	admitted bool
	// dismissed tells that the connection is to end and passes nothing on any more.
	dismissed bool
}

// enter notes that the connection changed its state.
func (c *clientConnection) enter(state http.ConnState, now time.Time) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.state, c.since, c.admitted = state, now, false
}

// admit tells whether the request that was read whole may be forwarded. From then on
// until its answer is over the connection is not dismissed.
func (c *clientConnection) admit() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.admitted = !c.dismissed
	return c.admitted
}

// dismissIfLate tells whether the client took or rested too long, and has the
// connection pass nothing on from then on. It gives the state in which that was found.
func (c *clientConnection) dismissIfLate(now time.Time, limits config.Limits) (http.ConnState, bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if !c.admitted && now.Sub(c.since) > c.timeout(limits) {
		c.dismissed = true
	}
	return c.state, c.dismissed
}

// dismissIfIdle has a connection that rests pass nothing on from now on, and tells whether
// it rests.
func (c *clientConnection) dismissIfIdle() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.state != http.StateIdle || c.admitted {
		return false
	}
	c.dismissed = true
	return true
}

// timeout is how long the connection may stay in its state. The caller has the mutex.
func (c *clientConnection) timeout(limits config.Limits) time.Duration {
	switch c.state {
	case http.StateNew:
		return limits.HeaderTimeout
	case http.StateIdle:
		return limits.IdleTimeout
	}
	return bodyTimeout
}
