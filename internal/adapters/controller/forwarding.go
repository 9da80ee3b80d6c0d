package controller

import (
	"bytes"
	"io"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"

	"github.com/google/uuid"
	"seamloom.example/seamloom/internal/config"
	"seamloom.example/seamloom/internal/failure"
)

// onPrimary carries the call out here, or passes it to the primary once.
func (p *Process) onPrimary(answer http.HandlerFunc) http.HandlerFunc {
	return func(writer http.ResponseWriter, inbound *http.Request) {
		if _, _, err := p.conduct.Leading(); err == nil {
			answer(writer, inbound)
			return
		}
		address := p.conduct.Coordinator().Membership().Primary.Address
		if inbound.Header.Get(forwardedHeader) != "" || address == "" || address == p.conduct.Witness().Replica().Address {
			answerJSON(writer, http.StatusServiceUnavailable, operatorAnswer{Outcome: "not_accepted", Type: failure.NoPrimary, Detail: "no expediter is primary at this moment; ask again"})
			return
		}
		p.forward(writer, inbound, address)
	}
}

func (p *Process) forward(writer http.ResponseWriter, inbound *http.Request, address string) {
	body, err := io.ReadAll(http.MaxBytesReader(writer, inbound.Body, config.MostBytes+1))
	if err != nil {
		answerJSON(writer, http.StatusUnprocessableEntity, operatorAnswer{Outcome: "not_accepted", Type: failure.Oversize, Detail: err.Error()})
		return
	}
	query := inbound.URL.Query()
	reads := inbound.Method == http.MethodGet
	if !reads && query.Get("change") == "" && query.Get("builds_on") == "" {
		query.Set("change", uuid.NewString())
	}
	location := *inbound.URL
	location.Scheme, location.Host, location.RawQuery = "http", address, query.Encode()
	var touched atomic.Bool
	lifetime := httptrace.WithClientTrace(inbound.Context(), &httptrace.ClientTrace{WroteHeaderField: func(string, []string) { touched.Store(true) }})
	outbound, err := http.NewRequestWithContext(lifetime, inbound.Method, location.String(), bytes.NewReader(body))
	if err != nil {
		answerJSON(writer, http.StatusBadRequest, operatorAnswer{Outcome: "not_accepted", Type: failure.Malformed, Detail: err.Error()})
		return
	}
	outbound.Header.Set(forwardedHeader, "1")
	outbound.Header.Set("If-Match", inbound.Header.Get("If-Match"))
	answered, err := p.operatorsClient.Do(outbound)
	if err != nil {
		if reads || !touched.Load() {
			answerJSON(writer, http.StatusServiceUnavailable, operatorAnswer{Outcome: "not_accepted", Type: failure.NoPrimary, Detail: "the primary can't be reached; ask again"})
			return
		}
		answerUnknown(writer, query.Get("change"))
		return
	}
	defer func() { _ = answered.Body.Close() }()
	content, err := io.ReadAll(answered.Body)
	if err != nil {
		if reads {
			answerJSON(writer, http.StatusServiceUnavailable, operatorAnswer{Outcome: "not_accepted", Type: failure.NoPrimary, Detail: "the primary's answer broke off; ask again"})
			return
		}
		answerUnknown(writer, query.Get("change"))
		return
	}
	writer.Header().Set("Content-Type", answered.Header.Get("Content-Type"))
	writer.WriteHeader(answered.StatusCode)
	_, _ = writer.Write(content)
}

func answerUnknown(writer http.ResponseWriter, change string) {
	answerJSON(writer, http.StatusServiceUnavailable, operatorAnswer{Outcome: "unknown", Type: failure.Unknown, Change: change,
		Detail: "it can't be known yet whether the change was accepted", How: "GET /v1/changes/" + change})
}
