package scheduler

import (
	"sync"
	"time"
)

// connections counts the idle connections to one server that the next calls may use,
// by when each of them is closed.
type connections struct {
	mutex sync.Mutex
	// idle are the times of closing, the connection used last at the end.
	idle []time.Time
}

// available tells whether a call would find an idle connection.
func (connections *connections) available(now time.Time) bool {
	connections.mutex.Lock()
	defer connections.mutex.Unlock()
	return len(connections.idle) > 0 && now.Before(connections.idle[len(connections.idle)-1])
}

// take uses the connection that was returned last. One that is closed by now is closed
// with all that were returned before it.
func (connections *connections) take(now time.Time) {
	connections.mutex.Lock()
	defer connections.mutex.Unlock()
	last := len(connections.idle) - 1
	switch {
	case last < 0:
	case now.Before(connections.idle[last]):
		connections.idle = connections.idle[:last]
	default:
		connections.idle = connections.idle[:0]
	}
}

// give returns a connection that stays open for so long.
func (connections *connections) give(now time.Time, keeps time.Duration) {
	if keeps <= 0 {
		return
	}
	connections.mutex.Lock()
	defer connections.mutex.Unlock()
	if len(connections.idle) >= mostIdleConnections {
		connections.idle = append(connections.idle[:0], connections.idle[1:]...)
	}
	connections.idle = append(connections.idle, now.Add(keeps))
}

// mostIdleConnections bounds what is remembered of one server.
const mostIdleConnections = 16
