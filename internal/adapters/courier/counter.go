package courier

import (
	"context"
	"io"
	"net/http"
	"sort"
	"strconv"
	"time"

	"github.com/google/uuid"
	"goji.io"
	"goji.io/pat"

	"seamloom.example/seamloom/internal/adapters/follower"
	"seamloom.example/seamloom/internal/adapters/hotline"
	"seamloom.example/seamloom/internal/adapters/usage"
	"seamloom.example/seamloom/internal/larder"
	"seamloom.example/seamloom/internal/pass"
	"seamloom.example/seamloom/internal/recipe"
	"seamloom.example/seamloom/internal/roster"
	"seamloom.example/seamloom/internal/trouble"
)

func (process *Process) mux() http.Handler {
	mux := goji.NewMux()
	mux.HandleFunc(pat.Post("/v1/inquiries"), func(writer http.ResponseWriter, inbound *http.Request) {
		process.serveInquiry(writer, inbound, false)
	})
	mux.HandleFunc(pat.Post(follower.PassPath), func(writer http.ResponseWriter, inbound *http.Request) {
		process.serveInquiry(writer, inbound, true)
	})
	mux.HandleFunc(pat.Get("/v1/inquiries/:id"), process.getTrace)
	mux.HandleFunc(pat.Get("/v1/health"), func(writer http.ResponseWriter, _ *http.Request) { answer(writer, http.StatusOK, ReplyLine{}) })
	mux.HandleFunc(pat.Get("/v1/usage"), func(writer http.ResponseWriter, _ *http.Request) {
		answerJSON(writer, http.StatusOK, process.ledger.Rows())
	})
	mux.HandleFunc(pat.Get("/v1/ready"), process.getReady)
	mux.HandleFunc(pat.Get("/v1/metrics"), process.getMetrics)
	mux.Handle(pat.Post(follower.RelayPath), hotline.Answerer(func(lifetime context.Context, question follower.RelayQuestion) ([]byte, error) {
		return process.followed.Relay(lifetime, question)
	}))
	mux.Handle(pat.Post(follower.CrumbsPath), hotline.Answerer(func(_ context.Context, records []recipe.Record) (bool, error) {
		for _, record := range records {
			process.journal.append(record, false)
		}
		return true, nil
	}))
	// A courier may stand among another process's seeds: it says where the
	// core is.
	mux.Handle(pat.Post(follower.HelloPath), hotline.Answerer(func(context.Context, larder.Hello) (larder.Hello, error) {
		return larder.Hello{Kind: roster.Courier, Charter: process.followed.Charter()}, nil
	}))
	mux.Handle(pat.Post(follower.NewsPath), hotline.Answerer(func(context.Context, follower.NewsQuestion) (follower.NewsAnswer, error) {
		return follower.NewsAnswer{Charter: process.followed.Charter()}, nil
	}))
	return mux
}

func answer(writer http.ResponseWriter, status int, line ReplyLine) {
	writer.Header().Set("Content-Type", "application/json")
	if line.RetryAfterSeconds > 0 {
		writer.Header().Set("Retry-After", strconv.Itoa(line.RetryAfterSeconds))
	}
	writer.WriteHeader(status)
	_, _ = writer.Write(line.encode())
}

// serveInquiry takes an inquiry from its origin, or from a restricted courier
// that passed it on; one that was passed on is not passed on again.
func (process *Process) serveInquiry(writer http.ResponseWriter, inbound *http.Request, passed bool) {
	body, failure := io.ReadAll(http.MaxBytesReader(writer, inbound.Body, MostInquiryBytes))
	never := false
	if failure != nil {
		answer(writer, http.StatusRequestEntityTooLarge, ReplyLine{Final: pass.Refused, Ran: &never, Type: trouble.Oversize, Detail: failure.Error()})
		return
	}
	inquiry, failure := readInquiry(process.clock.Now(), body)
	if failure != nil {
		answer(writer, http.StatusBadRequest, ReplyLine{Final: pass.Refused, Ran: &never, Type: trouble.KindOf(failure), Detail: failure.Error()})
		return
	}
	if passed {
		writer = newRecordWriter(writer, inquiry.ID, process.chosen.Name)
	}
	stream := newStream()
	process.mutex.Lock()
	_, busy := process.streams[inquiry.ID]
	if !busy {
		process.streams[inquiry.ID] = stream
	}
	process.mutex.Unlock()
	if busy {
		answer(writer, http.StatusConflict, ReplyLine{Inquiry: inquiry.ID, Final: pass.Refused, Ran: &never, Type: trouble.Duplicate, Detail: "the inquiry is under way"})
		return
	}
	defer func() {
		process.mutex.Lock()
		delete(process.streams, inquiry.ID)
		process.mutex.Unlock()
	}()
	process.apply(pass.Event{Kind: pass.InquiryArrived, Inquiry: inquiry})
	process.reply(writer, inbound, stream, body, inquiry, passed)
}

func (process *Process) reply(writer http.ResponseWriter, inbound *http.Request, stream *stream, body []byte, inquiry *pass.Inquiry, passed bool) {
	flusher := http.NewResponseController(writer)
	for {
		decision, found := stream.next()
		if !found {
			select {
			case <-stream.woken:
			case <-inbound.Context().Done():
				process.apply(pass.Event{Kind: pass.OriginLeft, ID: inquiry.ID})
				return
			case <-process.tomb.Dying():
				// The process ends in the middle: what happened to the run is
				// not known here any more.
				if stream.sent == 0 {
					answer(writer, http.StatusGatewayTimeout, ReplyLine{Inquiry: inquiry.ID, Final: pass.Unknown, Type: trouble.Draining})
				} else {
					_, _ = writer.Write(ReplyLine{Inquiry: inquiry.ID, Final: pass.Failed, Type: trouble.Draining, Pieces: stream.sent}.encode())
				}
				return
			}
			continue
		}
		if decision.Kind == pass.PassOn {
			process.passOn(writer, inbound, body, inquiry, passed)
			return
		}
		line := lineOf(decision)
		if decision.Kind == pass.SendPiece {
			if decision.Piece == 1 {
				writer.Header().Set("Content-Type", "application/jsonl")
				writer.WriteHeader(http.StatusOK)
			}
			_, _ = writer.Write(line.encode())
			_ = flusher.Flush()
			continue
		}
		process.ledger.Note(process.clock.Wall(), usage.Row{Courier: process.chosen.Name, Service: inquiry.Service, Origin: inquiry.Origin,
			Final: string(decision.Final), PromptTokens: int64(inquiry.PromptTokens), Pieces: int64(decision.Pieces)})
		if decision.Pieces > 0 {
			_, _ = writer.Write(line.encode())
			return
		}
		answer(writer, statusOf(line), line)
		return
	}
}

func (process *Process) getTrace(writer http.ResponseWriter, inbound *http.Request) {
	folded, found := process.journal.fold(pat.Param(inbound, "id"), process.supported)
	if !found {
		answer(writer, http.StatusNotFound, ReplyLine{Inquiry: folded.Inquiry, Type: trouble.NoSuch, Detail: "this courier's journal has nothing of it"})
		return
	}
	answerJSON(writer, http.StatusOK, folded)
}

func (process *Process) getReady(writer http.ResponseWriter, _ *http.Request) {
	now := process.clock.Now()
	process.mutex.Lock()
	servers := len(process.servers)
	process.mutex.Unlock()
	version := process.inForce()
	content := map[string]any{"ready": now.Before(process.core.HoldEnds()) && servers > 0 && !process.core.Draining(), "configuration": version.String(),
		"servers": servers, "restricted": process.core.Restricted()}
	status := http.StatusOK
	if content["ready"] == false {
		status = http.StatusServiceUnavailable
	}
	answerJSON(writer, status, content)
}

func (process *Process) getMetrics(writer http.ResponseWriter, _ *http.Request) {
	writer.Header().Set("Content-Type", "text/plain; version=0.0.4")
	counts := process.core.Counts()
	counts["configuration_number"] = int64(process.inForce().Number)
	if process.core.Restricted() {
		counts["restricted"] = 1
	}
	counts["hold_left_milliseconds"] = max(0, process.core.HoldEnds().Sub(process.clock.Now()).Milliseconds())
	counts["news_silence_milliseconds"] = min(time.Hour.Milliseconds(), process.clock.Now().Sub(process.followed.Heard()).Milliseconds())
	names := make([]string, 0, len(counts))
	for name := range counts {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		_, _ = io.WriteString(writer, "seamloom_"+name+" "+strconv.FormatInt(counts[name], 10)+"\n")
	}
}

// NewInquiryID makes an id that tells when it was made.
//
// Example:
//
//	id := courier.NewInquiryID()
func NewInquiryID() string { return uuid.Must(uuid.NewV7()).String() }
