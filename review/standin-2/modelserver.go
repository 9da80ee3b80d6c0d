package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// handleTable holds the KV cache handles that the prefill servers of one fleet have given out and that no
// decode server has taken yet.
type handleTable struct {
	mutex sync.Mutex
	next  int
	held  map[string]bool
}

// give returns a new handle at an address. A handle that has lapsed at once can't be taken.
func (h *handleTable) give(address string, lapsed bool) string {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.next++
	handle := fmt.Sprintf("%012x", h.next)
	h.held[address+"/"+handle] = !lapsed
	return handle
}

// take takes a handle and reports whether it could be had.
func (h *handleTable) take(source string) bool {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	found := h.held[source]
	delete(h.held, source)
	return found
}

// modelServer is a model server of the platform as page PROTOCOL describes it.
type modelServer struct {
	id       string
	service  string
	address  string
	zone     string
	phase    string
	slots    int
	events   int
	reading  time.Duration
	pause    time.Duration
	handles  *handleTable
	record   *record
	listener net.Listener

	mutex sync.Mutex
	// running counts the requests at work, answers and repeated the answers that were sent and those of them that were
	// sent again.
	running, answers, repeated int
	// lapse reports whether the handle of the next prefill lapses at once; repeat reports whether the answer that
	// turns a request away is sent a second time, late, in the place where the next answer on the connection
	// should come.
	lapse  func() bool
	repeat func() bool
	// full reports whether the server has no place for another request, and putBack for how long the request is put
	// back after its second event, because the memory has run out.
	full    func() bool
	putBack func() time.Duration
}

// serve accepts connections until the listener is closed.
func (m *modelServer) serve() {
	for {
		connection, err := m.listener.Accept()
		if err != nil {
			return
		}
		go m.serveConnection(connection)
	}
}

// serveConnection serves the requests of one connection, one at a time.
func (m *modelServer) serveConnection(connection net.Conn) {
	defer func() { _ = connection.Close() }()
	reader := bufio.NewReader(connection)
	extra := ""
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		if extra != "" {
			m.record.add("server %s sends the extra answer, then handles %s", m.id, request.Header.Get("X-Attempt-Id"))
			if _, err := io.WriteString(connection, extra); err != nil {
				return
			}
			extra = ""
		}
		answer, again, alive := m.answer(connection, reader, request, len(body))
		if !alive {
			return
		}
		if again {
			extra = answer
		}
	}
}

// load returns the value of X-Server-Load.
func (m *modelServer) load() string {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.full() {
		return strconv.Itoa(m.slots) + ",20," + strconv.Itoa(m.slots)
	}
	return strconv.Itoa(m.running) + ",0," + strconv.Itoa(m.slots)
}

// mayRepeat reports whether one more answer may be sent again: at most 3 in 100 of the server's answers are.
func (m *modelServer) mayRepeat() bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if float64(m.repeated+1) > 0.03*float64(m.answers) {
		return false
	}
	m.repeated++
	return true
}

// write sends a complete answer with a body.
func (m *modelServer) write(connection net.Conn, id string, status int, headers, body string) (string, bool) {
	text := fmt.Sprintf("HTTP/1.1 %d %s\r\nX-Attempt-Id: %s\r\nX-Server-Seal: %s.%s\r\nX-Weight-Revisions: 1\r\nX-Server-Load: %s\r\n"+
		"Content-Type: application/json\r\nContent-Length: %d\r\n%s\r\n%s",
		status, http.StatusText(status), id, m.id, id, m.load(), len(body), headers, body)
	m.mutex.Lock()
	m.answers++
	m.mutex.Unlock()
	_, err := io.WriteString(connection, text)
	return text, err == nil
}

// answer answers one request. The results are the text of the answer, whether it is to be sent again late, and
// whether the connection can be used further.
func (m *modelServer) answer(connection net.Conn, reader *bufio.Reader, request *http.Request, size int) (text string, again, alive bool) {
	id := request.Header.Get("X-Attempt-Id")
	target := request.Header.Get("X-Target-Server")
	if target != "" && target != m.id {
		text, alive = m.write(connection, id, http.StatusMisdirectedRequest, "X-Server-Id: "+m.id+"\r\n", "")
		return text, false, alive
	}
	switch {
	case request.URL.Path == "/health":
		text, alive = m.write(connection, id, http.StatusOK, "X-Server-Id: "+m.id+"\r\n", "")
		return text, false, alive
	case request.URL.Path == "/report":
		m.mutex.Lock()
		running, queued := m.running, 0
		m.mutex.Unlock()
		if m.full() {
			running, queued = m.slots, 20
		}
		text, alive = m.write(connection, id, http.StatusOK, "", fmt.Sprintf(`{"phase":"%s","modelIds":[{"name":"m","revision":1,"adapterIds":[]}],`+
			`"utilization":false,"callSeq":0,"queued":%d,"active":%d,"kvUsed":0,"kvTotal":295740,"openHandles":0}`, m.phase, queued, running))
		return text, false, alive
	case request.URL.Path == "/order":
		text, alive = m.write(connection, id, http.StatusConflict, "", "")
		return text, false, alive
	case strings.HasPrefix(request.URL.Path, "/kv-handle/"):
		m.handles.take(m.address + "/" + strings.TrimPrefix(request.URL.Path, "/kv-handle/"))
		text, alive = m.write(connection, id, http.StatusOK, "", "")
		return text, false, alive
	}
	prefill := request.Header.Get("X-Work-Phase") == "prefill"
	if prefill != (m.phase == "prefill") {
		text, alive = m.write(connection, id, http.StatusMisdirectedRequest, "X-Server-Id: "+m.id+"\r\n", "")
		return text, false, alive
	}
	if prefill {
		handle := m.handles.give(m.address, m.lapse())
		text, alive = m.write(connection, id, http.StatusOK, "", `{"prefillHandle":"`+handle+`","tokenCount":800,"revision":1}`)
		return text, false, alive
	}
	if m.full() {
		m.record.add("server %s turns %s away, not run: full", m.id, id)
		text, alive = m.write(connection, id, http.StatusServiceUnavailable, "X-Not-Executed: 1\r\n", "")
		return text, false, alive
	}
	if source := request.Header.Get("X-Kv-Source"); source != "" && !m.handles.take(source) {
		again = m.repeat() && m.mayRepeat()
		m.record.add("server %s turns %s away, not run: the handle can't be had (answer repeated late: %t)", m.id, id, again)
		text, alive = m.write(connection, id, http.StatusServiceUnavailable, "X-Not-Executed: 1\r\n", "")
		return text, again, alive
	}
	return "", false, m.run(connection, reader, request, id, size)
}

// left reports whether the caller has closed the connection.
func left(connection net.Conn, reader *bufio.Reader) bool {
	_ = connection.SetReadDeadline(time.Now().Add(time.Millisecond))
	_, err := reader.Peek(1)
	_ = connection.SetReadDeadline(time.Time{})
	var timeout net.Error
	return err != nil && !(errors.As(err, &timeout) && timeout.Timeout())
}

// run reads the prompt of a request and streams its events. The request runs from its first event on. A request
// whose connection closes is dropped.
func (m *modelServer) run(connection net.Conn, reader *bufio.Reader, request *http.Request, id string, size int) bool {
	m.mutex.Lock()
	m.running++
	m.answers++
	m.mutex.Unlock()
	defer func() {
		m.mutex.Lock()
		m.running--
		m.mutex.Unlock()
	}()
	time.Sleep(m.reading)
	if left(connection, reader) {
		m.record.add("server %s drops %s, not run: its connection is closed", m.id, id)
		return false
	}
	m.record.ran(id, m.id)
	m.record.add("server %s runs %s %s %s (%d bytes)", m.id, id, request.Method, request.RequestURI, size)
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Server-Seal: %s.%s\r\nX-Weight-Revisions: 1\r\nX-Server-Load: %s\r\n"+
		"Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", id, m.id, id, m.load())
	for event := 1; event <= m.events; event++ {
		if event > 1 {
			time.Sleep(m.pause)
		}
		if wait := m.putBack(); event == 3 && wait > 0 {
			m.record.add("server %s puts %s back for %v: its memory has run out", m.id, id, wait)
			time.Sleep(wait)
		}
		text := fmt.Sprintf("id: %d\ndata: %s piece %d\n\n", event, id, event)
		if _, err := fmt.Fprintf(connection, "%s%x\r\n%s\r\n", head, len(text), text); err != nil {
			m.record.add("server %s, still at work on %s, finds its connection closed", m.id, id)
			return false
		}
		head = ""
	}
	_, err := io.WriteString(connection, "0\r\n\r\n")
	return err == nil
}
