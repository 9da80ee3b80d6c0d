package proxy

import (
	"time"

	"seamloom.example/seamloom/internal/failure"
	"seamloom.example/seamloom/internal/scheduler"
)

// errSuperseded reports that the call's stalled stream goes on in place of the one that was to take the call over.
var errSuperseded = failure.New(failure.Unreachable, "the stalled stream goes on")

// stallEnd is how a stall of a stream ended. The text is the value of a metric label.
type stallEnd string

const (
	// stallTakenOver: another server has taken the call over.
	stallTakenOver stallEnd = "taken_over"
	// stallContinued: the stream is read on, because it has gone on or no other server takes the call over.
	stallContinued stallEnd = "continued"
	// stallEnded: the stream broke off, or the call has ended.
	stallEnded stallEnd = "ended"
)

// eventStream is the event stream of one dispatch while it is forwarded or stalled.
type eventStream struct {
	dispatch *dispatch
	events   *eventReader
	// pooled is the buffer of events, which release returns to the handler.
	pooled *[]byte
	// resumed is set if the stream resumes the stream of an earlier dispatch.
	resumed bool
	// reading is closed when the read in progress has ended; nil if none is in progress. read is then the number of
	// bytes.
	reading chan struct{}
	read    int
}

// newEventStream returns the stream of a dispatch's response.
func newEventStream(d *dispatch, resumed bool) *eventStream {
	pooled := d.exchange.handler.buffers.Get().(*[]byte)
	events := &eventReader{body: d.response.Body, closeDelimited: d.closeDelimited, buffer: (*pooled)[:0]}
	return &eventStream{dispatch: d, events: events, pooled: pooled, resumed: resumed}
}

// next waits until more of the stream arrives or the stream ends, and returns the number of bytes read. With a timeout
// above zero it returns stalled once nothing has arrived for that time; the read then goes on, and the next call
// returns its result.
func (s *eventStream) next(timeout time.Duration) (read int, stalled bool) {
	if s.reading == nil && timeout == 0 {
		return s.events.read(), false
	}
	if s.reading == nil {
		s.startRead()
	}
	if timeout > 0 {
		timer := time.NewTimer(timeout)
		defer timer.Stop()
		select {
		case <-s.reading:
		case <-timer.C:
			return 0, true
		}
	}
	<-s.reading
	s.reading = nil
	return s.read, false
}

// startRead reads the next part of the stream in a goroutine of its own.
func (s *eventStream) startRead() {
	ended := make(chan struct{})
	s.reading = ended
	go func() {
		s.read = s.events.read()
		close(ended)
		s.dispatch.exchange.streamRead(s)
	}()
}

// readEnded reports whether the read that was in progress when the stream stalled has ended.
func (s *eventStream) readEnded() bool {
	select {
	case <-s.reading:
		return true
	default:
		return false
	}
}

// goesOn reports whether a stalled stream has more events, or its regular end.
func (s *eventStream) goesOn() bool {
	if !s.readEnded() {
		return false
	}
	return s.read > 0 || s.events.err == nil || s.dispatch.endsRegularly(s.events)
}

// release returns the buffer of a stream that has ended, once no read uses it.
func (s *eventStream) release() {
	if s.reading != nil {
		<-s.reading
	}
	s.dispatch.exchange.handler.buffers.Put(s.pooled)
}

// stall ends the forwarding of a stream that has had no event for the decision's StreamTimeout. The stream stays open as
// the call's stalled stream. If the call has one already, this stream was to take the call over, and is ended.
func (d *dispatch) stall(stream *eventStream) {
	e := d.exchange
	if e.stalled != nil {
		d.failStream()
		stream.release()
		return
	}
	d.outcome.Result = scheduler.Stalled
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.stalled, e.rival = stream, nil
}

// streamRead is called when the read of a stream that may have stalled has ended. If the stalled stream goes on, the
// dispatch that was to take the call over is cancelled.
func (e *exchange) streamRead(stream *eventStream) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if e.stalled == stream && e.rival != nil && stream.goesOn() {
		e.rival.cancel()
	}
}

// race makes a dispatch the one that may take the call over from the stalled stream. It returns false if the stalled
// stream goes on already.
func (e *exchange) race(rival *dispatch) bool {
	if e.stalled == nil {
		return true
	}
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.rival = rival
	return !e.stalled.goesOn()
}

// isSuperseded reports whether the call's stalled stream goes on, so that no other dispatch takes the call over.
func (e *exchange) isSuperseded() bool {
	return e.stalled != nil && e.stalled.goesOn()
}

// takeOver ends the call's stalled stream, if there is one, because another stream has the next event, and calls
// onFirstChunk. It returns false if the stalled stream goes on: exactly one of the two streams reaches the client.
func (e *exchange) takeOver(onFirstChunk func()) bool {
	if e.stalled == nil {
		return true
	}
	e.mutex.Lock()
	stalled := e.stalled
	if stalled.goesOn() {
		e.mutex.Unlock()
		return false
	}
	e.stalled, e.rival = nil, nil
	e.mutex.Unlock()
	e.handler.meter.stalls[stallTakenOver].Inc()
	stalled.end()
	onFirstChunk()
	return true
}

// end ends a stalled stream that does not go on.
func (s *eventStream) end() {
	s.dispatch.fail(scheduler.Interrupted)
	s.release()
}

// dropBrokenStream ends the call's stalled stream if its connection has broken off, and records that in the outcome of
// the dispatch that was to take the call over.
func (e *exchange) dropBrokenStream(outcome *scheduler.Outcome) {
	if e.stalled == nil || !e.stalled.readEnded() || e.stalled.goesOn() {
		return
	}
	e.dropStalled()
	outcome.StalledEnded = true
}

// dropStalled ends the call's stalled stream, if there is one.
func (e *exchange) dropStalled() {
	e.mutex.Lock()
	stalled := e.stalled
	e.stalled, e.rival = nil, nil
	e.mutex.Unlock()
	if stalled != nil {
		e.handler.meter.stalls[stallEnded].Inc()
		stalled.end()
	}
}

// ContinueStream goes on with the call's stalled stream: its server may only be slow, and no other server has taken the
// call over.
func (e *exchange) ContinueStream(decision scheduler.Decision) scheduler.Outcome {
	e.mutex.Lock()
	stream := e.stalled
	e.stalled, e.rival = nil, nil
	e.mutex.Unlock()
	if stream == nil {
		return scheduler.Outcome{Result: scheduler.Interrupted}
	}
	e.handler.meter.stalls[stallContinued].Inc()
	d := stream.dispatch
	d.decision.StreamTimeout = decision.StreamTimeout
	d.forwardStream(stream, func() {})
	return d.outcome
}
