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
	nonceHeader       = "Seamloom-Passage"
	incarnationHeader = "Seamloom-Incarnation"
)

func writeJSON(writer http.ResponseWriter, status int, content any) {
	writer.Header().Set("Content-Type", "application/json")
	writer.WriteHeader(status)
	_ = json.NewEncoder(writer).Encode(content)
}

// forwarder carries requests to other routers over HTTP.
type forwarder struct {
	client *http.Client
	ctx    context.Context
}

// Forward sends a request on and gives the records of its reply to take.
func (p *forwarder) Forward(address string, forwarding wire.Forwarding, body []byte, onClientGone func(act func()), take func(record codec.Record) bool) bool {
	var touched atomic.Bool
	// The connection closes when the reply is over or its origin is gone.
	ctx, cancel := context.WithCancel(p.ctx)
	defer cancel()
	onClientGone(cancel)
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{WroteHeaderField: func(string, []string) { touched.Store(true) }})
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+wire.ForwardPath, bytes.NewReader(body))
	if err != nil {
		return false
	}
	request.Header.Set(nonceHeader, forwarding.Nonce)
	request.Header.Set(incarnationHeader, forwarding.Incarnation)
	response, err := p.client.Do(request)
	if err != nil {
		return touched.Load()
	}
	defer func() { _ = response.Body.Close() }()
	decoder := msgpack.NewDecoder(io.LimitReader(response.Body, rpc.MaxMessageBytes))
	for {
		var record codec.Record
		if decoder.Decode(&record) != nil || !take(record) {
			return true
		}
	}
}
