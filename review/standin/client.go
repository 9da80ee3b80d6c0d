package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// post sends a change of the configuration and follows redirects twice.
func post(address string, base int, text []byte) (int, error) {
	client := http.Client{Timeout: 2 * time.Second, CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }}
	for range 3 {
		request, err := http.NewRequest(http.MethodPost, address, bytes.NewReader(text))
		if err != nil {
			return 0, err
		}
		request.Header.Set("X-Base-Revision", strconv.Itoa(base))
		request.Header.Set("Content-Type", "application/json")
		response, err := client.Do(request)
		if err != nil {
			return 0, err
		}
		_ = response.Body.Close()
		if response.StatusCode != http.StatusTemporaryRedirect {
			return response.StatusCode, nil
		}
		address = response.Header.Get("Location")
	}
	return 0, fmt.Errorf("too many redirects")
}

// readConfiguration asks a node for the configuration and follows redirects twice. It returns the revision, or
// zero if the node gives none.
func (f *fleet) readConfiguration(m *machine) (status, revision int) {
	address := "http://" + net.JoinHostPort(m.ip, strconv.Itoa(f.ports.control)) + "/Config.Read"
	client := http.Client{Timeout: time.Second}
	response, err := client.Get(address)
	if err != nil {
		return 0, 0
	}
	defer func() { _ = response.Body.Close() }()
	var read struct{ Revision int }
	if response.StatusCode == http.StatusOK && json.NewDecoder(response.Body).Decode(&read) != nil {
		return response.StatusCode, 0
	}
	return response.StatusCode, read.Revision
}

// answer is what a client saw of the answer to one request.
type answer struct {
	status int
	seal   string
	// lastPiece is the number of the last whole event; partial is the text after it.
	lastPiece int
	inOrder   bool
	partial   string
	// complete is true if the answer ended as HTTP says that a whole answer ends.
	complete bool
	err      error
}

// String describes the answer for the record.
func (a answer) String() string {
	return fmt.Sprintf("status %d, seal %q, whole events 1 to %d, in order %v, text after them %q, complete %v, error %v",
		a.status, a.seal, a.lastPiece, a.inOrder, a.partial, a.complete, a.err)
}

// ask sends one streaming request on a connection of its own and reads its answer to the end. The answer is
// complete if its last chunk, or the number of bytes that its head tells, has arrived.
func (f *fleet) ask(m *machine, host, path, id string, prompt, pieces int, deadline time.Duration) answer {
	connection, err := net.DialTimeout("tcp", net.JoinHostPort(m.ip, strconv.Itoa(f.ports.front)), time.Second)
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = connection.Close() }()
	_ = connection.SetDeadline(time.Now().Add(deadline))
	body := strings.Repeat("p", 2*prompt)
	_, err = fmt.Fprintf(connection, "POST %s HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nX-Model: m\r\nX-Token-Count: %d,%d\r\n"+
		"X-Prompt-Prefix: 5c1e07a2:%d,%s:%d\r\nX-Deadline-Ms: %d\r\nContent-Type: text/plain\r\nContent-Length: %d\r\n\r\n%s",
		path, host, id, prompt, pieces, prompt/2, id[:8], prompt-prompt/2, deadline.Milliseconds(), len(body), body)
	if err != nil {
		return answer{err: err}
	}
	response, err := http.ReadResponse(bufio.NewReader(connection), nil)
	if err != nil {
		return answer{err: err}
	}
	result := answer{status: response.StatusCode, seal: response.Header.Get("X-Server-Seal"), inOrder: true}
	text, err := io.ReadAll(response.Body)
	framed := response.ContentLength >= 0 || len(response.TransferEncoding) > 0
	result.complete, result.err = err == nil && framed, err
	events := strings.Split(string(text), "\n\n")
	for _, event := range events[:len(events)-1] {
		number := 0
		_, _ = fmt.Sscanf(event, "id: %d", &number)
		result.inOrder = result.inOrder && number == result.lastPiece+1
		result.lastPiece = number
	}
	result.partial = events[len(events)-1]
	return result
}
