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
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fastjson"

	"seamloom.example/seamloom/internal/config"
	"seamloom.example/seamloom/internal/membership"
	"seamloom.example/seamloom/internal/scheduler"
)

// Size and time limits of dispatches and their responses.
const (
	// maxBufferedResponse bounds a failed response that is buffered for forwarding, and a
	// response that is forwarded only once complete.
	maxBufferedResponse = 1 << 20
	// maxEventBytes bounds one event of a stream.
	maxEventBytes = 4 << 20
	// maxPrefillResponse bounds the response to a prefill, which names the handle of the
	// prompt's KV cache.
	maxPrefillResponse = 64 << 10
	// deadlineGrace is how long past the deadline a dispatch still waits for the server's
	// own response, which gives a more precise cause than a timeout at the router.
	deadlineGrace = 60 * time.Millisecond
	// releaseTimeout is how long releasing a handle may take.
	releaseTimeout = time.Second
	// copyBufferBytes is the initial size of the buffers through which responses are forwarded.
	copyBufferBytes = 16 << 10
)

// exchange is the HTTP side of one call, between the client and the model servers. It
// implements dataplane.Exchange.
type exchange struct {
	handler   *Handler
	writer    http.ResponseWriter
	inbound   *http.Request
	call      *scheduler.Call
	startTime time.Time
	// target, header and body are the request as it is forwarded.
	target string
	header http.Header
	body   []byte

	// prefillServer is the server of the last prefill.
	prefillServer membership.Server
	// failedResponse is the last failed response, or nil if none can be forwarded.
	failedResponse *bufferedResponse
	// headSent is set once the head of a response has been forwarded; lastEvent is the ID
	// of the last event forwarded.
	headSent  atomic.Bool
	lastEvent string
	// stalled is the stream that has stalled and may still go on; nil if there is none. rival is the dispatch that may take
	// the call over from it. Only the goroutine that serves the call writes them, with the mutex locked.
	mutex   sync.Mutex
	stalled *eventStream
	rival   *dispatch
	// ending is how the call ended. It starts as endInterrupted, so that a call without a
	// response is aborted rather than answered with an empty success.
	ending ending
}

// bufferedResponse is a failed response, buffered for forwarding to the client.
type bufferedResponse struct {
	status int
	header http.Header
	body   []byte
}

// dispatch is one HTTP request that is sent to a model server for the call.
type dispatch struct {
	exchange *exchange
	decision scheduler.Decision
	conn     *pooledConn
	response *http.Response
	// closeDelimited means that the response has a body that ends with its connection.
	closeDelimited bool

	ctx    context.Context
	cancel context.CancelFunc
	timer  *time.Timer
	// deadline is the decision's deadline, converted from the handler's clock to that of time.Now,
	// which is read without a system call.
	deadline time.Time
	outcome  scheduler.Outcome
}

// send sends the call to the decision's server and waits for the head of the response. The function
// setHeaders adds the headers that only a prefill or only a generation has. If send returns false, the
// dispatch is over and its outcome is set.
func (e *exchange) send(decision scheduler.Decision, setHeaders func(header http.Header)) (*dispatch, bool) {
	protocol := &e.handler.protocol
	ctx, cancel := context.WithCancel(e.inbound.Context())
	attempt := &dispatch{exchange: e, decision: decision, ctx: ctx, cancel: cancel,
		deadline: time.Now().Add(decision.Deadline.Sub(e.handler.now()))}
	timeout := attempt.remaining()
	if decision.ResponseTimeout > 0 {
		timeout = min(timeout, decision.ResponseTimeout)
	}
	attempt.timer = time.AfterFunc(timeout, attempt.expire)
	if !e.race(attempt) {
		return attempt, attempt.fail(scheduler.Superseded)
	}
	conn, err := e.handler.pool.get(ctx, decision.Server, e.call.ID, attempt.deadline)
	if err != nil {
		return attempt, attempt.fail(scheduler.Unreachable)
	}
	attempt.conn = conn
	header := maps.Clone(e.header)
	header[protocol.Target] = []string{decision.Server.Name}
	if decision.Priority >= 0 {
		header[protocol.Urgency] = []string{strconv.Itoa(decision.Priority)}
	}
	if decision.Tenant != "" {
		header[protocol.Tenant] = []string{decision.Tenant}
	}
	setHeaders(header)
	remaining := max(1, time.Until(attempt.deadline).Milliseconds())
	header[protocol.Limit] = []string{strconv.FormatInt(remaining, 10)}
	outbound := (&http.Request{Method: e.inbound.Method,
		URL:   &url.URL{Scheme: "http", Host: decision.Server.Address, Opaque: e.target},
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1, Header: header, Host: e.inbound.Host,
		Body: http.NoBody, ContentLength: int64(len(e.body))}).WithContext(ctx)
	if len(e.body) > 0 {
		outbound.Body = io.NopCloser(bytes.NewReader(e.body))
	}
	if strings.HasPrefix(e.target, "//") {
		// An opaque URL that begins with two slashes would be sent in absolute form.
		path, query, hasQuery := strings.Cut(e.target, "?")
		outbound.URL = &url.URL{Scheme: "http", Host: decision.Server.Address, Path: e.inbound.URL.Path, RawPath: path,
			RawQuery: query, ForceQuery: hasQuery}
	}
	attempt.response, err = conn.http.RoundTrip(outbound)
	if err != nil {
		wrote, received := conn.conn.end()
		switch {
		case !wrote:
			return attempt, attempt.fail(scheduler.Unreachable)
		case received && ctx.Err() == nil:
			return attempt, attempt.fail(scheduler.Malformed)
		}
		return attempt, attempt.fail(scheduler.TimedOut)
	}
	return attempt, attempt.readHead()
}

// expire ends a dispatch whose timeout has passed. If the call's deadline has passed too, a
// pending write to a client that reads too slowly is also ended.
func (d *dispatch) expire() {
	d.cancel()
	if d.exchange.headSent.Load() && !time.Now().Before(d.deadline) {
		_ = http.NewResponseController(d.exchange.writer).SetWriteDeadline(time.Now())
	}
}

// fail ends a dispatch without a usable response, and closes its connection if it has one. If the client
// has disconnected, fail records ClientGone in place of the given result, and Superseded if the call's stalled stream
// goes on. It always returns false, so that
// send and readHead can return this value as their own.
func (d *dispatch) fail(result scheduler.Result) bool {
	if d.exchange.isSuperseded() {
		result = scheduler.Superseded
	}
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

// record stores and counts the result of a dispatch that is over.
func (d *dispatch) record(result scheduler.Result) {
	d.outcome.Result = result
	d.timer.Stop()
	d.exchange.handler.meter.dispatched(d.decision.Kind, result)
}

// finish ends a dispatch whose response was read completely, and returns its connection to
// the pool if the connection can be reused.
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

// readHead checks the head of the response and reports whether the response is a success
// whose body remains to be read. A response with the ID of another call belongs to that call,
// so the response is treated as malformed, as is a success without the call's ID, and any response without
// an ID that may belong to the request before. A failed response is read completely, and the dispatch is over.
func (d *dispatch) readHead() bool {
	e, response := d.exchange, d.response
	d.closeDelimited = isCloseDelimited(response)
	protocol := &e.handler.protocol
	success := response.StatusCode >= 200 && response.StatusCode < 300
	if response.StatusCode < 200 || response.StatusCode > 599 {
		return d.fail(scheduler.Malformed)
	}
	id, found := response.Header[protocol.ID]
	if found && (len(id) != 1 || id[0] != e.call.ID) {
		return d.fail(scheduler.Malformed)
	}
	if !found && e.call.ID != "" && (success || d.conn.previousHadNoID()) {
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
	body, err := d.readBody(maxBufferedResponse)
	if err != nil && err != errTruncated {
		return d.fail(scheduler.TimedOut)
	}
	d.outcome.FirstByte = e.handler.now()
	result := scheduler.ErrorResponse
	switch _, notStarted := response.Header[protocol.NotStarted]; {
	case response.StatusCode == http.StatusMisdirectedRequest:
		result = scheduler.Misdirected
	case notStarted:
		result = scheduler.NotStarted
	}
	if err == errTruncated || result == scheduler.ErrorResponse && impliesNotRun(response.StatusCode) {
		// The body would look complete, or the status would tell the client that the call never ran,
		// which the server did not promise: the response is not forwarded.
		e.failedResponse = nil
	} else {
		e.failedResponse = &bufferedResponse{status: response.StatusCode, header: response.Header, body: body}
	}
	d.finish(result)
	return false
}

// impliesNotRun reports whether a status tells the client that the call has not run and
// never will.
func impliesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// errOversize reports a body that exceeds its limit.
var errOversize = io.ErrShortBuffer

// readBounded reads a body to its end. The length is the declared one, or negative if unknown.
// For a body over the limit it returns errOversize and the part read so far, which is empty if the
// declared length exceeds the limit. The limit is checked only when the buffer is full, so a body of
// unknown length may exceed it by less than one growth of the buffer.
func readBounded(body io.Reader, length int64, limit int) ([]byte, error) {
	if length > int64(limit) {
		return nil, errOversize
	}
	if length < 0 {
		length = 511
	}
	content := make([]byte, 0, length+1)
	for {
		if len(content) == cap(content) {
			if len(content) > limit {
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

// Prefill has the decision's server prefill the prompt.
func (e *exchange) Prefill(decision scheduler.Decision) scheduler.Outcome {
	attempt := e.prefill(decision)
	e.dropBrokenStream(&attempt.outcome)
	return attempt.outcome
}

// prefill sends a prefill, and returns the dispatch once it is over.
func (e *exchange) prefill(decision scheduler.Decision) *dispatch {
	protocol := &e.handler.protocol
	e.prefillServer = decision.Server
	attempt, success := e.send(decision, func(header http.Header) {
		header[protocol.Stage] = []string{protocol.StageRead}
	})
	if !success {
		return attempt
	}
	body, err := attempt.readBody(maxPrefillResponse)
	if err != nil {
		attempt.fail(scheduler.TimedOut)
		return attempt
	}
	handle := fastjson.GetString(body, protocol.HandleField)
	if handle == "" || strings.ContainsAny(handle, "/?#% \r\n") {
		attempt.fail(scheduler.Malformed)
		return attempt
	}
	attempt.outcome.FirstByte = e.handler.now()
	attempt.outcome.Handle = handle
	attempt.finish(scheduler.Complete)
	return attempt
}

// Generate has the decision's server generate the response, and forwards it to the client.
func (e *exchange) Generate(route *config.CallRoute, decision scheduler.Decision, onFirstChunk func()) scheduler.Outcome {
	if e.headSent.Load() && e.lastEvent == "" {
		// Without an event ID the stream can't be resumed.
		return scheduler.Outcome{Result: scheduler.Interrupted}
	}
	attempt := e.generate(decision, onFirstChunk)
	if attempt.outcome.Result != scheduler.Stalled {
		e.dropBrokenStream(&attempt.outcome)
	}
	return attempt.outcome
}

// generate sends a generation and forwards its response. It returns the dispatch once it is over or has stalled.
func (e *exchange) generate(decision scheduler.Decision, onFirstChunk func()) *dispatch {
	protocol := &e.handler.protocol
	attempt, success := e.send(decision, func(header http.Header) {
		if decision.Source != nil {
			header[protocol.Source] = []string{decision.Source.Address + "/" + decision.Source.Handle}
		}
		if e.lastEvent != "" {
			header[lastEventHeader] = []string{e.lastEvent}
		}
	})
	if !success {
		return attempt
	}
	if strings.HasPrefix(attempt.response.Header.Get("Content-Type"), "text/event-stream") {
		attempt.forwardEvents(onFirstChunk)
		return attempt
	}
	if e.headSent.Load() {
		attempt.fail(scheduler.Malformed)
		return attempt
	}
	attempt.forwardBody()
	return attempt
}

// lastEventHeader is the standard header of event streams that names the last event that the
// receiver has.
const lastEventHeader = "Last-Event-Id"

// extend lets the dispatch run until deadlineGrace after its deadline, in place of a shorter
// timeout. It is called only after the server has begun to respond.
func (d *dispatch) extend() { d.timer.Reset(d.remaining()) }

// remaining returns how long the dispatch may still run: until deadlineGrace after its deadline.
func (d *dispatch) remaining() time.Duration {
	return time.Until(d.deadline) + deadlineGrace
}

// forwardHead sends the status and the end-to-end headers of a response to the client.
func (e *exchange) forwardHead(response *http.Response) {
	header := e.writer.Header()
	copyEndToEnd(header, response.Header)
	if response.ContentLength >= 0 {
		header["Content-Length"] = []string{strconv.FormatInt(response.ContentLength, 10)}
	}
	e.headSent.Store(true)
	e.ending = endServed
	e.handler.meter.timeToFirstByte.UpdateDuration(e.startTime)
	e.writer.WriteHeader(response.StatusCode)
}
