package proxy

import (
	"bytes"
	"context"
	"io"
	"maps"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/valyala/fastjson"

	"seamloom.example/seamloom/internal/config"
	"seamloom.example/seamloom/internal/membership"
	"seamloom.example/seamloom/internal/scheduler"
)

// The bounds of answers. The values are ours.
const (
	// mostKept bounds a failing answer that is kept to be forwarded, and an answer
	// that is forwarded only when all of it is there.
	mostKept = 1 << 20
	// mostEvent bounds one event of a stream.
	mostEvent = 4 << 20
	// mostReadAnswer bounds the answer that names a prompt's memory.
	mostReadAnswer = 64 << 10
	// endsMargin is how much longer than a call's end a server's own word is waited
	// for, which tells more than ours.
	endsMargin = 60 * time.Millisecond
	// freePatience is how long giving a handle back may take.
	freePatience = time.Second
	copyBuffer   = 16 << 10
)

// exchange is one call between its origin and the servers.
type exchange struct {
	intake  *Intake
	writer  http.ResponseWriter
	inbound *http.Request
	call    *scheduler.Call
	began   time.Time
	// target, header and body are the call as it goes on.
	target string
	header http.Header
	body   []byte

	// reader is the server that read the prompt last.
	reader membership.Server
	kept   *answer
	// begun tells that something of an answer was forwarded, lastEvent is the id of
	// the last event that was.
	begun     atomic.Bool
	lastEvent string
	// ending is how the call ended; cut at first, so that no answer is made up.
	ending ending
}

// answer is a failing answer that is kept to be forwarded.
type answer struct {
	status int
	header http.Header
	body   []byte
}

// dispatch is one sending of the call to one server.
type dispatch struct {
	exchange *exchange
	decision scheduler.Decision
	line     *line
	response *http.Response
	lifetime context.Context
	cancel   context.CancelFunc
	timer    *time.Timer
	// until is the decision's end by the runtime's own clock, which costs no call to
	// the kernel.
	until   time.Time
	outcome scheduler.Outcome
}

// send sends the call and waits for the head of the answer. When false is given, the
// dispatch is over and its outcome is set.
func (e *exchange) send(decision scheduler.Decision, change func(header http.Header)) (*dispatch, bool) {
	words := &e.intake.words
	lifetime, cancel := context.WithCancel(e.inbound.Context())
	sent := &dispatch{exchange: e, decision: decision, lifetime: lifetime, cancel: cancel,
		until: time.Now().Add(decision.Deadline.Sub(e.intake.now()))}
	patience := sent.left()
	if decision.ResponseTimeout > 0 {
		patience = min(patience, decision.ResponseTimeout)
	}
	sent.timer = time.AfterFunc(patience, sent.expire)
	l, err := e.intake.connections.take(lifetime, decision.Server, sent.until)
	if err != nil {
		return sent, sent.fail(scheduler.Unreachable)
	}
	sent.line = l
	header := maps.Clone(e.header)
	header[words.Target] = []string{decision.Server.Name}
	if decision.Priority >= 0 {
		header[words.Urgency] = []string{strconv.Itoa(decision.Priority)}
	}
	change(header)
	left := max(1, time.Until(sent.until).Milliseconds())
	header[words.Limit] = []string{strconv.FormatInt(left, 10)}
	outbound := (&http.Request{Method: e.inbound.Method, URL: &url.URL{Scheme: "http", Host: decision.Server.Address, Opaque: e.target},
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1, Header: header, Host: e.inbound.Host,
		Body: http.NoBody, ContentLength: int64(len(e.body))}).WithContext(lifetime)
	if len(e.body) > 0 {
		outbound.Body = io.NopCloser(bytes.NewReader(e.body))
	}
	if strings.HasPrefix(e.target, "//") {
		// An opaque part with two slashes would be sent in the absolute form.
		path, query, asked := strings.Cut(e.target, "?")
		outbound.URL = &url.URL{Scheme: "http", Host: decision.Server.Address, Path: e.inbound.URL.Path, RawPath: path, RawQuery: query, ForceQuery: asked}
	}
	sent.response, err = l.client.RoundTrip(outbound)
	if err != nil {
		wrote, heard := l.connection.end()
		switch {
		case !wrote:
			return sent, sent.fail(scheduler.Unreachable)
		case heard && lifetime.Err() == nil:
			return sent, sent.fail(scheduler.Malformed)
		}
		return sent, sent.fail(scheduler.TimedOut)
	}
	return sent, sent.readHead()
}

// expire ends a dispatch that takes too long. An origin that takes too long to read is
// not waited for either.
func (d *dispatch) expire() {
	d.cancel()
	if d.exchange.begun.Load() && !time.Now().Before(d.until) {
		_ = http.NewResponseController(d.exchange.writer).SetWriteDeadline(time.Now())
	}
}

// fail ends a dispatch whose answer can't be used; the connection goes with it.
func (d *dispatch) fail(result scheduler.Result) bool {
	if d.exchange.inbound.Context().Err() != nil {
		result = scheduler.ClientGone
	}
	if result == scheduler.ClientGone {
		d.exchange.ending = left
	}
	d.note(result)
	d.cancel()
	if d.line != nil {
		d.line.close()
	}
	if d.response != nil {
		_ = d.response.Body.Close()
	}
	return false
}

// note keeps the result of a dispatch that is over.
func (d *dispatch) note(result scheduler.Result) {
	d.outcome.Result = result
	d.timer.Stop()
	d.exchange.intake.meter.dispatched(d.decision.Kind, result)
}

// finish ends a dispatch whose answer was read to its end.
func (d *dispatch) finish(result scheduler.Result) {
	d.note(result)
	_ = d.response.Body.Close()
	if result == scheduler.Misdirected || d.response.Close {
		d.line.close()
	} else {
		d.outcome.KeepAlive = readRests(d.response.Header)
		d.exchange.intake.connections.give(d.line, d.outcome.KeepAlive)
	}
	d.cancel()
}

// readHead judges the head of an answer: whose it is, and whether it is a success. An
// answer with another call's id belongs to that one.
func (d *dispatch) readHead() bool {
	e, response := d.exchange, d.response
	words := &e.intake.words
	success := response.StatusCode >= 200 && response.StatusCode < 300
	if response.StatusCode < 200 || response.StatusCode > 599 {
		return d.fail(scheduler.Malformed)
	}
	if id, found := response.Header[words.ID]; found && (len(id) != 1 || id[0] != e.call.ID) || !found && success && e.call.ID != "" {
		return d.fail(scheduler.Malformed)
	}
	d.outcome.Status = response.StatusCode
	if load := response.Header[words.Load]; len(load) == 1 {
		d.outcome.Load = readLoad(load[0])
	}
	if warming := response.Header[words.Warming]; len(warming) == 1 {
		if count, err := readCount(warming[0]); err == nil {
			d.outcome.Warming = time.Duration(count) * time.Millisecond
		}
	}
	if success {
		return true
	}
	body, err := readBounded(response.Body, response.ContentLength, mostKept)
	if err != nil {
		return d.fail(scheduler.TimedOut)
	}
	d.outcome.FirstByte = e.intake.now()
	result := scheduler.ErrorResponse
	switch _, never := response.Header[words.NotStarted]; {
	case response.StatusCode == http.StatusMisdirectedRequest:
		result = scheduler.Misdirected
	case never:
		result = scheduler.NotStarted
	}
	if result == scheduler.ErrorResponse && promises(response.StatusCode) {
		// The status would promise what the server did not: it goes no further.
		e.kept = nil
	} else {
		e.kept = &answer{status: response.StatusCode, header: response.Header, body: body}
	}
	d.finish(result)
	return false
}

// promises tells whether a status says that a call has not run and never will.
func promises(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

var errOversize = io.ErrShortBuffer

// readBounded reads a whole body.
func readBounded(body io.Reader, length int64, most int) ([]byte, error) {
	if length > int64(most) {
		return nil, errOversize
	}
	if length < 0 {
		length = 511
	}
	content := make([]byte, 0, length+1)
	for {
		if len(content) == cap(content) {
			if len(content) > most {
				return content, errOversize
			}
			content = append(content, 0)[:len(content)]
		}
		read, err := body.Read(content[len(content):cap(content)])
		content = content[:len(content)+read]
		if err == io.EOF {
			return content, nil
		}
		if err != nil {
			return content, err
		}
	}
}

// Read has a server read the prompt.
func (e *exchange) Read(decision scheduler.Decision) scheduler.Outcome {
	words := &e.intake.words
	e.reader = decision.Server
	sent, success := e.send(decision, func(header http.Header) {
		header[words.Stage] = []string{words.StageRead}
	})
	if !success {
		return sent.outcome
	}
	body, err := readBounded(sent.response.Body, sent.response.ContentLength, mostReadAnswer)
	if err != nil {
		sent.fail(scheduler.TimedOut)
		return sent.outcome
	}
	handle := fastjson.GetString(body, words.HandleField)
	if handle == "" || strings.ContainsAny(handle, "/?#% \r\n") {
		sent.fail(scheduler.Malformed)
		return sent.outcome
	}
	sent.outcome.FirstByte = e.intake.now()
	sent.outcome.Handle = handle
	sent.finish(scheduler.Complete)
	return sent.outcome
}

// Run has a server make the answer, which is forwarded.
func (e *exchange) Run(route *config.CallRoute, decision scheduler.Decision, began func()) scheduler.Outcome {
	words := &e.intake.words
	if e.begun.Load() && e.lastEvent == "" {
		// Nothing tells where to go on.
		return scheduler.Outcome{Result: scheduler.Interrupted}
	}
	sent, success := e.send(decision, func(header http.Header) {
		if decision.Source != nil {
			header[words.Source] = []string{decision.Source.Address + "/" + decision.Source.Handle}
		}
		if e.lastEvent != "" {
			header[lastEventHeader] = []string{e.lastEvent}
		}
	})
	if !success {
		return sent.outcome
	}
	if strings.HasPrefix(sent.response.Header.Get("Content-Type"), "text/event-stream") {
		sent.passEvents(route, began)
		return sent.outcome
	}
	if e.begun.Load() {
		sent.fail(scheduler.Malformed)
		return sent.outcome
	}
	sent.passWhole()
	return sent.outcome
}

const lastEventHeader = "Last-Event-Id"

// extend has the dispatch go on to the call's end, now that its server speaks.
func (d *dispatch) extend() { d.timer.Reset(d.left()) }

// left is how long the dispatch may go on at the most.
func (d *dispatch) left() time.Duration {
	return time.Until(d.until) + endsMargin
}

// passHead gives the origin the status and the end-to-end headers of an answer.
func (e *exchange) passHead(response *http.Response) {
	header := e.writer.Header()
	copyEndToEnd(header, response.Header)
	if response.ContentLength >= 0 {
		header["Content-Length"] = []string{strconv.FormatInt(response.ContentLength, 10)}
	}
	e.begun.Store(true)
	e.ending = served
	e.intake.meter.first.UpdateDuration(e.began)
	e.writer.WriteHeader(response.StatusCode)
}
