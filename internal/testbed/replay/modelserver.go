package replay

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/google/uuid"
	"goji.io"
	"goji.io/pat"

	"seamloom.example/seamloom/internal/failure"
)

// modelServer is one life of a model server.
type modelServer struct {
	ID      string
	Service string
	Zone    string
	Address string

	pool     *ServerPool
	shape    Shape
	server   *http.Server
	lifetime context.Context
	end      context.CancelFunc

	mutex        sync.Mutex
	progress     *sync.Cond
	engine       *engine
	random       *rand.Rand
	misbehaviour misbehaviour
	phase        string
	// turning: an order is in progress.
	turning   bool
	orders    int
	revision  int
	draining  bool
	coldUntil time.Time
	arrivals  []time.Time
	handles   map[string]*handle
	// linkFree is when the link has ended its last move.
	linkFree    time.Time
	connections int
	answers     int
	report      reportPage
	reported    time.Time
	before      reportPage
}

// handle is a read prompt's memory that waits to be taken.
type handle struct {
	try    string
	tokens int
	held   []*keptPart
	lapses time.Time
}

// reportPage is what a server tells of itself.
type reportPage struct {
	Phase       string      `json:"phase"`
	ModelIDs    []modelPage `json:"modelIds"`
	Utilization bool        `json:"utilization"`
	CallSeq     int         `json:"callSeq"`
	Queued      int         `json:"queued"`
	Active      int         `json:"active"`
	KVUsed      int         `json:"kvUsed"`
	KVTotal     int         `json:"kvTotal"`
	OpenHandles int         `json:"openHandles"`
}

type modelPage struct {
	Name       string   `json:"name"`
	Revision   int      `json:"revision"`
	AdapterIDs []string `json:"adapterIds"`
}

// startServer begins a model server at an address.
func startServer(pool *ServerPool, service ServiceShape, zone, phase, address string, cold bool) (*modelServer, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, failure.Wrap(failure.Unreachable, err)
	}
	server := &modelServer{ID: "i-" + uuid.NewString()[:8], Service: service.Name, Zone: zone, Address: address, pool: pool, shape: service.Engine,
		engine: newEngine(service.Engine), phase: phase, revision: 1, handles: map[string]*handle{}, random: rand.New(rand.NewPCG(pool.seed, uint64(pool.count())))}
	server.engine.readsOwn = phase == stageDecode
	server.progress = sync.NewCond(&server.mutex)
	server.lifetime, server.end = context.WithCancel(context.Background())
	if cold {
		server.coldUntil = time.Now().Add(service.Engine.Cold)
	}
	mux := goji.NewMux()
	mux.HandleFunc(pat.Get(pathHealth), server.tellHealth)
	if service.Engine.Plain > 0 {
		mux.HandleFunc(pat.Get(pathReport), func(writer http.ResponseWriter, _ *http.Request) {
			server.pool.book.Note(Event{Kind: Probed, Server: server.ID, Stage: pathReport})
			writer.WriteHeader(http.StatusNotFound)
		})
	} else {
		mux.HandleFunc(pat.Get(pathReport), server.tellReport)
		mux.HandleFunc(pat.Post(pathOrder), server.takeOrder)
		mux.HandleFunc(pat.Delete(pathHandle+":handle"), server.freeHandle)
	}
	mux.HandleFunc(pat.New("/*"), server.serve)
	server.server = &http.Server{Handler: server.shade(mux), IdleTimeout: service.Engine.Idle, BaseContext: func(net.Listener) context.Context { return server.lifetime }, ConnState: server.countConnections}
	pool.book.Note(Event{Kind: ServerBorn, Server: server.ID, Service: server.Service, Zone: zone, Cold: cold})
	go func() { _ = server.server.Serve(listener) }()
	go server.work()
	return server, nil
}

// countConnections resets circuits beyond those that the server takes.
func (server *modelServer) countConnections(connection net.Conn, state http.ConnState) {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	switch state {
	case http.StateNew:
		server.connections++
		if server.connections > server.shape.Connections {
			reset(connection)
		}
	case http.StateClosed, http.StateHijacked:
		server.connections--
	}
}

func reset(connection net.Conn) {
	if plain, fits := connection.(*net.TCPConn); fits {
		_ = plain.SetLinger(0)
	}
	_ = connection.Close()
}

// shade leaves calls without an answer while the server is dark.
func (server *modelServer) shade(next http.Handler) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, inbound *http.Request) {
		if server.silent() {
			_, _ = io.Copy(io.Discard, inbound.Body)
			<-inbound.Context().Done()
			panic(http.ErrAbortHandler)
		}
		next.ServeHTTP(writer, inbound)
	})
}

func (server *modelServer) silent() bool {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	return server.misbehaviour.dark
}

// work steps the engine as long as there is anything to do.
func (server *modelServer) work() {
	stop := context.AfterFunc(server.lifetime, func() {
		server.mutex.Lock()
		defer server.mutex.Unlock()
		server.progress.Broadcast()
	})
	defer stop()
	for {
		server.mutex.Lock()
		for !server.engine.busy() && server.lifetime.Err() == nil {
			server.progress.Wait()
		}
		now := time.Now()
		length, chunks := server.engine.plan(now)
		server.mutex.Unlock()
		if !pause(server.lifetime, length) {
			return
		}
		server.mutex.Lock()
		if !server.misbehaviour.dark {
			for _, one := range server.engine.apply(time.Now(), chunks) {
				if one.begun && one.started != nil {
					one.started()
					one.started = nil
				}
			}
		}
		server.progress.Broadcast()
		server.mutex.Unlock()
	}
}

// pause waits for a length of time; false means that it was broken off.
func pause(lifetime context.Context, length time.Duration) bool {
	timer := time.NewTimer(length)
	defer timer.Stop()
	select {
	case <-timer.C:
		return lifetime.Err() == nil
	case <-lifetime.Done():
		return false
	}
}

// crash ends the server at once, with all that it knows.
func (server *modelServer) crash() {
	server.end()
	_ = server.server.Close()
	server.pool.book.Note(Event{Kind: ServerGone, Server: server.ID, Service: server.Service, Zone: server.Zone})
}

// tellReport answers with the state of some time ago.
func (server *modelServer) tellReport(writer http.ResponseWriter, _ *http.Request) {
	server.mutex.Lock()
	page := server.aged(time.Now())
	server.mutex.Unlock()
	server.pool.book.Note(Event{Kind: Probed, Server: server.ID, Stage: pathReport})
	writer.Header().Set(headerServer, server.ID)
	say(writer, http.StatusOK, page)
}

// aged is the state as it was a lag ago, as near as it was looked at.
func (server *modelServer) aged(now time.Time) reportPage {
	if now.Sub(server.reported) >= server.shape.ReportLag {
		server.before = server.report
		if now.Sub(server.reported) >= 3*server.shape.ReportLag || server.before.Phase == "" {
			server.before = server.state()
		}
		server.report, server.reported = server.state(), now
	}
	return server.before
}

func (server *modelServer) state() reportPage {
	used := server.engine.memory.pinned()
	return reportPage{Phase: server.phase, ModelIDs: server.models(), Utilization: server.turning, CallSeq: server.orders, Queued: len(server.engine.waiting),
		Active: len(server.engine.running), KVUsed: used, KVTotal: server.shape.Capacity, OpenHandles: len(server.handles)}
}

func (server *modelServer) models() []modelPage {
	return []modelPage{{Name: modelName, Revision: server.revision, AdapterIDs: []string{}}}
}

// tellHealth answers as a request would be answered: it is turned away when the server
// is full.
func (server *modelServer) tellHealth(writer http.ResponseWriter, _ *http.Request) {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	server.pool.book.Note(Event{Kind: Probed, Server: server.ID, Stage: pathHealth})
	writer.Header().Set(headerServer, server.ID)
	server.tellLoad(writer.Header())
	if left := time.Until(server.coldUntil); left > 0 {
		writer.Header().Set(headerCold, strconv.FormatInt(left.Milliseconds(), 10))
	}
	if (server.draining || len(server.engine.waiting) >= server.shape.Queue) != server.misbehaviour.lies {
		writer.Header().Set(headerNotRun, "1")
		writer.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	writer.WriteHeader(http.StatusOK)
}

func (server *modelServer) tellLoad(header http.Header) {
	header.Set(headerLoad, fmt.Sprintf("%d,%d,%d", len(server.engine.running), len(server.engine.waiting), server.shape.Slots))
	if server.shape.Plain == 0 {
		header.Set(headerRevision, strconv.Itoa(server.revision))
	}
	header.Set("Keep-Alive", "timeout="+strconv.Itoa(int(server.shape.Idle.Seconds())))
}

// cool makes the server cold again.
func (server *modelServer) cool() {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	server.coldUntil = time.Now().Add(server.shape.Cold)
}

// overrun counts what comes while the server is cold; well above its rate it falls over.
func (server *modelServer) overrun(now time.Time) (cold, falls bool) {
	if !now.Before(server.coldUntil) {
		return false, false
	}
	server.arrivals = append(server.arrivals, now)
	for len(server.arrivals) > 0 && now.Sub(server.arrivals[0]) > time.Second {
		server.arrivals = server.arrivals[1:]
	}
	return true, float64(len(server.arrivals)) > 4*server.shape.ColdPerSecond
}

// serve takes a request of a client, or one that is only to be read.
func (server *modelServer) serve(writer http.ResponseWriter, inbound *http.Request) {
	body, err := io.ReadAll(inbound.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	exchange := newExchange(server, inbound, body)
	server.mutex.Lock()
	now := time.Now()
	status := exchange.misdirected()
	falls := false
	if status == 0 {
		exchange.event.Cold, falls = server.overrun(now)
		status = exchange.unfit()
	}
	arrived := exchange.event
	arrived.Kind, arrived.Status = Arrived, status
	server.pool.book.Note(arrived)
	if falls {
		server.mutex.Unlock()
		server.crash()
		panic(http.ErrAbortHandler)
	}
	if status != 0 {
		server.mutex.Unlock()
		exchange.turnAway(writer, status)
		return
	}
	exchange.spoiling = server.misbehaviour.draw(server.random)
	exchange.enter(now)
	server.mutex.Unlock()
	stop := context.AfterFunc(inbound.Context(), func() {
		server.mutex.Lock()
		defer server.mutex.Unlock()
		exchange.gone = true
		server.progress.Broadcast()
	})
	defer stop()
	exchange.answer(writer)
}

// fetch moves a prompt's memory here from the server that read it; it tells when the
// move ends, or false when it can't be had.
func (server *modelServer) fetch(source, try string, now time.Time) (int, time.Time, bool) {
	address, name, found := strings.Cut(source, "/")
	from := server.pool.at(address)
	if !found || from == nil || from == server {
		return 0, now, false
	}
	from.mutex.Lock()
	defer from.mutex.Unlock()
	from.lapse(now)
	held := from.handles[name]
	if held == nil || from.misbehaviour.dark || from.lifetime.Err() != nil {
		return 0, now, false
	}
	length := server.shape.Setup + time.Duration(float64(held.tokens)*server.shape.TokenBytes*8/(server.shape.LinkMegabits*1e6)*float64(time.Second))
	if from.Zone != server.Zone {
		length *= 2
	}
	length = time.Duration(float64(length) * max(1, server.misbehaviour.slowed, from.misbehaviour.slowed))
	begins := now
	for _, free := range []time.Time{from.linkFree, server.linkFree} {
		if free.After(begins) {
			begins = free
		}
	}
	if begins.Sub(now) > 2*time.Second {
		return 0, now, false
	}
	from.linkFree, server.linkFree = begins.Add(length), begins.Add(length)
	delete(from.handles, name)
	from.engine.memory.unpin(held.held)
	server.pool.book.Note(Event{Kind: HandleTaken, Server: server.ID, Handle: name, Try: try, Request: held.try, Tokens: held.tokens})
	return held.tokens, begins.Add(length), true
}

// lapse lets handles go whose time has come.
func (server *modelServer) lapse(now time.Time) {
	for name, held := range server.handles {
		if server.misbehaviour.lapses || now.After(held.lapses) {
			delete(server.handles, name)
			server.engine.memory.unpin(held.held)
			server.pool.book.Note(Event{Kind: HandleLost, Server: server.ID, Handle: name, Try: held.try, Tokens: held.tokens})
		}
	}
}

func (server *modelServer) freeHandle(writer http.ResponseWriter, inbound *http.Request) {
	name := pat.Param(inbound, "handle")
	server.mutex.Lock()
	defer server.mutex.Unlock()
	server.lapse(time.Now())
	held := server.handles[name]
	if held == nil {
		writer.WriteHeader(http.StatusNotFound)
		return
	}
	delete(server.handles, name)
	server.engine.memory.unpin(held.held)
	server.pool.book.Note(Event{Kind: HandleFreed, Server: server.ID, Handle: name, Try: held.try, Tokens: held.tokens})
	writer.WriteHeader(http.StatusOK)
}
