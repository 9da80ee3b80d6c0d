package router

import (
	"fmt"
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

// mux returns the handler for requests of clients and for messages of other processes.
func (p *Process) mux() http.Handler {
	mux := goji.NewMux()
	mux.HandleFunc(pat.Post("/v1/inquiries"), func(writer http.ResponseWriter, inbound *http.Request) {
		p.serveRequest(writer, inbound, nil)
	})
	mux.HandleFunc(pat.Post(wire.ForwardPath), func(writer http.ResponseWriter, inbound *http.Request) {
		p.serveRequest(writer, inbound,
			&wire.Forwarding{Nonce: inbound.Header.Get(nonceHeader), Incarnation: inbound.Header.Get(incarnationHeader)})
	})
	mux.HandleFunc(pat.Get("/v1/inquiries/:id"), p.getTrace)
	mux.HandleFunc(pat.Get("/v1/health"), func(writer http.ResponseWriter, _ *http.Request) {
		writeJSON(writer, http.StatusOK, map[string]any{"healthy": true})
	})
	mux.HandleFunc(pat.Get("/v1/usage"), func(writer http.ResponseWriter, _ *http.Request) {
		writeJSON(writer, http.StatusOK, p.usage.Rows())
	})
	mux.HandleFunc(pat.Get("/v1/ready"), p.getReady)
	mux.HandleFunc(pat.Get("/v1/metrics"), p.getMetrics)
	for path, handler := range p.router.Handlers() {
		mux.Handle(pat.Post(path), rpc.Handler(handler))
	}
	return mux
}

// serveRequest serves a request. If forwarding is nil, the request is from a client; otherwise a restricted
// router, which lacks an enabled feature flag, has forwarded it. A forwarded request is not forwarded again.
func (p *Process) serveRequest(writer http.ResponseWriter, inbound *http.Request, forwarding *wire.Forwarding) {
	body, err := io.ReadAll(http.MaxBytesReader(writer, inbound.Body, dataplane.MaxRequestBytes))
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
	arrival := dataplane.Arrival{Request: request, Body: body, Forwarding: forwarding}
	if forwarding == nil {
		p.router.Serve(arrival, client)
		return
	}
	writer.Header().Set("Content-Type", "application/msgpack")
	encoder := msgpack.NewEncoder(writer)
	p.router.Serve(arrival, &dataplane.RecordReply{
		Request: request.ID, Writer: p.settings.Name, RegisterClientGone: client.OnClientGone,
		Send: func(record codec.Record) error {
			if err := encoder.Encode(record); err != nil {
				return err
			}
			return client.flusher.Flush()
		}})
}

// refuse responds to a request whose body is too large or invalid.
func refuse(writer http.ResponseWriter, err error) {
	ran := false
	line := dataplane.ReplyLine{Final: auction.Refused, Ran: &ran, Type: failure.CodeOf(err), Detail: err.Error()}
	status := http.StatusBadRequest
	if line.Type == failure.Oversize {
		status = http.StatusRequestEntityTooLarge
	}
	writeJSON(writer, status, line)
}

// getTrace responds with the trace of a request from this router's journal.
func (p *Process) getTrace(writer http.ResponseWriter, inbound *http.Request) {
	trace, found := p.router.Journal().Trace(pat.Param(inbound, "id"), p.supported)
	if !found {
		writeJSON(writer, http.StatusNotFound, dataplane.ReplyLine{
			Request: trace.Request, Type: failure.NoSuch, Detail: "the journal of this router has no record of the request"})
		return
	}
	writeJSON(writer, http.StatusOK, trace)
}

// getReady reports whether the router admits requests, knows servers and is not draining.
func (p *Process) getReady(writer http.ResponseWriter, _ *http.Request) {
	now := p.clock.Now()
	servers := len(p.router.Servers())
	version := p.router.InForce()
	content := map[string]any{
		"ready":         now.Before(p.router.Core().ServesUntil()) && servers > 0 && !p.router.Core().Draining(),
		"configuration": version.String(),
		"servers":       servers,
		"restricted":    p.router.Core().Restricted(),
	}
	if p.router.Follower().Membership().Blank() {
		content["waiting_for"] = "core"
	}
	status := http.StatusOK
	if content["ready"] == false {
		status = http.StatusServiceUnavailable
	}
	writeJSON(writer, status, content)
}

// getMetrics writes the router's metrics in the text format of Prometheus.
func (p *Process) getMetrics(writer http.ResponseWriter, _ *http.Request) {
	writer.Header().Set("Content-Type", "text/plain; version=0.0.4")
	counts := p.router.Core().Counts()
	counts["configuration_number"] = int64(p.router.InForce().Number)
	if p.router.Core().Restricted() {
		counts["restricted"] = 1
	}
	counts["waiting_for_core"] = 0
	if p.router.Follower().Membership().Blank() {
		counts["waiting_for_core"] = 1
	}
	counts["hold_left_milliseconds"] = max(0, p.router.Core().LeaseEnds().Sub(p.clock.Now()).Milliseconds())
	counts["news_silence_milliseconds"] = min(time.Hour.Milliseconds(), p.clock.Now().Sub(p.router.LastUpdateAt()).Milliseconds())
	names := make([]string, 0, len(counts))
	for name := range counts {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		_, _ = io.WriteString(writer, "seamloom_"+name+" "+strconv.FormatInt(counts[name], 10)+"\n")
	}
	p.ages.write(writer)
	if p.proxy.handler != nil {
		p.proxy.handler.WriteMetrics(writer)
	}
	if quotas := p.router.Quotas(); quotas != nil {
		writeQuotaMetrics(writer, quotas)
	}
}

// writeQuotaMetrics writes how many requests for tokens were sent to witnesses, how many tenants these requests
// contained in total, and, for each tenant with a limit, the fields of quota.Counts: how many of its calls took a
// token that the router already had, took a token after a request, were denied a token, or were cancelled because no
// quorum responded in time.
func writeQuotaMetrics(target io.Writer, quotas *dataplane.Quotas) {
	requests, tenants := quotas.Traffic()
	_, _ = fmt.Fprintf(target, "seamloom_quota_requests_total %d\nseamloom_quota_wants_total %d\n", requests, tenants)
	for _, counts := range quotas.Counts() {
		for _, outcome := range []struct {
			name  string
			calls uint64
		}{{"held", counts.Prefetched}, {"asked", counts.Requested}, {"denied", counts.Denied}, {"unknown", counts.Unknown}} {
			_, _ = fmt.Fprintf(target, "seamloom_tenant_calls_total{tenant=%q,token=%q} %d\n", counts.Subject, outcome.name, outcome.calls)
		}
	}
}
