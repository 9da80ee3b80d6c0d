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

// The headers that hold the fields of wire.Forwarding in a forwarded request.
const (
	nonceHeader       = "Seamloom-Passage"
	incarnationHeader = "Seamloom-Incarnation"
)

// writeJSON responds with a status and the content as JSON.
func writeJSON(writer http.ResponseWriter, status int, content any) {
	writer.Header().Set("Content-Type", "application/json")
	writer.WriteHeader(status)
	_ = json.NewEncoder(writer).Encode(content)
}

// forwarder implements dataplane.Forwarder over HTTP.
type forwarder struct {
	client *http.Client
	ctx    context.Context
}

// Forward forwards a request to the router at the address, and passes the records of the reply to onRecord
// until onRecord returns false, the reply ends or the client is gone. It reports whether any part of the
// request may have been sent: false means that certainly nothing was sent.
func (f *forwarder) Forward(
	address string,
	forwarding wire.Forwarding,
	body []byte,
	onClientGone func(callback func()),
	onRecord func(record codec.Record) bool,
) bool {
	var sent atomic.Bool
	// Cancelling the context closes the connection when the reply has ended or the client is gone.
	ctx, cancel := context.WithCancel(f.ctx)
	defer cancel()
	onClientGone(cancel)
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{WroteHeaderField: func(string, []string) { sent.Store(true) }})
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+wire.ForwardPath, bytes.NewReader(body))
	if err != nil {
		return false
	}
	request.Header.Set(nonceHeader, forwarding.Nonce)
	request.Header.Set(incarnationHeader, forwarding.Incarnation)
	response, err := f.client.Do(request)
	if err != nil {
		return sent.Load()
	}
	defer func() { _ = response.Body.Close() }()
	decoder := msgpack.NewDecoder(io.LimitReader(response.Body, rpc.MaxMessageBytes))
	for {
		var record codec.Record
		if decoder.Decode(&record) != nil || !onRecord(record) {
			return true
		}
	}
}
