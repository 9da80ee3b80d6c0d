package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

// modelServer is a model server of the platform: it answers prefills with a handle and runs with a stream of
// numbered pieces. Everything that it does is printed, a line for each event.
type modelServer struct {
	id, address, phase string
	// pause is the time between two pieces of a stream.
	pause time.Duration
	// unframed makes streams end with their connection instead of with a last chunk.
	unframed bool

	mutex   sync.Mutex
	handles map[string]time.Time
	count   int
	active  int
	orders  int
	// breakNext makes the next run that reaches its third piece stop in the middle of that piece.
	breakNext bool
}

// printLine prints one line of the server's record.
func printLine(format string, arguments ...any) {
	fmt.Printf(format+"\n", arguments...)
}

// runServer runs one model server until it is killed. It reads commands from standard input.
func runServer(arguments []string) {
	flags := flag.NewFlagSet("server", flag.ExitOnError)
	server := &modelServer{handles: map[string]time.Time{}}
	flags.StringVar(&server.id, "id", "i-1", "id of this life of the server")
	flags.StringVar(&server.address, "address", "", "address to listen on")
	flags.StringVar(&server.phase, "phase", "decode", "prefill or decode")
	flags.DurationVar(&server.pause, "pause", 40*time.Millisecond, "time between two pieces")
	flags.BoolVar(&server.unframed, "unframed", false, "streams end with their connection")
	if err := flags.Parse(arguments); err != nil {
		os.Exit(exitNotRun)
	}
	listener, err := net.Listen("tcp", server.address)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitNotRun)
	}
	go server.readCommands()
	printLine("listening %s", server.address)
	fmt.Fprintln(os.Stderr, (&http.Server{Handler: server}).Serve(listener))
	os.Exit(exitNotRun)
}

// readCommands reads commands, one a line, until the parent process ends.
func (m *modelServer) readCommands() {
	input := bufio.NewScanner(os.Stdin)
	for input.Scan() {
		if input.Text() == "break" {
			m.mutex.Lock()
			m.breakNext = true
			m.mutex.Unlock()
		}
	}
	os.Exit(exitHeld)
}

// ServeHTTP answers one request, as the page PROTOCOL describes it.
func (m *modelServer) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	body, err := io.ReadAll(request.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	writer.Header().Set("X-Server-Id", m.id)
	writer.Header().Set("X-Server-Load", m.load())
	writer.Header().Set("X-Weight-Revisions", "1")
	target := request.Header.Get("X-Target-Server")
	switch {
	case target != "" && target != m.id:
		m.refuse(writer, request, http.StatusMisdirectedRequest)
	case request.URL.Path == "/health":
		writer.WriteHeader(http.StatusOK)
	case request.URL.Path == "/report":
		m.report(writer)
	case request.URL.Path == "/order":
		m.order(writer, body)
	case strings.HasPrefix(request.URL.Path, "/kv-handle/"):
		m.freeHandle(writer, request)
	case request.Header.Get("X-Attempt-Id") == "":
		m.refuse(writer, request, http.StatusBadRequest)
	case request.Header.Get("X-Work-Phase") == "prefill":
		m.prefill(writer, request)
	default:
		m.run(writer, request)
	}
}

// load returns the server's load as it stands in its answers.
func (m *modelServer) load() string {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return strconv.Itoa(m.active) + ",0,64"
}

// refuse answers that the request has not run.
func (m *modelServer) refuse(writer http.ResponseWriter, request *http.Request, status int) {
	if id := request.Header.Get("X-Attempt-Id"); id != "" {
		writer.Header().Set("X-Attempt-Id", id)
	}
	writer.Header().Set("X-Not-Executed", "1")
	writer.Header().Set("Content-Length", "0")
	writer.WriteHeader(status)
	printLine("refused %s %d", request.Header.Get("X-Attempt-Id"), status)
}

// writeJSON answers with status 200 and a JSON body.
func writeJSON(writer http.ResponseWriter, content any) {
	text, err := json.Marshal(content)
	if err != nil {
		panic(err)
	}
	writer.Header().Set("Content-Type", "application/json")
	writer.Header().Set("Content-Length", strconv.Itoa(len(text)))
	_, _ = writer.Write(text)
}

// report answers with the state of the server.
func (m *modelServer) report(writer http.ResponseWriter) {
	m.mutex.Lock()
	report := map[string]any{
		"phase": m.phase, "modelIds": []any{map[string]any{"name": "m", "revision": 1, "adapterIds": []any{}}},
		"utilization": false, "callSeq": m.orders, "queued": 0, "active": m.active, "kvUsed": 1000 * m.active, "kvTotal": 319972,
		"openHandles": len(m.handles),
	}
	m.mutex.Unlock()
	writeJSON(writer, report)
}

// order answers an order. The phase that the server has already holds; any other is refused as though another
// order were under way, so that the fleet stays as it is.
func (m *modelServer) order(writer http.ResponseWriter, body []byte) {
	var order struct{ OpKind, Phase, Owner string }
	_ = json.Unmarshal(body, &order)
	printLine("order %s", body)
	if order.Phase == m.phase {
		writer.WriteHeader(http.StatusOK)
		return
	}
	writer.WriteHeader(http.StatusConflict)
}

// freeHandle frees or takes the memory of a handle.
func (m *modelServer) freeHandle(writer http.ResponseWriter, request *http.Request) {
	name := strings.TrimPrefix(request.URL.Path, "/kv-handle/")
	m.mutex.Lock()
	_, found := m.handles[name]
	delete(m.handles, name)
	m.mutex.Unlock()
	if !found {
		writer.WriteHeader(http.StatusNotFound)
		return
	}
	writer.WriteHeader(http.StatusOK)
}

// prefill reads a prompt and answers with its handle.
func (m *modelServer) prefill(writer http.ResponseWriter, request *http.Request) {
	if m.phase != "prefill" {
		m.refuse(writer, request, http.StatusMisdirectedRequest)
		return
	}
	time.Sleep(10 * time.Millisecond)
	m.mutex.Lock()
	m.count++
	name := fmt.Sprintf("%s%x", strings.TrimPrefix(m.id, "i-"), m.count)
	m.handles[name] = time.Now()
	m.mutex.Unlock()
	tokens, _, _ := strings.Cut(request.Header.Get("X-Token-Count"), ",")
	count, _ := strconv.Atoi(tokens)
	writer.Header().Set("X-Attempt-Id", request.Header.Get("X-Attempt-Id"))
	printLine("prefill %s", request.Header.Get("X-Attempt-Id"))
	writeJSON(writer, map[string]any{"prefillHandle": name, "tokenCount": count, "revision": 1})
}

// takeHandle takes the memory of a handle from the server that holds it.
func takeHandle(source string) bool {
	address, name, found := strings.Cut(source, "/")
	if !found {
		return false
	}
	request, err := http.NewRequest(http.MethodDelete, "http://"+address+"/kv-handle/"+name, nil)
	if err != nil {
		return false
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// run streams the pieces of an answer: as many as the second number of X-Token-Count says, less those up to
// Last-Event-Id.
func (m *modelServer) run(writer http.ResponseWriter, request *http.Request) {
	id := request.Header.Get("X-Attempt-Id")
	if m.phase != "decode" {
		m.refuse(writer, request, http.StatusMisdirectedRequest)
		return
	}
	if source := request.Header.Get("X-Kv-Source"); source != "" && !takeHandle(source) {
		m.refuse(writer, request, http.StatusServiceUnavailable)
		return
	}
	_, text, _ := strings.Cut(request.Header.Get("X-Token-Count"), ",")
	pieces, _ := strconv.Atoi(text)
	after, _ := strconv.Atoi(request.Header.Get("Last-Event-Id"))
	m.mutex.Lock()
	m.active++
	m.mutex.Unlock()
	defer func() {
		m.mutex.Lock()
		m.active--
		m.mutex.Unlock()
	}()
	printLine("run %s after %d", id, after)
	stream, err := m.newStream(writer, id)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer stream.close()
	for piece := after + 1; piece <= pieces; piece++ {
		select {
		case <-request.Context().Done():
			printLine("client left %s", id)
			return
		case <-time.After(m.pause):
		}
		event := fmt.Sprintf("id: %d\ndata: piece %d of %s %s\n\n", piece, piece, id, strings.Repeat("x", 40))
		m.mutex.Lock()
		breaks := m.breakNext && piece == 3
		if breaks {
			m.breakNext = false
		}
		m.mutex.Unlock()
		if breaks {
			// The server is killed here: half of the piece is on its way.
			stream.write(event[:len(event)/2])
			printLine("half %s piece %d of %d", id, piece, pieces)
			select {}
		}
		stream.write(event)
	}
	printLine("whole %s %d pieces", id, pieces)
}

// stream is the answer to one run.
type stream struct {
	write func(text string)
	close func()
}

// newStream begins the answer to a run: in chunks, or without a length where the server is unframed.
func (m *modelServer) newStream(writer http.ResponseWriter, id string) (*stream, error) {
	seal := "seal." + m.id + "." + id
	if !m.unframed {
		writer.Header().Set("Content-Type", "text/event-stream")
		writer.Header().Set("X-Attempt-Id", id)
		writer.Header().Set("X-Server-Seal", seal)
		control := http.NewResponseController(writer)
		return &stream{write: func(text string) {
			_, _ = io.WriteString(writer, text)
			_ = control.Flush()
		}, close: func() {}}, nil
	}
	connection, _, err := http.NewResponseController(writer).Hijack()
	if err != nil {
		return nil, err
	}
	var head bytes.Buffer
	head.WriteString("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nConnection: close\r\n")
	fmt.Fprintf(&head, "X-Attempt-Id: %s\r\nX-Server-Seal: %s\r\nX-Server-Load: %s\r\nX-Weight-Revisions: 1\r\n\r\n", id, seal, m.load())
	_, _ = connection.Write(head.Bytes())
	return &stream{write: func(text string) { _, _ = connection.Write([]byte(text)) }, close: func() { _ = connection.Close() }}, nil
}
