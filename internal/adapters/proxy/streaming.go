package proxy

import (
	"net/http"
	"strconv"
	"time"

	"seamloom.example/seamloom/internal/scheduler"
)

// forwardBody forwards a response that is not an event stream: in one piece once it is
// complete, or, if it exceeds maxBufferedResponse, while it arrives.
func (d *dispatch) forwardBody() {
	e := d.exchange
	body, err := d.readBody(maxBufferedResponse)
	d.outcome.FirstByte = e.handler.now()
	switch err {
	case nil:
		e.forwardHead(d.response)
		if _, err := e.writer.Write(body); err != nil && err != http.ErrBodyNotAllowed {
			d.fail(scheduler.ClientGone)
			return
		}
		d.finish(scheduler.Complete)
	case errOversize:
		d.extend()
		e.forwardHead(d.response)
		d.copyBody(body)
	default:
		d.fail(scheduler.TimedOut)
	}
}

// copyBody forwards a body whose beginning was read, while the rest of it arrives. Its content is not checked: the end of
// the connection counts as its end if it has neither a length nor chunks.
func (d *dispatch) copyBody(beginning []byte) {
	writer, body := d.exchange.writer, d.response.Body
	if _, err := writer.Write(beginning); err != nil {
		d.fail(scheduler.ClientGone)
		return
	}
	buffer := make([]byte, copyBufferBytes)
	for {
		read, readErr := body.Read(buffer)
		if _, err := writer.Write(buffer[:read]); err != nil {
			d.fail(scheduler.ClientGone)
			return
		}
		if readErr == nil {
			continue
		}
		if d.countBodyEnd(readErr, false).isRegular() {
			d.finish(scheduler.Complete)
		} else {
			d.fail(scheduler.Interrupted)
		}
		return
	}
}

// forwardEvents forwards an event stream. Only complete events are forwarded, each as soon as
// it has arrived. A resumed stream skips the events that the client already has. A stream that ends with
// its connection, within an event or before any, was interrupted: its server crashed or broke it off.
func (d *dispatch) forwardEvents(onFirstChunk func()) {
	e, response := d.exchange, d.response
	// The stream may be resumed at another server, and the client would then get another number of bytes than the
	// first server's Content-Length.
	response.ContentLength = -1
	delete(response.Header, "Content-Length")
	// If an earlier dispatch of the call has forwarded the head, this stream resumes the stream of that dispatch.
	d.forwardStream(newEventStream(d, e.headSent.Load()), onFirstChunk)
}

// forwardStream forwards the events of a stream until the stream ends or stalls.
func (d *dispatch) forwardStream(stream *eventStream, onFirstChunk func()) {
	e, response, events := d.exchange, d.response, stream.events
	flusher := http.NewResponseController(e.writer)
	for {
		if stalled := d.readEvents(stream, onFirstChunk); stalled {
			d.stall(stream)
			return
		}
		forwarded, err := e.forwardReceived(stream, onFirstChunk)
		if err != nil {
			d.fail(resultOfForwarding(err))
			break
		}
		if events.err != nil && d.countBodyEnd(events.err, events.incomplete()).isRegular() {
			if !e.takeOver(onFirstChunk) {
				d.fail(scheduler.Superseded)
				break
			}
			if !e.headSent.Load() {
				e.forwardHead(response)
			}
			d.finish(scheduler.Complete)
			break
		}
		if forwarded {
			if err := flusher.Flush(); err != nil {
				d.fail(scheduler.ClientGone)
				break
			}
		}
		if events.err != nil {
			d.failStream()
			break
		}
	}
	stream.release()
}

// resultOfForwarding returns the result of a dispatch whose events could not be forwarded.
func resultOfForwarding(err error) scheduler.Result {
	if err == errSuperseded {
		return scheduler.Superseded
	}
	return scheduler.ClientGone
}

// readEvents waits for the next part of the stream, and reports whether the stream has stalled instead. Once an event with
// an ID was forwarded, after which another server can resume the stream, the decision's StreamTimeout limits the wait.
func (d *dispatch) readEvents(stream *eventStream, onFirstChunk func()) (stalled bool) {
	timeout := time.Duration(0)
	if d.exchange.lastEvent != "" {
		timeout = d.decision.StreamTimeout
	}
	read, stalled := stream.next(timeout)
	if read > 0 && d.outcome.FirstByte.IsZero() {
		d.outcome.FirstByte = d.exchange.handler.now()
		d.extend()
		if d.exchange.stalled == nil {
			onFirstChunk()
		}
	}
	return stalled
}

// forwardReceived forwards the received events to the client, the first one after the head of the response, and reports
// whether there were any. If the stream resumes an earlier one, the events that are not after the last forwarded event
// are skipped. An error means that the client can't be written to, or, if it is errSuperseded, that the call's stalled
// stream goes on in place of this one.
func (e *exchange) forwardReceived(stream *eventStream, onFirstChunk func()) (forwarded bool, err error) {
	for event := stream.events.next(); event != nil; event = stream.events.next() {
		id, found := eventID(event)
		if found && stream.resumed && !isAfter(id, e.lastEvent) {
			continue
		}
		if !e.takeOver(onFirstChunk) {
			return forwarded, errSuperseded
		}
		if found {
			e.lastEvent = id
		}
		if !e.headSent.Load() {
			e.forwardHead(stream.dispatch.response)
		}
		if _, err := e.writer.Write(event); err != nil {
			return forwarded, err
		}
		forwarded = true
	}
	return forwarded, nil
}

// failStream ends a dispatch whose event stream was interrupted or truncated, or contains an event larger than
// maxEventBytes. The result is Interrupted if the head was already forwarded to the client, and TimedOut
// otherwise.
func (d *dispatch) failStream() {
	if d.exchange.headSent.Load() {
		d.fail(scheduler.Interrupted)
		return
	}
	d.fail(scheduler.TimedOut)
}

// isAfter reports whether the event id comes after the event last. Numeric IDs are compared as
// numbers; otherwise every ID that differs counts as later.
func isAfter(id, last string) bool {
	number, err := strconv.ParseUint(id, 10, 64)
	earlier, lastErr := strconv.ParseUint(last, 10, 64)
	if err != nil || lastErr != nil {
		return id != last
	}
	return number > earlier
}
