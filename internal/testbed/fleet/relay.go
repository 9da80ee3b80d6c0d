package fleet

import (
	"net"
	"sync"
	"time"

	"seamloom.example/seamloom/internal/failure"
)

// Relay is one faulty link: a loopback listener that carries circuits from one
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
func (relay *Relay) Address() string { return relay.listener.Addr().String() }

// SetDark stops the link in silence: circuits stay open and carry nothing.
func (relay *Relay) SetDark(dark bool) {
	relay.mutex.Lock()
	defer relay.mutex.Unlock()
	relay.dark = dark
	relay.changed.Broadcast()
}

// SetDelay holds everything back for a while.
func (relay *Relay) SetDelay(delay time.Duration) {
	relay.mutex.Lock()
	defer relay.mutex.Unlock()
	relay.delay = delay
}

// SetDuplicate sends every message of new circuits twice.
func (relay *Relay) SetDuplicate(duplicate bool) {
	relay.mutex.Lock()
	defer relay.mutex.Unlock()
	relay.duplicate = duplicate
}

// Drop breaks every open circuit.
func (relay *Relay) Drop() {
	relay.mutex.Lock()
	defer relay.mutex.Unlock()
	for connection := range relay.connections {
		_ = connection.Close()
	}
}

// Close ends the relay.
func (relay *Relay) Close() {
	_ = relay.listener.Close()
	relay.SetDark(false)
	relay.Drop()
}

func (relay *Relay) accept() {
	for {
		caller, err := relay.listener.Accept()
		if err != nil {
			return
		}
		go relay.carry(caller)
	}
}

func (relay *Relay) carry(caller net.Conn) {
	relay.keep(caller, true)
	defer relay.keep(caller, false)
	if !relay.pass() {
		return
	}
	target, err := net.Dial("tcp", relay.target)
	if err != nil {
		return
	}
	relay.keep(target, true)
	defer relay.keep(target, false)
	targets := []net.Conn{target}
	relay.mutex.Lock()
	duplicate := relay.duplicate
	relay.mutex.Unlock()
	if duplicate {
		if second, err := net.Dial("tcp", relay.target); err == nil {
			relay.keep(second, true)
			defer relay.keep(second, false)
			targets = append(targets, second)
			go relay.copy(second, nil)
		}
	}
	var both sync.WaitGroup
	both.Go(func() { relay.copy(caller, targets); _ = target.Close() })
	both.Go(func() { relay.copy(target, []net.Conn{caller}); _ = caller.Close() })
	both.Wait()
}

func (relay *Relay) keep(connection net.Conn, open bool) {
	relay.mutex.Lock()
	defer relay.mutex.Unlock()
	if open {
		relay.connections[connection] = true
		return
	}
	delete(relay.connections, connection)
	_ = connection.Close()
}

// pass waits while the link is dark, and for its delay.
func (relay *Relay) pass() bool {
	relay.mutex.Lock()
	for relay.dark {
		relay.changed.Wait()
	}
	delay := relay.delay
	relay.mutex.Unlock()
	if delay > 0 {
		timer := time.NewTimer(delay)
		<-timer.C
	}
	return true
}

func (relay *Relay) copy(from net.Conn, to []net.Conn) {
	chunk := make([]byte, 64<<10)
	for {
		count, err := from.Read(chunk)
		if count > 0 {
			relay.pass()
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
