package fleet

import (
	"net"
	"sync"
	"time"

	"seamloom.example/seamloom/internal/failure"
)

// Relay is one faulty link: a loopback listener that carries connections from one
// node to another, and can go dark, delay, drop or duplicate what it carries.
type Relay struct {
	target   string
	listener net.Listener

	mutex       sync.Mutex
	dark        bool
	delay       time.Duration
	duplicate   bool
	connections map[net.Conn]bool
	changed     *sync.Cond
}

// StartRelay begins a relay towards an address.
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

// Address is where the relay listens.
func (r *Relay) Address() string { return r.listener.Addr().String() }

// SetDark stops the link in silence: connections stay open and carry nothing.
func (r *Relay) SetDark(dark bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.dark = dark
	r.changed.Broadcast()
}

// SetDelay holds everything back for a while.
func (r *Relay) SetDelay(delay time.Duration) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.delay = delay
}

// SetDuplicate sends every message of new connections twice.
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

// Close ends the relay.
func (r *Relay) Close() {
	_ = r.listener.Close()
	r.SetDark(false)
	r.Drop()
}

func (r *Relay) accept() {
	for {
		caller, err := r.listener.Accept()
		if err != nil {
			return
		}
		go r.carry(caller)
	}
}

func (r *Relay) carry(caller net.Conn) {
	r.keep(caller, true)
	defer r.keep(caller, false)
	if !r.pass() {
		return
	}
	target, err := net.Dial("tcp", r.target)
	if err != nil {
		return
	}
	r.keep(target, true)
	defer r.keep(target, false)
	targets := []net.Conn{target}
	r.mutex.Lock()
	duplicate := r.duplicate
	r.mutex.Unlock()
	if duplicate {
		if second, err := net.Dial("tcp", r.target); err == nil {
			r.keep(second, true)
			defer r.keep(second, false)
			targets = append(targets, second)
			go r.copy(second, nil)
		}
	}
	var both sync.WaitGroup
	both.Go(func() { r.copy(caller, targets); _ = target.Close() })
	both.Go(func() { r.copy(target, []net.Conn{caller}); _ = caller.Close() })
	both.Wait()
}

func (r *Relay) keep(connection net.Conn, open bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if open {
		r.connections[connection] = true
		return
	}
	delete(r.connections, connection)
	_ = connection.Close()
}

// pass waits while the link is dark, and for its delay.
func (r *Relay) pass() bool {
	r.mutex.Lock()
	for r.dark {
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

func (r *Relay) copy(from net.Conn, to []net.Conn) {
	chunk := make([]byte, 64<<10)
	for {
		count, err := from.Read(chunk)
		if count > 0 {
			r.pass()
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
