package router

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"

	"github.com/vmihailenco/msgpack/v5"

	"seamloom.example/seamloom/internal/adapters/rpc"
	"seamloom.example/seamloom/internal/codec"
	"seamloom.example/seamloom/internal/wire"
)

// The headers that mark one forwarding.
const (
	passageHeader     = "Seamloom-Passage"
	incarnationHeader = "Seamloom-Incarnation"
)

func answerJSON(writer http.ResponseWriter, status int, content any) {
	writer.Header().Set("Content-Type", "application/json")
	writer.WriteHeader(status)
	_ = json.NewEncoder(writer).Encode(content)
}

// passing carries requests to other routers over HTTP.
type passing struct {
	client   *http.Client
	lifetime context.Context
}

// Forward sends a request on and gives the records of its reply to take.
func (p *passing) Forward(address string, passage wire.Forwarding, body []byte, whenLeft func(act func()), take func(record codec.Record) bool) bool {
	var touched atomic.Bool
	// The connection closes when the reply is over or its origin is gone.
	lifetime, end := context.WithCancel(p.lifetime)
	defer end()
	whenLeft(end)
	lifetime = httptrace.WithClientTrace(lifetime, &httptrace.ClientTrace{WroteHeaderField: func(string, []string) { touched.Store(true) }})
	outbound, err := http.NewRequestWithContext(lifetime, http.MethodPost, "http://"+address+wire.ForwardPath, bytes.NewReader(body))
	if err != nil {
		return false
	}
	outbound.Header.Set(passageHeader, passage.Nonce)
	outbound.Header.Set(incarnationHeader, passage.Incarnation)
	answered, err := p.client.Do(outbound)
	if err != nil {
		return touched.Load()
	}
	defer func() { _ = answered.Body.Close() }()
	decoder := msgpack.NewDecoder(io.LimitReader(answered.Body, rpc.MostBytes))
	for {
		var record codec.Record
		if decoder.Decode(&record) != nil || !take(record) {
			return true
		}
	}
}
