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
	warmUntil time.Time
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
	held   []*prefixPart
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
	server := &modelServer{
		ID:       "i-" + uuid.NewString()[:8],
		Service:  service.Name,
		Zone:     zone,
		Address:  address,
		pool:     pool,
		shape:    service.Engine,
		engine:   newEngine(service.Engine),
		phase:    phase,
		revision: 1,
		handles:  map[string]*handle{},
		random:   rand.New(rand.NewPCG(pool.seed, uint64(pool.count()))),
	}
	server.engine.readsOwn = phase == phaseDecode
	server.progress = sync.NewCond(&server.mutex)
	server.lifetime, server.end = context.WithCancel(context.Background())
	if cold {
		server.warmUntil = time.Now().Add(service.Engine.Cold)
	}
	mux := goji.NewMux()
	mux.HandleFunc(pat.Get(pathHealth), server.serveHealth)
	if service.Engine.Plain > 0 {
		mux.HandleFunc(pat.Get(pathReport), func(writer http.ResponseWriter, _ *http.Request) {
			server.pool.events.Append(Event{Kind: Probed, Server: server.ID, Stage: pathReport})
			writer.WriteHeader(http.StatusNotFound)
		})
	} else {
		mux.HandleFunc(pat.Get(pathReport), server.serveReport)
		mux.HandleFunc(pat.Post(pathOrder), server.takeOrder)
		mux.HandleFunc(pat.Delete(pathHandle+":handle"), server.freeHandle)
	}
	mux.HandleFunc(pat.New("/*"), server.serve)
	server.server = &http.Server{
		Handler:     server.silenceWhileDark(mux),
		IdleTimeout: service.Engine.Idle,
		BaseContext: func(net.Listener) context.Context { return server.lifetime },
		ConnState:   server.countConnections,
	}
	pool.events.Append(Event{Kind: ServerBorn, Server: server.ID, Service: server.Service, Zone: zone, Cold: cold})
	go func() { _ = server.server.Serve(listener) }()
	go server.work()
	return server, nil
}

// countConnections resets connections beyond those that the server takes.
func (m *modelServer) countConnections(connection net.Conn, state http.ConnState) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	switch state {
	case http.StateNew:
		m.connections++
		if m.connections > m.shape.Connections {
			reset(connection)
		}
	case http.StateClosed, http.StateHijacked:
		m.connections--
	}
}

func reset(connection net.Conn) {
	if plain, fits := connection.(*net.TCPConn); fits {
		_ = plain.SetLinger(0)
	}
	_ = connection.Close()
}

// silenceWhileDark leaves calls without an answer while the server is dark.
func (m *modelServer) silenceWhileDark(next http.Handler) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, inbound *http.Request) {
		if m.silent() {
			_, _ = io.Copy(io.Discard, inbound.Body)
			<-inbound.Context().Done()
			panic(http.ErrAbortHandler)
		}
		next.ServeHTTP(writer, inbound)
	})
}

func (m *modelServer) silent() bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.misbehaviour.dark
}

// work steps the engine as long as there is anything to do.
func (m *modelServer) work() {
	stop := context.AfterFunc(m.lifetime, func() {
		m.mutex.Lock()
		defer m.mutex.Unlock()
		m.progress.Broadcast()
	})
	defer stop()
	for {
		m.mutex.Lock()
		for !m.engine.busy() && m.lifetime.Err() == nil {
			m.progress.Wait()
		}
		now := time.Now()
		length, chunks := m.engine.plan(now)
		m.mutex.Unlock()
		if !sleep(m.lifetime, length) {
			return
		}
		m.mutex.Lock()
		if !m.misbehaviour.dark {
			for _, one := range m.engine.apply(time.Now(), chunks) {
				if one.begun && one.started != nil {
					one.started()
					one.started = nil
				}
			}
		}
		m.progress.Broadcast()
		m.mutex.Unlock()
	}
}

// sleep waits for a length of time; false means that it was broken off.
func sleep(lifetime context.Context, length time.Duration) bool {
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
func (m *modelServer) crash() {
	m.end()
	_ = m.server.Close()
	m.pool.events.Append(Event{Kind: ServerGone, Server: m.ID, Service: m.Service, Zone: m.Zone})
}

// serveReport answers with the state of some time ago.
func (m *modelServer) serveReport(writer http.ResponseWriter, _ *http.Request) {
	m.mutex.Lock()
	page := m.aged(time.Now())
	m.mutex.Unlock()
	m.pool.events.Append(Event{Kind: Probed, Server: m.ID, Stage: pathReport})
	writer.Header().Set(headerServer, m.ID)
	writeJSON(writer, http.StatusOK, page)
}

// aged is the state as it was a lag ago, as near as it was looked at.
func (m *modelServer) aged(now time.Time) reportPage {
	if now.Sub(m.reported) >= m.shape.ReportLag {
		m.before = m.report
		if now.Sub(m.reported) >= 3*m.shape.ReportLag || m.before.Phase == "" {
			m.before = m.state()
		}
		m.report, m.reported = m.state(), now
	}
	return m.before
}

func (m *modelServer) state() reportPage {
	used := m.engine.memory.pinnedTokens()
	return reportPage{
		Phase:       m.phase,
		ModelIDs:    m.models(),
		Utilization: m.turning,
		CallSeq:     m.orders,
		Queued:      len(m.engine.waiting),
		Active:      len(m.engine.running),
		KVUsed:      used,
		KVTotal:     m.shape.Capacity,
		OpenHandles: len(m.handles),
	}
}

func (m *modelServer) models() []modelPage {
	return []modelPage{{Name: modelName, Revision: m.revision, AdapterIDs: []string{}}}
}

// serveHealth answers as a request would be answered: it is turned away when the server
// is full.
func (m *modelServer) serveHealth(writer http.ResponseWriter, _ *http.Request) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.pool.events.Append(Event{Kind: Probed, Server: m.ID, Stage: pathHealth})
	writer.Header().Set(headerServer, m.ID)
	m.writeLoadHeader(writer.Header())
	if left := time.Until(m.warmUntil); left > 0 {
		writer.Header().Set(headerCold, strconv.FormatInt(left.Milliseconds(), 10))
	}
	if (m.draining || len(m.engine.waiting) >= m.shape.Queue) != m.misbehaviour.lies {
		writer.Header().Set(headerNotRun, "1")
		writer.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	writer.WriteHeader(http.StatusOK)
}

func (m *modelServer) writeLoadHeader(header http.Header) {
	header.Set(headerLoad, fmt.Sprintf("%d,%d,%d", len(m.engine.running), len(m.engine.waiting), m.shape.Slots))
	if m.shape.Plain == 0 {
		header.Set(headerRevision, strconv.Itoa(m.revision))
	}
	header.Set("Keep-Alive", "timeout="+strconv.Itoa(int(m.shape.Idle.Seconds())))
}

// cool makes the server cold again.
func (m *modelServer) cool() {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.warmUntil = time.Now().Add(m.shape.Cold)
}

// overrun counts what comes while the server is cold; well above its rate it falls over.
func (m *modelServer) overrun(now time.Time) (cold, falls bool) {
	if !now.Before(m.warmUntil) {
		return false, false
	}
	m.arrivals = append(m.arrivals, now)
	for len(m.arrivals) > 0 && now.Sub(m.arrivals[0]) > time.Second {
		m.arrivals = m.arrivals[1:]
	}
	return true, float64(len(m.arrivals)) > 4*m.shape.ColdPerSecond
}

// serve takes a request of a client, or one that is only to be read.
func (m *modelServer) serve(writer http.ResponseWriter, inbound *http.Request) {
	body, err := io.ReadAll(inbound.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	e := newExchange(m, inbound, body)
	m.mutex.Lock()
	now := time.Now()
	status := e.misdirected()
	falls := false
	if status == 0 {
		e.event.Cold, falls = m.overrun(now)
		status = e.unfit()
	}
	arrived := e.event
	arrived.Kind, arrived.Status = Arrived, status
	m.pool.events.Append(arrived)
	if falls {
		m.mutex.Unlock()
		m.crash()
		panic(http.ErrAbortHandler)
	}
	if status != 0 {
		m.mutex.Unlock()
		e.turnAway(writer, status)
		return
	}
	e.spoiling = m.misbehaviour.draw(m.random)
	e.enter(now)
	m.mutex.Unlock()
	stop := context.AfterFunc(inbound.Context(), func() {
		m.mutex.Lock()
		defer m.mutex.Unlock()
		e.gone = true
		m.progress.Broadcast()
	})
	defer stop()
	e.answer(writer)
}

// fetch moves a prompt's memory here from the server that read it; it tells when the
// move ends, or false when it can't be had.
func (m *modelServer) fetch(source, t string, now time.Time) (int, time.Time, bool) {
	address, name, found := strings.Cut(source, "/")
	from := m.pool.at(address)
	if !found || from == nil || from == m {
		return 0, now, false
	}
	from.mutex.Lock()
	defer from.mutex.Unlock()
	from.lapse(now)
	held := from.handles[name]
	if held == nil || from.misbehaviour.dark || from.lifetime.Err() != nil {
		return 0, now, false
	}
	length := m.shape.Setup + time.Duration(float64(held.tokens)*m.shape.TokenBytes*8/(m.shape.LinkMegabits*1e6)*float64(time.Second))
	if from.Zone != m.Zone {
		length *= 2
	}
	length = time.Duration(float64(length) * max(1, m.misbehaviour.slowed, from.misbehaviour.slowed))
	begins := now
	for _, free := range []time.Time{from.linkFree, m.linkFree} {
		if free.After(begins) {
			begins = free
		}
	}
	if begins.Sub(now) > 2*time.Second {
		return 0, now, false
	}
	from.linkFree, m.linkFree = begins.Add(length), begins.Add(length)
	delete(from.handles, name)
	from.engine.memory.unpin(held.held)
	m.pool.events.Append(Event{
		Kind:    HandleTaken,
		Server:  m.ID,
		Handle:  name,
		Try:     t,
		Request: held.try,
		Tokens:  held.tokens,
	})
	return held.tokens, begins.Add(length), true
}

// lapse lets handles go whose time has come.
func (m *modelServer) lapse(now time.Time) {
	for name, held := range m.handles {
		if m.misbehaviour.lapses || now.After(held.lapses) {
			delete(m.handles, name)
			m.engine.memory.unpin(held.held)
			m.pool.events.Append(Event{Kind: HandleLost, Server: m.ID, Handle: name, Try: held.try, Tokens: held.tokens})
		}
	}
}

func (m *modelServer) freeHandle(writer http.ResponseWriter, inbound *http.Request) {
	name := pat.Param(inbound, "handle")
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.lapse(time.Now())
	held := m.handles[name]
	if held == nil {
		writer.WriteHeader(http.StatusNotFound)
		return
	}
	delete(m.handles, name)
	m.engine.memory.unpin(held.held)
	m.pool.events.Append(Event{Kind: HandleFreed, Server: m.ID, Handle: name, Try: held.try, Tokens: held.tokens})
	writer.WriteHeader(http.StatusOK)
}
