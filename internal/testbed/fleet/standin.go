package fleet

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/google/uuid"
	"goji.io"
	"goji.io/pat"

	"seamloom.example/seamloom/internal/adapters/modelserver"
	"seamloom.example/seamloom/internal/adapters/osruntime"
	"seamloom.example/seamloom/internal/failure"
	"seamloom.example/seamloom/internal/runtime"
)

// StandIn is a model server for tests behind HTTP.
type StandIn struct {
	*Engine
	address  string
	client   *http.Client
	runtime  runtime.Runtime
	lifetime context.Context
	end      context.CancelFunc
	server   *http.Server
}

// StartStandIn begins a stand-in at an address; an empty one means any port.
func StartStandIn(plan ServerPlan, address string, events *EventLog) (*StandIn, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, failure.Wrap(failure.Unreachable, err)
	}
	standIn := &StandIn{address: listener.Addr().String(), client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 32}}}
	standIn.lifetime, standIn.end = context.WithCancel(context.Background())
	standIn.runtime = osruntime.New(standIn.lifetime, osruntime.NewClock())
	standIn.Engine = NewEngine(plan, events, standIn.runtime, uuid.NewString, standIn.fetchMemory)
	mux := goji.NewMux()
	mux.HandleFunc(pat.Get("/v1/load"),
		func(writer http.ResponseWriter, _ *http.Request) { writeJSON(writer, http.StatusOK, standIn.Load()) })
	mux.HandleFunc(pat.Post("/v1/prefill"),
		takes(standIn, func(connection *Connection, order modelserver.PrefillRequest, writer http.ResponseWriter) {
			status, content := standIn.Prefill(connection, order)
			writeJSON(writer, status, content)
		}))
	mux.HandleFunc(pat.Post("/v1/decode"), takes(standIn, standIn.decode))
	mux.HandleFunc(pat.Post("/v1/memory"),
		takes(standIn, func(_ *Connection, question MemoryQuestion, writer http.ResponseWriter) {
			status, content := standIn.GiveMemory(question)
			writeJSON(writer, status, content)
		}))
	mux.HandleFunc(pat.Post("/v1/cancel"),
		takes(standIn, func(_ *Connection, order modelserver.CancelRequest, writer http.ResponseWriter) {
			standIn.Cancel(order)
			writeJSON(writer, http.StatusOK, map[string]bool{"cancelled": true})
		}))
	mux.HandleFunc(pat.Post("/v1/part"),
		takes(standIn, func(_ *Connection, order modelserver.PartRequest, writer http.ResponseWriter) {
			status, content := standIn.TakePart(order)
			writeJSON(writer, status, content)
		}))
	standIn.server = &http.Server{Handler: standIn.silenceWhileDark(mux), BaseContext: func(net.Listener) context.Context { return standIn.lifetime }}
	go func() { _ = standIn.server.Serve(listener) }()
	return standIn, nil
}

// takes reads an order whole before anything is done for it.
func takes[Order any](
	standIn *StandIn,
	act func(connection *Connection, order Order, writer http.ResponseWriter),
) http.HandlerFunc {
	return func(writer http.ResponseWriter, inbound *http.Request) {
		var order Order
		content, err := io.ReadAll(inbound.Body)
		if err != nil || json.Unmarshal(content, &order) != nil {
			writeJSON(writer, http.StatusBadRequest, Refusal{Type: "malformed"})
			return
		}
		conn := NewConnection(standIn.runtime)
		stop := context.AfterFunc(inbound.Context(), conn.Close)
		defer stop()
		act(conn, order, writer)
	}
}

// Address is where the stand-in listens.
func (s *StandIn) Address() string { return s.address }

// Crash ends the stand-in at once, with all its memory.
func (s *StandIn) Crash() {
	s.Die()
	s.end()
	_ = s.server.Close()
	s.client.CloseIdleConnections()
}

// silenceWhileDark leaves every call without an answer while the server is dark. What was
// dark when it came is never done.
func (s *StandIn) silenceWhileDark(next http.Handler) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, inbound *http.Request) {
		if s.Dark() {
			// The body is read so that the closing of the connection is noticed.
			_, _ = io.Copy(io.Discard, inbound.Body)
			<-inbound.Context().Done()
			return
		}
		next.ServeHTTP(writer, inbound)
	})
}

func writeJSON(writer http.ResponseWriter, status int, content any) {
	writer.Header().Set("Content-Type", "application/json")
	writer.WriteHeader(status)
	_ = json.NewEncoder(writer).Encode(content)
}

// sleep waits for a length of time; false means it was broken off.
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

func (s *StandIn) decode(connection *Connection, order modelserver.DecodeRequest, writer http.ResponseWriter) {
	flusher := http.NewResponseController(writer)
	encoder := json.NewEncoder(writer)
	status, content := s.Decode(connection, order, func(line modelserver.DecodeChunk) error {
		if line.Chunk == 1 {
			writer.Header().Set("Content-Type", "application/jsonl")
		}
		if err := encoder.Encode(line); err != nil {
			return err
		}
		return flusher.Flush()
	})
	if content != nil {
		writeJSON(writer, status, content)
	}
}

// fetchMemory takes a prompt's memory over from the server that read the
// prompt.
func (s *StandIn) fetchMemory(_ *Connection, address string, question MemoryQuestion) (MemoryAnswer, int) {
	body, err := json.Marshal(question)
	if err != nil {
		return MemoryAnswer{}, http.StatusBadRequest
	}
	asking, end := context.WithTimeout(s.lifetime, 2*time.Second)
	defer end()
	outbound, err := http.NewRequestWithContext(asking, http.MethodPost, "http://"+address+"/v1/memory",
		bytes.NewReader(body))
	if err != nil {
		return MemoryAnswer{}, http.StatusBadRequest
	}
	inbound, err := s.client.Do(outbound)
	if err != nil {
		return MemoryAnswer{}, http.StatusBadGateway
	}
	defer func() { _ = inbound.Body.Close() }()
	var given MemoryAnswer
	if inbound.StatusCode == http.StatusOK && json.NewDecoder(inbound.Body).Decode(&given) != nil {
		return given, http.StatusBadGateway
	}
	return given, inbound.StatusCode
}
