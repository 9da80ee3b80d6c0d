package fleet

import (
	"net"
	"sync"
	"time"

	"seamloom.example/seamloom/internal/failure"
)

// Relay is a link with faults: a loopback listener that forwards connections to a target,
// and can block or delay their data, break them, or duplicate their messages.
type Relay struct {
	target   string
	listener net.Listener

	mutex       sync.Mutex
	blocked     bool
	delay       time.Duration
	duplicate   bool
	connections map[net.Conn]bool
	changed     *sync.Cond
}

// StartRelay starts a relay to a target address.
func StartRelay(target string) (*Relay, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, failure.Wrap(failure.Unreachable, err)
	}
	relay := &Relay{target: target, listener: listener, connections: map[net.Conn]bool{}}
	relay.changed = sync.NewCond(&relay.mutex)
	go relay.accept()
	return relay, nil
}

// Address returns the address on which the relay listens.
func (r *Relay) Address() string { return r.listener.Addr().String() }

// SetBlocked blocks or unblocks the link. While it is blocked, connections stay open but carry
// no data.
func (r *Relay) SetBlocked(blocked bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.blocked = blocked
	r.changed.Broadcast()
}

// SetDelay sets the time for which the relay holds back each new connection and each chunk of
// data that it has read.
func (r *Relay) SetDelay(delay time.Duration) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.delay = delay
}

// SetDuplicate sets whether the messages of new connections are delivered twice.
func (r *Relay) SetDuplicate(duplicate bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.duplicate = duplicate
}

// Drop breaks every open connection.
func (r *Relay) Drop() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for connection := range r.connections {
		_ = connection.Close()
	}
}

// Close stops the relay and its connections.
func (r *Relay) Close() {
	_ = r.listener.Close()
	r.SetBlocked(false)
	r.Drop()
}

// accept accepts connections until the listener is closed, and forwards each in a goroutine.
func (r *Relay) accept() {
	for {
		caller, err := r.listener.Accept()
		if err != nil {
			return
		}
		go r.forward(caller)
	}
}

// forward copies the data of one connection to the target and back. If messages are duplicated,
// it also sends the caller's data over a second connection and discards what the target answers
// there.
func (r *Relay) forward(caller net.Conn) {
	r.track(caller, true)
	defer r.track(caller, false)
	if !r.awaitOpen() {
		return
	}
	target, err := net.Dial("tcp", r.target)
	if err != nil {
		return
	}
	r.track(target, true)
	defer r.track(target, false)
	targets := []net.Conn{target}
	r.mutex.Lock()
	duplicate := r.duplicate
	r.mutex.Unlock()
	if duplicate {
		if second, err := net.Dial("tcp", r.target); err == nil {
			r.track(second, true)
			defer r.track(second, false)
			targets = append(targets, second)
			go r.copy(second, nil)
		}
	}
	var both sync.WaitGroup
	both.Go(func() { r.copy(caller, targets); _ = target.Close() })
	both.Go(func() { r.copy(target, []net.Conn{caller}); _ = caller.Close() })
	both.Wait()
}

// track records an open connection, or closes and forgets it.
func (r *Relay) track(connection net.Conn, open bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if open {
		r.connections[connection] = true
		return
	}
	delete(r.connections, connection)
	_ = connection.Close()
}

// awaitOpen waits until the link is not blocked, and then for its delay. It always returns true.
func (r *Relay) awaitOpen() bool {
	r.mutex.Lock()
	for r.blocked {
		r.changed.Wait()
	}
	delay := r.delay
	r.mutex.Unlock()
	if delay > 0 {
		timer := time.NewTimer(delay)
		<-timer.C
	}
	return true
}

// copy copies data from one connection to others until a connection ends. It ignores write errors of
// all but the first target.
func (r *Relay) copy(from net.Conn, to []net.Conn) {
	chunk := make([]byte, 64<<10)
	for {
		count, err := from.Read(chunk)
		if count > 0 {
			r.awaitOpen()
			for _, connection := range to {
				if _, err := connection.Write(chunk[:count]); err != nil && connection == to[0] {
					return
				}
			}
		}
		if err != nil {
			return
		}
	}
}
