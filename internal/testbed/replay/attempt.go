package replay

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/juju/errors"
)

// attempt is one transmission of a request to a machine, and the response to it.
type attempt struct {
	request     *request
	id          string
	number      int
	lastEventID int
	event       Event
	// notRead means that the machine can't have read the whole request: no connection could be
	// opened, or the last buffered bytes of the request could not be written.
	notRead bool
	// retryAfter is the value of the Retry-After header of the response.
	retryAfter time.Duration
	// keepAlive means that the connection may carry another request.
	keepAlive bool
}

// send writes the request to a machine, reads the response, and appends both to the event log.
func (r *request) send(connection *conn, number, lastEventID int, events *EventLog) *attempt {
	a := &attempt{request: r, id: strings.ReplaceAll(uuid.NewString(), "-", "")[:16], number: number, lastEventID: lastEventID}
	a.event = Event{
		Kind:        AttemptSent,
		Machine:     connection.machine,
		AttemptID:   a.id,
		Request:     r.id,
		Class:       r.class.Name,
		Route:       r.route,
		Number:      number,
		Idempotent:  r.class.mayRepeat(),
		Probe:       r.probe,
		Digest:      r.digest(),
		Deadline:    r.timeLeft(),
		Target:      r.class.Target,
		Began:       r.began,
		LastEventID: lastEventID,
		At:          time.Now(),
	}
	outbound, err := http.NewRequest(http.MethodPost, "http://"+r.rule.Host+r.path, bytes.NewReader(r.body))
	if err != nil {
		a.event.Cause = err.Error()
		return a
	}
	outbound.Header = r.header()
	outbound.Header.Set(headerAttempt, a.id)
	outbound.Header.Set(headerDeadline, strconv.FormatInt(max(1, r.timeLeft().Milliseconds()), 10))
	outbound.Header.Set("Accept-Encoding", "identity")
	if lastEventID > 0 {
		outbound.Header.Set(headerLastEvent, strconv.Itoa(lastEventID))
	}
	if r.chunked {
		outbound.ContentLength, outbound.TransferEncoding = -1, []string{"chunked"}
	}
	events.Append(a.event)
	_ = connection.SetDeadline(r.began.Add(r.class.Deadline))
	writer := bufio.NewWriterSize(connection, 32<<10)
	if err := outbound.Write(writer); err != nil {
		a.fail(err)
	} else if err := writer.Flush(); err != nil {
		a.notRead = true
		a.fail(err)
	} else {
		a.readResponse(connection, outbound)
	}
	ended := a.event
	ended.Kind, ended.At = AttemptEnded, time.Now()
	a.event = ended
	events.Append(ended)
	return a
}

// fail records why the response is incomplete.
func (a *attempt) fail(err error) {
	a.event.Complete = false
	if errors.Is(err, os.ErrDeadlineExceeded) {
		a.event.GaveUp, a.event.Cause = true, "silence"
		return
	}
	a.event.Cause = err.Error()
}

// extendDeadline sets the read deadline for the next bytes: the end of the request's silence limit,
// but no later than the request's own deadline.
func (a *attempt) extendDeadline(connection *conn) {
	deadline := time.Now().Add(a.request.silenceLimit())
	if latest := a.request.began.Add(a.request.class.Deadline); latest.Before(deadline) {
		deadline = latest
	}
	_ = connection.SetReadDeadline(deadline)
}

// readResponse reads the response to the attempt.
func (a *attempt) readResponse(connection *conn, outbound *http.Request) {
	a.extendDeadline(connection)
	response, err := http.ReadResponse(connection.reader, outbound)
	if err != nil {
		a.fail(err)
		if strings.Contains(err.Error(), "malformed") {
			a.event.Cause = causeMalformed
		}
		return
	}
	defer func() { _ = response.Body.Close() }()
	a.event.Status, a.event.Seal, a.event.AnsweredAttempt =
		response.StatusCode, response.Header.Get(headerSeal), response.Header.Get(headerAttempt)
	if text := response.Header.Get(headerRetryAfter); text != "" {
		seconds, _ := strconv.ParseFloat(text, 64)
		a.retryAfter = time.Duration(seconds * float64(time.Second))
	}
	if isCloseDelimited(response) {
		a.fail(errors.New(causeNoLength))
		return
	}
	if response.StatusCode/100 != 2 {
		_, err = io.Copy(io.Discard, response.Body)
	} else if a.request.class.Plain {
		err = a.readPlain(response.Body)
	} else {
		err = a.readStream(connection, response.Body)
	}
	if err != nil {
		a.fail(err)
		return
	}
	a.event.Complete = true
	a.keepAlive = !response.Close
	connection.reusableUntil = time.Now().Add(keepAliveTime(response.Header.Get("Keep-Alive")))
}

// keepAliveTime returns how long a client may reuse an idle connection: four fifths of the
// timeout that the Keep-Alive header states, or 5 s without one.
func keepAliveTime(keepAlive string) time.Duration {
	_, seconds, found := strings.Cut(keepAlive, "timeout=")
	if count, err := strconv.Atoi(strings.TrimRight(seconds, " ,;")); found && err == nil {
		return time.Duration(count) * time.Second * 4 / 5
	}
	return 5 * time.Second
}

// Causes of incomplete responses in the event log.
const (
	causeMalformed  = "bytes that are not an HTTP response"
	causeClientLeft = "the client left"
	causeNoLength   = "the response has neither a length nor chunks, so nothing proves that it is complete"
)

// isCloseDelimited reports whether nothing but the end of the connection marks the end of a response. Machines always
// send a length or chunks, since a client can't tell such an end from a crash.
func isCloseDelimited(response *http.Response) bool {
	return response.Body != http.NoBody && response.ContentLength < 0 && len(response.TransferEncoding) == 0
}

// readPlain reads the response to a plain request, which is one JSON object.
func (a *attempt) readPlain(body io.Reader) error {
	content, err := io.ReadAll(body)
	if err != nil {
		return err
	}
	var page struct{ Answer string }
	span := Span{ID: -1}
	if json.Unmarshal(content, &page) == nil {
		span.parse(strings.TrimPrefix(page.Answer, "/"))
		span.ID = span.To
	}
	a.event.FirstEventAt, a.event.Spans = time.Now(), []Span{span}
	return nil
}

// readStream reads the events of a stream until it ends. A client that leaves early closes the
// connection after the second event.
func (a *attempt) readStream(connection *conn, body io.Reader) error {
	reader := bufio.NewReader(body)
	span, last := Span{ID: -1}, time.Now()
	for {
		a.extendDeadline(connection)
		line, err := reader.ReadString('\n')
		if line != "" {
			a.event.Truncated = strings.TrimRight(line, "\r\n") != ""
		}
		line = strings.TrimRight(line, "\r\n")
		switch {
		case err == nil && line == "" && span.ID >= 0:
			now := time.Now()
			if a.event.FirstEventAt.IsZero() {
				a.event.FirstEventAt = now
			} else {
				a.event.LongestGap = max(a.event.LongestGap, now.Sub(last).Seconds())
			}
			last = now
			a.event.Spans = append(a.event.Spans, span)
			span = Span{ID: -1}
			if a.request.leavesEarly && len(a.event.Spans) == 2 {
				a.event.GaveUp = true
				return errors.New(causeClientLeft)
			}
		case strings.HasPrefix(line, "id: "):
			span.ID, _ = strconv.Atoi(line[4:])
		case strings.HasPrefix(line, "data: "):
			span.parse(line[6:])
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// parse reads the data of an event, "digest/run/from-to". Data in another format leaves the span unchanged.
func (s *Span) parse(text string) {
	fields := strings.Split(text, "/")
	if len(fields) != 3 {
		return
	}
	s.RequestDigest, s.Run = fields[0], fields[1]
	from, to, _ := strings.Cut(fields[2], "-")
	s.From, _ = strconv.Atoi(from)
	s.To, _ = strconv.Atoi(to)
}
