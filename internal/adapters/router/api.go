package router

import (
	"io"
	"net/http"
	"sort"
	"strconv"
	"time"

	"github.com/vmihailenco/msgpack/v5"
	"goji.io"
	"goji.io/pat"

	"seamloom.example/seamloom/internal/adapters/rpc"
	"seamloom.example/seamloom/internal/auction"
	"seamloom.example/seamloom/internal/codec"
	"seamloom.example/seamloom/internal/dataplane"
	"seamloom.example/seamloom/internal/failure"
	"seamloom.example/seamloom/internal/wire"
)

func (p *Process) mux() http.Handler {
	mux := goji.NewMux()
	mux.HandleFunc(pat.Post("/v1/inquiries"), func(writer http.ResponseWriter, inbound *http.Request) {
		p.serveRequest(writer, inbound, nil)
	})
	mux.HandleFunc(pat.Post(wire.ForwardPath), func(writer http.ResponseWriter, inbound *http.Request) {
		p.serveRequest(writer, inbound, &wire.Forwarding{Nonce: inbound.Header.Get(passageHeader), Incarnation: inbound.Header.Get(incarnationHeader)})
	})
	mux.HandleFunc(pat.Get("/v1/inquiries/:id"), p.getTrace)
	mux.HandleFunc(pat.Get("/v1/health"), func(writer http.ResponseWriter, _ *http.Request) {
		answerJSON(writer, http.StatusOK, map[string]any{"healthy": true})
	})
	mux.HandleFunc(pat.Get("/v1/usage"), func(writer http.ResponseWriter, _ *http.Request) {
		answerJSON(writer, http.StatusOK, p.ledger.Rows())
	})
	mux.HandleFunc(pat.Get("/v1/ready"), p.getReady)
	mux.HandleFunc(pat.Get("/v1/metrics"), p.getMetrics)
	for path, answer := range p.conduct.Handlers() {
		mux.Handle(pat.Post(path), rpc.Answerer(answer))
	}
	return mux
}

// serveRequest takes a request from its origin, or from a restricted router
// that passed it on; one that was forwarded is not forwarded again.
func (p *Process) serveRequest(writer http.ResponseWriter, inbound *http.Request, passage *wire.Forwarding) {
	body, err := io.ReadAll(http.MaxBytesReader(writer, inbound.Body, dataplane.MostRequestBytes))
	if err != nil {
		refuse(writer, failure.At(failure.Oversize, "/", err.Error()))
		return
	}
	request, err := dataplane.ReadRequest(p.clock.Now(), body)
	if err != nil {
		refuse(writer, err)
		return
	}
	client := &reply{writer: writer, flusher: http.NewResponseController(writer), inbound: inbound}
	arrival := dataplane.Arrival{Request: request, Body: body, Forwarding: passage}
	if passage == nil {
		p.conduct.Serve(arrival, client)
		return
	}
	writer.Header().Set("Content-Type", "application/msgpack")
	encoder := msgpack.NewEncoder(writer)
	p.conduct.Serve(arrival, &dataplane.RecordReply{Request: request.ID, Writer: p.chosen.Name, Left: client.OnClientGone, Send: func(record codec.Record) error {
		if err := encoder.Encode(record); err != nil {
			return err
		}
		return client.flusher.Flush()
	}})
}

// refuse answers what is no request.
func refuse(writer http.ResponseWriter, err error) {
	never := false
	line := dataplane.ReplyLine{Final: auction.Refused, Ran: &never, Type: failure.CodeOf(err), Detail: err.Error()}
	status := http.StatusBadRequest
	if line.Type == failure.Oversize {
		status = http.StatusRequestEntityTooLarge
	}
	answerJSON(writer, status, line)
}

func (p *Process) getTrace(writer http.ResponseWriter, inbound *http.Request) {
	folded, found := p.conduct.Journal().Fold(pat.Param(inbound, "id"), p.supported)
	if !found {
		answerJSON(writer, http.StatusNotFound, dataplane.ReplyLine{Request: folded.Request, Type: failure.NoSuch, Detail: "this courier's journal has nothing of it"})
		return
	}
	answerJSON(writer, http.StatusOK, folded)
}

func (p *Process) getReady(writer http.ResponseWriter, _ *http.Request) {
	now := p.clock.Now()
	servers := len(p.conduct.Servers())
	version := p.conduct.InForce()
	content := map[string]any{"ready": now.Before(p.conduct.Core().ServesUntil()) && servers > 0 && !p.conduct.Core().Draining(), "configuration": version.String(),
		"servers": servers, "restricted": p.conduct.Core().Restricted()}
	status := http.StatusOK
	if content["ready"] == false {
		status = http.StatusServiceUnavailable
	}
	answerJSON(writer, status, content)
}

func (p *Process) getMetrics(writer http.ResponseWriter, _ *http.Request) {
	writer.Header().Set("Content-Type", "text/plain; version=0.0.4")
	counts := p.conduct.Core().Counts()
	counts["configuration_number"] = int64(p.conduct.InForce().Number)
	if p.conduct.Core().Restricted() {
		counts["restricted"] = 1
	}
	counts["hold_left_milliseconds"] = max(0, p.conduct.Core().LeaseEnds().Sub(p.clock.Now()).Milliseconds())
	counts["news_silence_milliseconds"] = min(time.Hour.Milliseconds(), p.clock.Now().Sub(p.conduct.Heard()).Milliseconds())
	names := make([]string, 0, len(counts))
	for name := range counts {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		_, _ = io.WriteString(writer, "seamloom_"+name+" "+strconv.FormatInt(counts[name], 10)+"\n")
	}
	if p.calls.intake != nil {
		p.calls.intake.WriteMetrics(writer)
	}
}
