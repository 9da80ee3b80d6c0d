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
	// maxBufferedResponse bounds a failing answer that is kept to be forwarded, and an answer
	// that is forwarded only when all of it is there.
	maxBufferedResponse = 1 << 20
	// maxEventBytes bounds one event of a stream.
	maxEventBytes = 4 << 20
	// maxPrefillResponse bounds the answer that names a prompt's memory.
	maxPrefillResponse = 64 << 10
	// deadlineGrace is how much longer than a call's end a server's own word is waited
	// for, which tells more than ours.
	deadlineGrace = 60 * time.Millisecond
	// releaseTimeout is how long giving a handle back may take.
	releaseTimeout  = time.Second
	copyBufferBytes = 16 << 10
)

// exchange is one call between its origin and the servers.
type exchange struct {
	handler *Handler
	writer  http.ResponseWriter
	inbound *http.Request
	call    *scheduler.Call
	began   time.Time
	// target, header and body are the call as it goes on.
	target string
	header http.Header
	body   []byte

	// prefillServer is the server that read the prompt last.
	prefillServer  membership.Server
	failedResponse *bufferedResponse
	// headSent tells that something of an answer was forwarded, lastEvent is the id of
	// the last event that was.
	headSent  atomic.Bool
	lastEvent string
	// ending is how the call ended; cut at first, so that no answer is made up.
	ending ending
}

// bufferedResponse is a failing response that is kept to be forwarded.
type bufferedResponse struct {
	status int
	header http.Header
	body   []byte
}

// dispatch is one sending of the call to one server.
type dispatch struct {
	exchange *exchange
	decision scheduler.Decision
	conn     *pooledConn
	response *http.Response
	ctx      context.Context
	cancel   context.CancelFunc
	timer    *time.Timer
	// deadline is the decision's end by the runtime's own clock, which costs no call to
	// the kernel.
	deadline time.Time
	outcome  scheduler.Outcome
}

// send sends the call and waits for the head of the answer. When false is given, the
// dispatch is over and its outcome is set.
func (e *exchange) send(decision scheduler.Decision, change func(header http.Header)) (*dispatch, bool) {
	protocol := &e.handler.protocol
	ctx, cancel := context.WithCancel(e.inbound.Context())
	sent := &dispatch{exchange: e, decision: decision, ctx: ctx, cancel: cancel,
		deadline: time.Now().Add(decision.Deadline.Sub(e.handler.now()))}
	timeout := sent.remaining()
	if decision.ResponseTimeout > 0 {
		timeout = min(timeout, decision.ResponseTimeout)
	}
	sent.timer = time.AfterFunc(timeout, sent.expire)
	conn, err := e.handler.pool.get(ctx, decision.Server, sent.deadline)
	if err != nil {
		return sent, sent.fail(scheduler.Unreachable)
	}
	sent.conn = conn
	header := maps.Clone(e.header)
	header[protocol.Target] = []string{decision.Server.Name}
	if decision.Priority >= 0 {
		header[protocol.Urgency] = []string{strconv.Itoa(decision.Priority)}
	}
	if decision.Tenant != "" {
		header[protocol.Tenant] = []string{decision.Tenant}
	}
	change(header)
	remaining := max(1, time.Until(sent.deadline).Milliseconds())
	header[protocol.Limit] = []string{strconv.FormatInt(remaining, 10)}
	outbound := (&http.Request{Method: e.inbound.Method, URL: &url.URL{Scheme: "http", Host: decision.Server.Address, Opaque: e.target},
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1, Header: header, Host: e.inbound.Host,
		Body: http.NoBody, ContentLength: int64(len(e.body))}).WithContext(ctx)
	if len(e.body) > 0 {
		outbound.Body = io.NopCloser(bytes.NewReader(e.body))
	}
	if strings.HasPrefix(e.target, "//") {
		// An opaque part with two slashes would be sent in the absolute form.
		path, query, asked := strings.Cut(e.target, "?")
		outbound.URL = &url.URL{Scheme: "http", Host: decision.Server.Address, Path: e.inbound.URL.Path, RawPath: path, RawQuery: query, ForceQuery: asked}
	}
	sent.response, err = conn.http.RoundTrip(outbound)
	if err != nil {
		wrote, received := conn.conn.end()
		switch {
		case !wrote:
			return sent, sent.fail(scheduler.Unreachable)
		case received && ctx.Err() == nil:
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
	if d.exchange.headSent.Load() && !time.Now().Before(d.deadline) {
		_ = http.NewResponseController(d.exchange.writer).SetWriteDeadline(time.Now())
	}
}

// fail ends a dispatch whose answer can't be used; the connection goes with it.
func (d *dispatch) fail(result scheduler.Result) bool {
	if d.exchange.inbound.Context().Err() != nil {
		result = scheduler.ClientGone
	}
	if result == scheduler.ClientGone {
		d.exchange.ending = endClientGone
	}
	d.record(result)
	d.cancel()
	if d.conn != nil {
		d.conn.close()
	}
	if d.response != nil {
		_ = d.response.Body.Close()
	}
	return false
}

// record keeps the result of a dispatch that is over.
func (d *dispatch) record(result scheduler.Result) {
	d.outcome.Result = result
	d.timer.Stop()
	d.exchange.handler.meter.dispatched(d.decision.Kind, result)
}

// finish ends a dispatch whose answer was read to its end.
func (d *dispatch) finish(result scheduler.Result) {
	d.record(result)
	_ = d.response.Body.Close()
	if result == scheduler.Misdirected || d.response.Close {
		d.conn.close()
	} else {
		d.outcome.KeepAlive = readKeepAlive(d.response.Header)
		d.exchange.handler.pool.put(d.conn, d.outcome.KeepAlive)
	}
	d.cancel()
}

// readHead judges the head of an answer: whose it is, and whether it is a success. An
// answer with another call's id belongs to that one.
func (d *dispatch) readHead() bool {
	e, response := d.exchange, d.response
	protocol := &e.handler.protocol
	success := response.StatusCode >= 200 && response.StatusCode < 300
	if response.StatusCode < 200 || response.StatusCode > 599 {
		return d.fail(scheduler.Malformed)
	}
	if id, found := response.Header[protocol.ID]; found && (len(id) != 1 || id[0] != e.call.ID) || !found && success && e.call.ID != "" {
		return d.fail(scheduler.Malformed)
	}
	d.outcome.Status = response.StatusCode
	if load := response.Header[protocol.Load]; len(load) == 1 {
		d.outcome.Load = readLoad(load[0])
	}
	if warming := response.Header[protocol.Warming]; len(warming) == 1 {
		if count, err := readCount(warming[0]); err == nil {
			d.outcome.Warming = time.Duration(count) * time.Millisecond
		}
	}
	if success {
		return true
	}
	body, err := readBounded(response.Body, response.ContentLength, maxBufferedResponse)
	if err != nil {
		return d.fail(scheduler.TimedOut)
	}
	d.outcome.FirstByte = e.handler.now()
	result := scheduler.ErrorResponse
	switch _, never := response.Header[protocol.NotStarted]; {
	case response.StatusCode == http.StatusMisdirectedRequest:
		result = scheduler.Misdirected
	case never:
		result = scheduler.NotStarted
	}
	if result == scheduler.ErrorResponse && impliesNotRun(response.StatusCode) {
		// The status would promise what the server did not: it goes no further.
		e.failedResponse = nil
	} else {
		e.failedResponse = &bufferedResponse{status: response.StatusCode, header: response.Header, body: body}
	}
	d.finish(result)
	return false
}

// impliesNotRun tells whether a status says that a call has not run and never will.
func impliesNotRun(status int) bool {
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
	protocol := &e.handler.protocol
	e.prefillServer = decision.Server
	sent, success := e.send(decision, func(header http.Header) {
		header[protocol.Stage] = []string{protocol.StageRead}
	})
	if !success {
		return sent.outcome
	}
	body, err := readBounded(sent.response.Body, sent.response.ContentLength, maxPrefillResponse)
	if err != nil {
		sent.fail(scheduler.TimedOut)
		return sent.outcome
	}
	handle := fastjson.GetString(body, protocol.HandleField)
	if handle == "" || strings.ContainsAny(handle, "/?#% \r\n") {
		sent.fail(scheduler.Malformed)
		return sent.outcome
	}
	sent.outcome.FirstByte = e.handler.now()
	sent.outcome.Handle = handle
	sent.finish(scheduler.Complete)
	return sent.outcome
}

// Run has a server make the answer, which is forwarded.
func (e *exchange) Run(route *config.CallRoute, decision scheduler.Decision, began func()) scheduler.Outcome {
	protocol := &e.handler.protocol
	if e.headSent.Load() && e.lastEvent == "" {
		// Nothing tells where to go on.
		return scheduler.Outcome{Result: scheduler.Interrupted}
	}
	sent, success := e.send(decision, func(header http.Header) {
		if decision.Source != nil {
			header[protocol.Source] = []string{decision.Source.Address + "/" + decision.Source.Handle}
		}
		if e.lastEvent != "" {
			header[lastEventHeader] = []string{e.lastEvent}
		}
	})
	if !success {
		return sent.outcome
	}
	if strings.HasPrefix(sent.response.Header.Get("Content-Type"), "text/event-stream") {
		sent.forwardEvents(route, began)
		return sent.outcome
	}
	if e.headSent.Load() {
		sent.fail(scheduler.Malformed)
		return sent.outcome
	}
	sent.forwardBody()
	return sent.outcome
}

const lastEventHeader = "Last-Event-Id"

// extend has the dispatch go on to the call's end, now that its server speaks.
func (d *dispatch) extend() { d.timer.Reset(d.remaining()) }

// remaining is how long the dispatch may go on at the most.
func (d *dispatch) remaining() time.Duration {
	return time.Until(d.deadline) + deadlineGrace
}

// forwardHead gives the origin the status and the end-to-end headers of an answer.
func (e *exchange) forwardHead(response *http.Response) {
	header := e.writer.Header()
	copyEndToEnd(header, response.Header)
	if response.ContentLength >= 0 {
		header["Content-Length"] = []string{strconv.FormatInt(response.ContentLength, 10)}
	}
	e.headSent.Store(true)
	e.ending = endServed
	e.handler.meter.timeToFirst.UpdateDuration(e.began)
	e.writer.WriteHeader(response.StatusCode)
}
