package proxy

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"gopkg.in/tomb.v2"

	"seamloom.example/seamloom/internal/failure"
)

// The patience with origins. The values are ours.
const (
	watchPause   = time.Second
	bodyPatience = 30 * time.Second
	// closePatience is how long connections get to end by themselves at the end.
	closePatience = 500 * time.Millisecond
	mostHeadBytes = 1 << 20
)

// Gate listens for origins and for who asks whether the router is ready.
type Gate struct {
	intake  *Intake
	now     func() time.Time
	servers []*http.Server

	mutex       sync.Mutex
	connections map[net.Conn]*clientConnection
}

type clientConnectionKey struct{}

// admit tells whether a request that was read whole may be forwarded: not when its
// connection was dismissed meanwhile. One that came in another way is always admitted.
func admit(inbound *http.Request) bool {
	connection, found := inbound.Context().Value(clientConnectionKey{}).(*clientConnection)
	return !found || connection.admit()
}

// Open listens on the address for calls and on the one for readiness; either may be
// empty.
func Open(owner *tomb.Tomb, intake *Intake, address, readyAddress string) (*Gate, error) {
	return open(owner, intake, address, readyAddress, time.Now)
}

func open(owner *tomb.Tomb, intake *Intake, address, readyAddress string, now func() time.Time) (*Gate, error) {
	gate := &Gate{intake: intake, now: now, connections: map[net.Conn]*clientConnection{}}
	serving := &http.Server{Handler: http.HandlerFunc(gate.serveCall), MaxHeaderBytes: mostHeadBytes, ConnState: gate.note, ConnContext: gate.greet}
	asked := &http.Server{Handler: http.HandlerFunc(gate.tellReady), ReadHeaderTimeout: defaultHeaderPatience, IdleTimeout: defaultIdlePatience}
	for server, address := range map[*http.Server]string{serving: address, asked: readyAddress} {
		if address == "" {
			continue
		}
		// Origins that are gone are noticed by the bounds of calls and of rest; probes
		// would only cost.
		listening := net.ListenConfig{KeepAlive: -1}
		listener, err := listening.Listen(context.Background(), "tcp", address)
		if err != nil {
			gate.Close()
			return nil, failure.Wrap(failure.Unreachable, err)
		}
		gate.servers = append(gate.servers, server)
		owner.Go(func() error {
			if err := server.Serve(listener); err != http.ErrServerClosed {
				return failure.Wrap(failure.Unreachable, err)
			}
			return nil
		})
	}
	owner.Go(func() error { gate.watch(owner.Dying()); return nil })
	return gate, nil
}

func (g *Gate) serveCall(writer http.ResponseWriter, inbound *http.Request) {
	if g.intake.conduct.Leaving() {
		writer.Header()["Connection"] = []string{"close"}
	}
	g.intake.ServeHTTP(writer, inbound)
}

func (g *Gate) tellReady(writer http.ResponseWriter, _ *http.Request) {
	if !g.intake.conduct.Ready() {
		writer.WriteHeader(http.StatusServiceUnavailable)
		_, _ = io.WriteString(writer, "not ready\n")
		return
	}
	_, _ = io.WriteString(writer, "ready\n")
}

// Close ends all connections; those under way get a moment.
func (g *Gate) Close() {
	lifetime, cancel := context.WithTimeout(context.Background(), closePatience)
	defer cancel()
	for _, server := range g.servers {
		_ = server.Shutdown(lifetime)
		_ = server.Close()
	}
}

func (g *Gate) greet(lifetime context.Context, connection net.Conn) context.Context {
	arrived := &clientConnection{since: g.now()}
	g.mutex.Lock()
	g.connections[connection] = arrived
	g.mutex.Unlock()
	return context.WithValue(lifetime, clientConnectionKey{}, arrived)
}

func (g *Gate) note(connection net.Conn, state http.ConnState) {
	g.mutex.Lock()
	known := g.connections[connection]
	if state == http.StateClosed || state == http.StateHijacked {
		delete(g.connections, connection)
	}
	g.mutex.Unlock()
	if known != nil {
		known.enter(state, g.now())
	}
}

// watch dismisses the connections of clients that take or rest too long.
func (g *Gate) watch(dying <-chan struct{}) {
	ticker := time.NewTicker(watchPause)
	defer ticker.Stop()
	for {
		select {
		case <-dying:
			return
		case <-ticker.C:
			g.dismiss()
		}
	}
}

// DismissIdle ends the connections that rest, as dismiss does. The node is leaving: its
// clients find another one now, instead of being refused when they next ask.
func (g *Gate) DismissIdle() {
	var resting []net.Conn
	g.mutex.Lock()
	for connection, known := range g.connections {
		if known.dismissIfIdle() {
			resting = append(resting, connection)
		}
	}
	g.mutex.Unlock()
	for _, connection := range resting {
		_ = connection.SetReadDeadline(time.Unix(1, 0))
	}
}

// dismiss ends the connections of clients that take or rest too long. One that rests
// ends by itself when its next read fails, and never under a request: one that crosses
// the dismissal is refused on the connection and was not forwarded. One whose first head
// takes too long has no request, and is closed.
func (g *Gate) dismiss() {
	limits, now := g.intake.limits(), g.now()
	dismissed := map[net.Conn]http.ConnState{}
	g.mutex.Lock()
	for connection, known := range g.connections {
		if state, late := known.dismissIfLate(now, limits); late {
			dismissed[connection] = state
		}
	}
	g.mutex.Unlock()
	for connection, state := range dismissed {
		if state == http.StateNew {
			_ = connection.Close()
			continue
		}
		_ = connection.SetReadDeadline(time.Unix(1, 0))
	}
}
