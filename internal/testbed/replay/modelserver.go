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

// modelServer is one incarnation of a model server.
type modelServer struct {
	ID      string
	Service string
	Zone    string
	Address string

	pool     *ServerPool
	config   EngineConfig
	server   *http.Server
	lifetime context.Context
	cancel   context.CancelFunc

	mutex        sync.Mutex
	progress     *sync.Cond
	engine       *engine
	random       *rand.Rand
	misbehaviour misbehaviour
	phase        string
	// changingPhase means that an order to change the phase is in progress.
	changingPhase bool
	orders        int
	revision      int
	draining      bool
	warmUntil     time.Time
	arrivals      []time.Time
	handles       map[string]*handle
	// linkFreeAt is when the link completes its last KV cache transfer.
	linkFreeAt    time.Time
	connections   int
	answers       int
	latestReport  serverReport
	reportedAt    time.Time
	earlierReport serverReport
}

// handle refers to the KV cache of a prefilled prompt until another server fetches the KV cache, or the
// handle is freed or expires.
type handle struct {
	attemptID string
	tokens    int
	pinned    []*prefixPart
	expires   time.Time
}

// serverReport is the report of a server on its own state.
type serverReport struct {
	Phase       string       `json:"phase"`
	ModelIDs    []modelEntry `json:"modelIds"`
	Utilization bool         `json:"utilization"`
	CallSeq     int          `json:"callSeq"`
	Queued      int          `json:"queued"`
	Active      int          `json:"active"`
	KVUsed      int          `json:"kvUsed"`
	KVTotal     int          `json:"kvTotal"`
	OpenHandles int          `json:"openHandles"`
}

// modelEntry is one model in a report or in the list of servers.
type modelEntry struct {
	Name       string   `json:"name"`
	Revision   int      `json:"revision"`
	AdapterIDs []string `json:"adapterIds"`
}

// startServer starts a model server at an address.
func startServer(pool *ServerPool, service ServiceConfig, zone, phase, address string, cold bool) (*modelServer, error) {
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
		config:   service.Engine,
		engine:   newEngine(service.Engine),
		phase:    phase,
		revision: 1,
		handles:  map[string]*handle{},
		random:   rand.New(rand.NewPCG(pool.seed, uint64(pool.nextNumber()))),
	}
	server.engine.mixedPrefill = phase == phaseDecode
	server.progress = sync.NewCond(&server.mutex)
	server.lifetime, server.cancel = context.WithCancel(context.Background())
	if cold {
		server.warmUntil = time.Now().Add(service.Engine.ColdStart)
	}
	mux := goji.NewMux()
	mux.HandleFunc(pat.Get(pathHealth), server.serveHealth)
	if service.Engine.PlainSteps > 0 {
		mux.HandleFunc(pat.Get(pathReport), func(writer http.ResponseWriter, _ *http.Request) {
			server.pool.events.Append(Event{Kind: ServerProbed, Server: server.ID, WorkPhase: pathReport})
			writer.WriteHeader(http.StatusNotFound)
		})
	} else {
		mux.HandleFunc(pat.Get(pathReport), server.serveReport)
		mux.HandleFunc(pat.Post(pathOrder), server.serveOrder)
		mux.HandleFunc(pat.Delete(pathHandle+":handle"), server.serveFreeHandle)
	}
	mux.HandleFunc(pat.New("/*"), server.serve)
	server.server = &http.Server{
		Handler:     server.ignoreWhileSilent(mux),
		IdleTimeout: service.Engine.ConnectionIdle,
		BaseContext: func(net.Listener) context.Context { return server.lifetime },
		ConnState:   server.countConnections,
		ConnContext: withConnection,
	}
	pool.events.Append(Event{Kind: ServerStarted, Server: server.ID, Service: server.Service, Zone: zone, Cold: cold})
	go func() { _ = server.server.Serve(listener) }()
	go server.runEngine()
	return server, nil
}

// countConnections resets connections beyond the limit of the server.
func (m *modelServer) countConnections(connection net.Conn, state http.ConnState) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	switch state {
	case http.StateNew:
		m.connections++
		if m.connections > m.config.Connections {
			resetConnection(connection)
		}
	case http.StateClosed, http.StateHijacked:
		m.connections--
	}
}

// resetConnection closes a connection with a TCP reset.
func resetConnection(connection net.Conn) {
	if tcp, isTCP := connection.(*net.TCPConn); isTCP {
		_ = tcp.SetLinger(0)
	}
	_ = connection.Close()
}

// ignoreWhileSilent returns a handler that never responds to a call while the server is silent.
func (m *modelServer) ignoreWhileSilent(next http.Handler) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, inbound *http.Request) {
		if m.isSilent() {
			_, _ = io.Copy(io.Discard, inbound.Body)
			<-inbound.Context().Done()
			panic(http.ErrAbortHandler)
		}
		next.ServeHTTP(writer, inbound)
	})
}

// isSilent reports whether the server responds to nothing.
func (m *modelServer) isSilent() bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.misbehaviour.silent
}

// runEngine runs the steps of the engine whenever it has requests, until the lifetime ends.
func (m *modelServer) runEngine() {
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
		length, chunks := m.engine.planStep(now)
		m.mutex.Unlock()
		if !sleep(m.lifetime, length) {
			return
		}
		m.mutex.Lock()
		if !m.misbehaviour.silent {
			for _, req := range m.engine.finishStep(time.Now(), chunks) {
				if req.tokenGenerated && req.onFirstToken != nil {
					req.onFirstToken()
					req.onFirstToken = nil
				}
			}
		}
		m.progress.Broadcast()
		m.mutex.Unlock()
	}
}

// sleep waits for a duration. It returns false if the lifetime ended first.
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

// crash ends the server at once. Its state is lost.
func (m *modelServer) crash() {
	m.cancel()
	_ = m.server.Close()
	m.pool.events.Append(Event{Kind: ServerStopped, Server: m.ID, Service: m.Service, Zone: m.Zone})
}

// serveReport responds with the delayed report.
func (m *modelServer) serveReport(writer http.ResponseWriter, _ *http.Request) {
	m.mutex.Lock()
	report := m.delayedReport(time.Now())
	m.mutex.Unlock()
	m.pool.events.Append(Event{Kind: ServerProbed, Server: m.ID, WorkPhase: pathReport})
	writer.Header().Set(headerServer, m.ID)
	writeJSON(writer, http.StatusOK, report)
}

// delayedReport returns the report before the latest one, which is usually at least a report lag
// old. The server makes a new report only when a caller asks for a report, at most once per lag. If it
// made none for three lags, it returns a report of its present state.
func (m *modelServer) delayedReport(now time.Time) serverReport {
	if now.Sub(m.reportedAt) >= m.config.ReportLag {
		m.earlierReport = m.latestReport
		if now.Sub(m.reportedAt) >= 3*m.config.ReportLag || m.earlierReport.Phase == "" {
			m.earlierReport = m.currentReport()
		}
		m.latestReport, m.reportedAt = m.currentReport(), now
	}
	return m.earlierReport
}

// currentReport returns a report of the present state.
func (m *modelServer) currentReport() serverReport {
	used := m.engine.cache.pinnedTokens()
	return serverReport{
		Phase:       m.phase,
		ModelIDs:    m.models(),
		Utilization: m.changingPhase,
		CallSeq:     m.orders,
		Queued:      len(m.engine.queue),
		Active:      len(m.engine.running),
		KVUsed:      used,
		KVTotal:     m.config.Capacity,
		OpenHandles: len(m.handles),
	}
}

// models lists the only model of the server.
func (m *modelServer) models() []modelEntry {
	return []modelEntry{{Name: modelName, Revision: m.revision, AdapterIDs: []string{}}}
}

// serveHealth responds with 503 if the server is draining or its queue is full, and with 200
// otherwise. If healthInverted is set, it swaps the two.
func (m *modelServer) serveHealth(writer http.ResponseWriter, _ *http.Request) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.pool.events.Append(Event{Kind: ServerProbed, Server: m.ID, WorkPhase: pathHealth})
	writer.Header().Set(headerServer, m.ID)
	m.writeLoadHeader(writer.Header())
	if left := time.Until(m.warmUntil); left > 0 {
		writer.Header().Set(headerCold, strconv.FormatInt(left.Milliseconds(), 10))
	}
	if (m.draining || len(m.engine.queue) >= m.config.Queue) != m.misbehaviour.healthInverted {
		writer.Header().Set(headerNotRun, "1")
		writer.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	writer.WriteHeader(http.StatusOK)
}

// writeLoadHeader sets the headers that report the load and the revision of the server.
func (m *modelServer) writeLoadHeader(header http.Header) {
	header.Set(headerLoad, fmt.Sprintf("%d,%d,%d", len(m.engine.running), len(m.engine.queue), m.config.Slots))
	if m.config.PlainSteps == 0 {
		header.Set(headerRevision, strconv.Itoa(m.revision))
	}
	header.Set("Keep-Alive", "timeout="+strconv.Itoa(int(m.config.ConnectionIdle.Seconds())))
}

// makeCold makes the server cold again.
func (m *modelServer) makeCold() {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.warmUntil = time.Now().Add(m.config.ColdStart)
}

// countColdArrival counts an arrival at a cold server. It reports whether the server is cold, and
// whether it crashes because more than four times ColdPerSecond requests arrived within a second.
func (m *modelServer) countColdArrival(now time.Time) (cold, crashes bool) {
	if !now.Before(m.warmUntil) {
		return false, false
	}
	m.arrivals = append(m.arrivals, now)
	for len(m.arrivals) > 0 && now.Sub(m.arrivals[0]) > time.Second {
		m.arrivals = m.arrivals[1:]
	}
	return true, float64(len(m.arrivals)) > 4*m.config.ColdPerSecond
}

// serve handles a request to prefill or to decode, or a request of a plain service.
func (m *modelServer) serve(writer http.ResponseWriter, inbound *http.Request) {
	body, err := io.ReadAll(inbound.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	e := newExchange(m, inbound, body)
	m.mutex.Lock()
	now := time.Now()
	status := e.misdirectedStatus()
	crashes := false
	if status == 0 {
		e.event.Cold, crashes = m.countColdArrival(now)
		status = e.rejectionStatus()
	}
	arrived := e.event
	arrived.Kind, arrived.Status = RequestArrived, status
	m.pool.events.Append(arrived)
	if crashes {
		m.mutex.Unlock()
		m.crash()
		panic(http.ErrAbortHandler)
	}
	if status != 0 {
		m.mutex.Unlock()
		e.reject(writer, status)
		return
	}
	e.fault = m.misbehaviour.drawFault(m.random)
	e.closeDelimited = m.misbehaviour.closeDelimited
	e.submit(now)
	m.mutex.Unlock()
	stop := context.AfterFunc(inbound.Context(), func() {
		m.mutex.Lock()
		defer m.mutex.Unlock()
		e.clientGone = true
		m.progress.Broadcast()
	})
	defer stop()
	e.answer(writer)
}

// fetchPrefix transfers the KV cache of a prompt from the server that prefilled it. It returns the
// number of tokens and the end of the transfer, or false if the KV cache is not available or the
// links stay busy for more than 2 s.
func (m *modelServer) fetchPrefix(location, attempt string, now time.Time) (int, time.Time, bool) {
	address, name, found := strings.Cut(location, "/")
	from := m.pool.at(address)
	if !found || from == nil || from == m {
		return 0, now, false
	}
	from.mutex.Lock()
	defer from.mutex.Unlock()
	from.expireHandles(now)
	source := from.handles[name]
	if source == nil || from.misbehaviour.silent || from.lifetime.Err() != nil {
		return 0, now, false
	}
	duration := m.config.TransferSetup +
		time.Duration(float64(source.tokens)*m.config.TokenBytes*8/(m.config.LinkMegabits*1e6)*float64(time.Second))
	if from.Zone != m.Zone {
		duration *= 2
	}
	duration = time.Duration(float64(duration) * max(1, m.misbehaviour.transferSlowdown, from.misbehaviour.transferSlowdown))
	start := now
	for _, free := range []time.Time{from.linkFreeAt, m.linkFreeAt} {
		if free.After(start) {
			start = free
		}
	}
	if start.Sub(now) > 2*time.Second {
		return 0, now, false
	}
	from.linkFreeAt, m.linkFreeAt = start.Add(duration), start.Add(duration)
	delete(from.handles, name)
	from.engine.cache.unpin(source.pinned)
	m.pool.events.Append(Event{
		Kind:      HandleTaken,
		Server:    m.ID,
		Handle:    name,
		AttemptID: attempt,
		Request:   source.attemptID,
		Tokens:    source.tokens,
	})
	return source.tokens, start.Add(duration), true
}

// expireHandles removes expired handles.
func (m *modelServer) expireHandles(now time.Time) {
	for name, entry := range m.handles {
		if m.misbehaviour.handlesExpire || now.After(entry.expires) {
			delete(m.handles, name)
			m.engine.cache.unpin(entry.pinned)
			m.pool.events.Append(Event{Kind: HandleExpired, Server: m.ID, Handle: name, AttemptID: entry.attemptID, Tokens: entry.tokens})
		}
	}
}

// serveFreeHandle frees a handle that the caller will not use.
func (m *modelServer) serveFreeHandle(writer http.ResponseWriter, inbound *http.Request) {
	name := pat.Param(inbound, "handle")
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.expireHandles(time.Now())
	freed := m.handles[name]
	if freed == nil {
		writer.WriteHeader(http.StatusNotFound)
		return
	}
	delete(m.handles, name)
	m.engine.cache.unpin(freed.pinned)
	m.pool.events.Append(Event{Kind: HandleFreed, Server: m.ID, Handle: name, AttemptID: freed.attemptID, Tokens: freed.tokens})
	writer.WriteHeader(http.StatusOK)
}
