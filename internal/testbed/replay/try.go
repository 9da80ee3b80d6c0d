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

// try is one sending of a request.
type try struct {
	one    *request
	id     string
	number int
	behind int
	event  Event
	// unread: the machine can't have read it. retry is the time to come back that it told.
	unread bool
	retry  time.Duration
	keeps  bool
}

// send writes the request to a machine and reads what comes back.
func (one *request) send(connection *conn, number, behind int, book *Book) *try {
	try := &try{one: one, id: strings.ReplaceAll(uuid.NewString(), "-", "")[:16], number: number, behind: behind}
	try.event = Event{Kind: TrySent, Machine: connection.machine, Try: try.id, Request: one.id, Class: one.class.Name, Route: one.route, Number: number,
		Idempotent: one.class.repeats(), Probe: one.probe, Digest: one.digest(), Deadline: one.left(), Aim: one.class.Aim, Began: one.began, Behind: behind, At: time.Now()}
	outbound, err := http.NewRequest(http.MethodPost, "http://"+one.rule.Host+one.path, bytes.NewReader(one.body))
	if err != nil {
		try.event.Cause = err.Error()
		return try
	}
	outbound.Header = one.header()
	outbound.Header.Set(headerTry, try.id)
	outbound.Header.Set(headerDeadline, strconv.FormatInt(max(1, one.left().Milliseconds()), 10))
	outbound.Header.Set("Accept-Encoding", "identity")
	if behind > 0 {
		outbound.Header.Set(headerLastEvent, strconv.Itoa(behind))
	}
	if one.chunked {
		outbound.ContentLength, outbound.TransferEncoding = -1, []string{"chunked"}
	}
	book.Note(try.event)
	_ = connection.SetDeadline(one.began.Add(one.class.Deadline))
	writer := bufio.NewWriterSize(connection, 32<<10)
	if err := outbound.Write(writer); err != nil {
		try.ends(err)
	} else if err := writer.Flush(); err != nil {
		try.unread = true
		try.ends(err)
	} else {
		try.read(connection, outbound)
	}
	ended := try.event
	ended.Kind, ended.At = TryEnded, time.Now()
	try.event = ended
	book.Note(ended)
	return try
}

// ends notes why the answer isn't whole.
func (try *try) ends(err error) {
	try.event.Complete = false
	if errors.Is(err, os.ErrDeadlineExceeded) {
		try.event.GaveUp, try.event.Cause = true, "silence"
		return
	}
	try.event.Cause = err.Error()
}

// listen sets how long the client waits for the next bytes.
func (try *try) listen(connection *conn) {
	ends := time.Now().Add(try.one.patience())
	if last := try.one.began.Add(try.one.class.Deadline); last.Before(ends) {
		ends = last
	}
	_ = connection.SetReadDeadline(ends)
}

func (try *try) read(connection *conn, outbound *http.Request) {
	try.listen(connection)
	a, err := http.ReadResponse(connection.reader, outbound)
	if err != nil {
		try.ends(err)
		if strings.Contains(err.Error(), "malformed") {
			try.event.Cause = causeNoAnswer
		}
		return
	}
	defer func() { _ = a.Body.Close() }()
	try.event.Status, try.event.Seal, try.event.Bears = a.StatusCode, a.Header.Get(headerSeal), a.Header.Get(headerTry)
	if text := a.Header.Get(headerRetryAfter); text != "" {
		seconds, _ := strconv.ParseFloat(text, 64)
		try.retry = time.Duration(seconds * float64(time.Second))
	}
	if a.StatusCode/100 != 2 {
		_, err = io.Copy(io.Discard, a.Body)
	} else if try.one.class.Plain {
		err = try.readWhole(a.Body)
	} else {
		err = try.readStream(connection, a.Body)
	}
	if err != nil {
		try.ends(err)
		return
	}
	try.event.Complete = true
	try.keeps = !a.Close
	connection.rests = time.Now().Add(restsFor(a.Header.Get("Keep-Alive")))
}

// restsFor is how long a client takes up a resting connection again.
func restsFor(keepAlive string) time.Duration {
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

// readWhole reads a plain answer.
func (try *try) readWhole(body io.Reader) error {
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
	try.event.First, try.event.Spans = time.Now(), []Span{span}
	return nil
}

// readStream reads events as they come.
func (try *try) readStream(connection *conn, body io.Reader) error {
	lines := bufio.NewReader(body)
	span, last := Span{ID: -1}, time.Now()
	for {
		try.listen(connection)
		line, err := lines.ReadString('\n')
		line = strings.TrimRight(line, "\r\n")
		switch {
		case err == nil && line == "" && span.ID >= 0:
			now := time.Now()
			if try.event.First.IsZero() {
				try.event.First = now
			} else {
				try.event.Stall = max(try.event.Stall, now.Sub(last).Seconds())
			}
			last = now
			try.event.Spans = append(try.event.Spans, span)
			span = Span{ID: -1}
			if try.one.leaves && len(try.event.Spans) == 2 {
				try.event.GaveUp = true
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
