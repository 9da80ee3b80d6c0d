package proxy

import (
	"context"
	"errors"
	"net/http"
	"net/url"
	"strings"
	"sync"
	"time"

	"seamloom.example/seamloom/internal/config"
	"seamloom.example/seamloom/internal/dataplane"
	"seamloom.example/seamloom/internal/membership"
	"seamloom.example/seamloom/internal/scheduler"
)

// The limits that hold when the configuration has none. The values are ours.
const (
	defaultHeaderBytes    = 64 << 10
	defaultBodyBytes      = 16 << 20
	defaultHeaderPatience = 5 * time.Second
	defaultIdlePatience   = 60 * time.Second
	// dismissedRetry is after how many seconds a call may come back that crossed the
	// end of its connection: a new connection serves it at once.
	dismissedRetry = "0.010"
)

// Conduct serves one call from its arrival to its end.
type Conduct interface {
	Serve(call *scheduler.Call, e dataplane.Exchange)
	// Limits bound what an origin may send.
	Limits() config.Limits
	// Ready tells whether calls are welcome, Leaving that connections are to end with the
	// answer under way.
	Ready() bool
	Leaving() bool
}

// Intake takes calls from their origins.
type Intake struct {
	words       Words
	connections *Connections
	conduct     Conduct
	now         func() time.Time
	lifetime    context.Context
	buffers     sync.Pool
	meter       *meter
}

// NewIntake makes the handler of opaque calls.
func NewIntake(lifetime context.Context, words Words, connections *Connections, conduct Conduct, now func() time.Time) (*Intake, error) {
	if err := words.Check(); err != nil {
		return nil, err
	}
	intake := &Intake{words: words, connections: connections, conduct: conduct, now: now, lifetime: lifetime, meter: newMeter(connections)}
	intake.buffers.New = func() any { buffer := make([]byte, copyBuffer); return &buffer }
	return intake, nil
}

// limits are the bounds in force, with defaults for what nobody said.
func (i *Intake) limits() config.Limits {
	limits := i.conduct.Limits()
	if limits.HeaderBytes == 0 {
		limits.HeaderBytes = defaultHeaderBytes
	}
	if limits.BodyBytes == 0 {
		limits.BodyBytes = defaultBodyBytes
	}
	if limits.HeaderPatience == 0 {
		limits.HeaderPatience = defaultHeaderPatience
	}
	if limits.IdlePatience == 0 {
		limits.IdlePatience = defaultIdlePatience
	}
	return limits
}

// ServeHTTP serves one call.
func (i *Intake) ServeHTTP(writer http.ResponseWriter, inbound *http.Request) {
	began := time.Now()
	how := i.serve(writer, inbound, began)
	i.meter.ended(how, time.Since(began))
	if how == cut || how == left {
		// Returning would look like an answer.
		panic(http.ErrAbortHandler)
	}
}

func (i *Intake) serve(writer http.ResponseWriter, inbound *http.Request, began time.Time) ending {
	arrived := i.now()
	words := &i.words
	limits := i.limits()
	id := inbound.Header.Get(words.ID)
	if headerBytes(inbound) > limits.HeaderBytes {
		refuse(writer, words.ID, id, http.StatusRequestHeaderFieldsTooLarge, oversize)
		return oversize
	}
	if inbound.ContentLength > int64(limits.BodyBytes) {
		writer.Header()["Connection"] = []string{"close"}
		refuse(writer, words.ID, id, http.StatusRequestEntityTooLarge, oversize)
		return oversize
	}
	body, err := readBounded(http.MaxBytesReader(writer, inbound.Body, int64(limits.BodyBytes)), inbound.ContentLength, limits.BodyBytes)
	if !admit(inbound) {
		writer.Header()["Connection"] = []string{"close"}
		writer.Header()["Retry-After"] = []string{dismissedRetry}
		refuse(writer, words.ID, id, http.StatusServiceUnavailable, dismissed)
		return dismissed
	}
	if err != nil {
		var tooLarge *http.MaxBytesError
		switch {
		case errors.As(err, &tooLarge) || err == errOversize:
			refuse(writer, words.ID, id, http.StatusRequestEntityTooLarge, oversize)
			return oversize
		case inbound.Context().Err() != nil:
			return left
		}
		writer.Header()["Connection"] = []string{"close"}
		refuse(writer, words.ID, id, http.StatusBadRequest, malformed)
		return malformed
	}
	call := &scheduler.Call{ID: id, Host: inbound.Host, Model: inbound.Header.Get(words.Model),
		Segments: readParts(inbound.Header.Get(words.Parts)), Bytes: len(body), Resumes: inbound.Header.Get(lastEventHeader) != ""}
	target := inbound.RequestURI
	if !strings.HasPrefix(target, "/") {
		target = inbound.URL.RequestURI()
	}
	call.Path, _, _ = strings.Cut(target, "?")
	call.PromptTokens, call.OutputTokens = readTokens(inbound.Header.Get(words.Tokens))
	if left, err := readCount(inbound.Header.Get(words.Limit)); err == nil {
		call.Deadline = arrived.Add(time.Duration(left) * time.Millisecond)
	}
	header := make(http.Header, len(inbound.Header)+4)
	copyEndToEnd(header, inbound.Header, words.ID, words.Limit, words.Model, words.Tokens, words.Parts)
	// These are for a router to say, whatever an origin sent.
	for _, ours := range [...]string{words.Target, words.Stage, words.Source, words.Urgency, "Expect"} {
		delete(header, ours)
	}
	if _, found := header["User-Agent"]; !found {
		header["User-Agent"] = nil
	}
	e := &exchange{intake: i, writer: writer, inbound: inbound, began: began, call: call, target: target, header: header, body: body, ending: cut}
	i.conduct.Serve(call, e)
	return e.ending
}

// headerBytes is about what a head took on the wire.
func headerBytes(inbound *http.Request) int {
	count := len(inbound.Method) + len(inbound.RequestURI) + len(inbound.Host) + len(" HTTP/1.1\r\nHost: \r\n\r\n")
	for name, values := range inbound.Header {
		for _, value := range values {
			count += len(name) + len(value) + 4
		}
	}
	return count
}

// free gives a prompt's memory back. That it fails is no harm: memory that nobody
// takes lapses.
func (i *Intake) free(server membership.Server, handle string) {
	lifetime, cancel := context.WithTimeout(i.lifetime, freePatience)
	defer cancel()
	l, err := i.connections.take(lifetime, server, time.Now().Add(freePatience))
	if err != nil {
		return
	}
	header := http.Header{"User-Agent": nil}
	if server.Name != "" {
		header[i.words.Target] = []string{server.Name}
	}
	outbound := (&http.Request{Method: http.MethodDelete, URL: &url.URL{Scheme: "http", Host: server.Address, Path: i.words.HandlePath + handle},
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1, Header: header, Host: server.Address, Body: http.NoBody}).WithContext(lifetime)
	response, err := l.client.RoundTrip(outbound)
	if err != nil {
		l.close()
		return
	}
	_, err = readBounded(response.Body, response.ContentLength, mostReadAnswer)
	_ = response.Body.Close()
	if err != nil || response.Close {
		l.close()
		return
	}
	i.connections.give(l, readRests(response.Header))
}
