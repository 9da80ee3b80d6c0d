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

// attempt is one sending of a request.
type attempt struct {
	r      *request
	id     string
	number int
	behind int
	event  Event
	// unread: the machine can't have read it. retry is the time to come back that it told.
	notRead bool
	retry   time.Duration
	keeps   bool
}

// send writes the request to a machine and reads what comes back.
func (r *request) send(connection *conn, number, behind int, events *EventLog) *attempt {
	a := &attempt{r: r, id: strings.ReplaceAll(uuid.NewString(), "-", "")[:16], number: number, behind: behind}
	a.event = Event{
		Kind:       TrySent,
		Machine:    connection.machine,
		Try:        a.id,
		Request:    r.id,
		Class:      r.class.Name,
		Route:      r.route,
		Number:     number,
		Idempotent: r.class.repeats(),
		Probe:      r.probe,
		Digest:     r.digest(),
		Deadline:   r.left(),
		Aim:        r.class.Aim,
		Began:      r.began,
		Behind:     behind,
		At:         time.Now(),
	}
	outbound, err := http.NewRequest(http.MethodPost, "http://"+r.rule.Host+r.path, bytes.NewReader(r.body))
	if err != nil {
		a.event.Cause = err.Error()
		return a
	}
	outbound.Header = r.header()
	outbound.Header.Set(headerAttempt, a.id)
	outbound.Header.Set(headerDeadline, strconv.FormatInt(max(1, r.left().Milliseconds()), 10))
	outbound.Header.Set("Accept-Encoding", "identity")
	if behind > 0 {
		outbound.Header.Set(headerLastEvent, strconv.Itoa(behind))
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
		a.read(connection, outbound)
	}
	ended := a.event
	ended.Kind, ended.At = TryEnded, time.Now()
	a.event = ended
	events.Append(ended)
	return a
}

// fail notes why the answer isn't complete.
func (a *attempt) fail(err error) {
	a.event.Complete = false
	if errors.Is(err, os.ErrDeadlineExceeded) {
		a.event.GaveUp, a.event.Cause = true, "silence"
		return
	}
	a.event.Cause = err.Error()
}

// extendDeadline sets how long the client waits for the next bytes.
func (a *attempt) extendDeadline(connection *conn) {
	ends := time.Now().Add(a.r.patience())
	if last := a.r.began.Add(a.r.class.Deadline); last.Before(ends) {
		ends = last
	}
	_ = connection.SetReadDeadline(ends)
}

func (a *attempt) read(connection *conn, outbound *http.Request) {
	a.extendDeadline(connection)
	response, err := http.ReadResponse(connection.reader, outbound)
	if err != nil {
		a.fail(err)
		if strings.Contains(err.Error(), "malformed") {
			a.event.Cause = causeNoAnswer
		}
		return
	}
	defer func() { _ = response.Body.Close() }()
	a.event.Status, a.event.Seal, a.event.Bears = response.StatusCode, response.Header.Get(headerSeal), response.Header.Get(headerAttempt)
	if text := response.Header.Get(headerRetryAfter); text != "" {
		seconds, _ := strconv.ParseFloat(text, 64)
		a.retry = time.Duration(seconds * float64(time.Second))
	}
	if response.StatusCode/100 != 2 {
		_, err = io.Copy(io.Discard, response.Body)
	} else if a.r.class.Plain {
		err = a.readPlain(response.Body)
	} else {
		err = a.readStream(connection, response.Body)
	}
	if err != nil {
		a.fail(err)
		return
	}
	a.event.Complete = true
	a.keeps = !response.Close
	connection.reusableUntil = time.Now().Add(keepAliveTime(response.Header.Get("Keep-Alive")))
}

// keepAliveTime is how long a client takes up a resting connection again.
func keepAliveTime(keepAlive string) time.Duration {
	_, seconds, found := strings.Cut(keepAlive, "timeout=")
	if count, err := strconv.Atoi(strings.TrimRight(seconds, " ,;")); found && err == nil {
		return time.Duration(count) * time.Second * 4 / 5
	}
	return 5 * time.Second
}

const (
	causeNoAnswer = "bytes that are no answer"
	causeLeft     = "the client left"
)

// readPlain reads a plain answer.
func (a *attempt) readPlain(body io.Reader) error {
	text, err := io.ReadAll(body)
	if err != nil {
		return err
	}
	var page struct{ Answer string }
	span := Span{ID: -1}
	if json.Unmarshal(text, &page) == nil {
		span.read(strings.TrimPrefix(page.Answer, "/"))
		span.ID = span.To
	}
	a.event.First, a.event.Spans = time.Now(), []Span{span}
	return nil
}

// readStream reads events as they come.
func (a *attempt) readStream(connection *conn, body io.Reader) error {
	lines := bufio.NewReader(body)
	span, last := Span{ID: -1}, time.Now()
	for {
		a.extendDeadline(connection)
		line, err := lines.ReadString('\n')
		line = strings.TrimRight(line, "\r\n")
		switch {
		case err == nil && line == "" && span.ID >= 0:
			now := time.Now()
			if a.event.First.IsZero() {
				a.event.First = now
			} else {
				a.event.Stall = max(a.event.Stall, now.Sub(last).Seconds())
			}
			last = now
			a.event.Spans = append(a.event.Spans, span)
			span = Span{ID: -1}
			if a.r.leaves && len(a.event.Spans) == 2 {
				a.event.GaveUp = true
				return errors.New(causeLeft)
			}
		case strings.HasPrefix(line, "id: "):
			span.ID, _ = strconv.Atoi(line[4:])
		case strings.HasPrefix(line, "data: "):
			span.read(line[6:])
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// read takes the words of an event apart; what can't be read names nobody.
func (s *Span) read(text string) {
	words := strings.Split(text, "/")
	if len(words) != 3 {
		return
	}
	s.Whose, s.Run = words[0], words[1]
	from, to, _ := strings.Cut(words[2], "-")
	s.From, _ = strconv.Atoi(from)
	s.To, _ = strconv.Atoi(to)
}
