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

// StandIn is a simulated model server that is reached over HTTP.
type StandIn struct {
	*Engine
	address  string
	client   *http.Client
	runtime  runtime.Runtime
	lifetime context.Context
	end      context.CancelFunc
	server   *http.Server
}

// StartStandIn starts a stand-in server that listens on an address; port 0 means a free port.
func StartStandIn(plan ServerPlan, address string, events *EventLog) (*StandIn, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, failure.Wrap(failure.Unreachable, err)
	}
	standIn := &StandIn{
		address: listener.Addr().String(),
		client:  &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 32}},
	}
	standIn.lifetime, standIn.end = context.WithCancel(context.Background())
	standIn.runtime = osruntime.New(standIn.lifetime, osruntime.NewClock())
	standIn.Engine = NewEngine(plan, events, standIn.runtime, uuid.NewString, standIn.fetchMemory)
	mux := goji.NewMux()
	mux.HandleFunc(pat.Get("/v1/load"),
		func(writer http.ResponseWriter, _ *http.Request) { writeJSON(writer, http.StatusOK, standIn.Load()) })
	mux.HandleFunc(pat.Post("/v1/prefill"),
		requestHandler(standIn, func(connection *Connection, request modelserver.PrefillRequest, writer http.ResponseWriter) {
			status, content := standIn.Prefill(connection, request)
			writeJSON(writer, status, content)
		}))
	mux.HandleFunc(pat.Post("/v1/decode"), requestHandler(standIn, standIn.decode))
	mux.HandleFunc(pat.Post("/v1/memory"),
		requestHandler(standIn, func(_ *Connection, request MemoryRequest, writer http.ResponseWriter) {
			status, content := standIn.TransferMemory(request)
			writeJSON(writer, status, content)
		}))
	mux.HandleFunc(pat.Post("/v1/cancel"),
		requestHandler(standIn, func(_ *Connection, request modelserver.CancelRequest, writer http.ResponseWriter) {
			standIn.Cancel(request)
			writeJSON(writer, http.StatusOK, map[string]bool{"cancelled": true})
		}))
	mux.HandleFunc(pat.Post("/v1/part"),
		requestHandler(standIn, func(_ *Connection, request modelserver.RoleRequest, writer http.ResponseWriter) {
			status, content := standIn.TakeRole(request)
			writeJSON(writer, status, content)
		}))
	standIn.server = &http.Server{
		Handler:     standIn.blockCallsWhileUnresponsive(mux),
		BaseContext: func(net.Listener) context.Context { return standIn.lifetime },
	}
	go func() { _ = standIn.server.Serve(listener) }()
	return standIn, nil
}

// requestHandler returns an HTTP handler that reads and decodes a whole request before it calls handle. When
// the client disconnects, the HTTP handler closes the connection that it passed to handle.
func requestHandler[Request any](
	standIn *StandIn,
	handle func(connection *Connection, request Request, writer http.ResponseWriter),
) http.HandlerFunc {
	return func(writer http.ResponseWriter, inbound *http.Request) {
		var request Request
		content, err := io.ReadAll(inbound.Body)
		if err != nil || json.Unmarshal(content, &request) != nil {
			writeJSON(writer, http.StatusBadRequest, Refusal{Type: "malformed"})
			return
		}
		conn := NewConnection(standIn.runtime)
		stop := context.AfterFunc(inbound.Context(), conn.Close)
		defer stop()
		handle(conn, request, writer)
	}
}

// Address returns the address on which the stand-in listens.
func (s *StandIn) Address() string { return s.address }

// Crash stops the stand-in at once; all its memory is lost.
func (s *StandIn) Crash() {
	s.Die()
	s.end()
	_ = s.server.Close()
	s.client.CloseIdleConnections()
}

// blockCallsWhileUnresponsive returns a handler that passes calls to the next handler. While the server is
// unresponsive, it neither answers nor passes on a call that arrives.
func (s *StandIn) blockCallsWhileUnresponsive(next http.Handler) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, inbound *http.Request) {
		if s.Unresponsive() {
			// The HTTP server detects a closed connection only once the body was read.
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

// sleep waits for a length of time. It returns false if the lifetime ended first.
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

// decode responds to a decode request: with one JSON line for each chunk, or with a refusal.
func (s *StandIn) decode(connection *Connection, request modelserver.DecodeRequest, writer http.ResponseWriter) {
	flusher := http.NewResponseController(writer)
	encoder := json.NewEncoder(writer)
	status, content := s.Decode(connection, request, func(line modelserver.DecodeChunk) error {
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

// fetchMemory takes over a prompt's memory from the server that prefilled the prompt.
func (s *StandIn) fetchMemory(_ *Connection, address string, request MemoryRequest) (MemoryResponse, int) {
	body, err := json.Marshal(request)
	if err != nil {
		return MemoryResponse{}, http.StatusBadRequest
	}
	callLifetime, end := context.WithTimeout(s.lifetime, 2*time.Second)
	defer end()
	outbound, err := http.NewRequestWithContext(callLifetime, http.MethodPost, "http://"+address+"/v1/memory",
		bytes.NewReader(body))
	if err != nil {
		return MemoryResponse{}, http.StatusBadRequest
	}
	inbound, err := s.client.Do(outbound)
	if err != nil {
		return MemoryResponse{}, http.StatusBadGateway
	}
	defer func() { _ = inbound.Body.Close() }()
	var response MemoryResponse
	if inbound.StatusCode == http.StatusOK && json.NewDecoder(inbound.Body).Decode(&response) != nil {
		return response, http.StatusBadGateway
	}
	return response, inbound.StatusCode
}
