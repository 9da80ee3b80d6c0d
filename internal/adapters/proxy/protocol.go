// Package proxy is the router's HTTP/1.1 reverse proxy for opaque calls: requests whose
// method, path and body are forwarded from a client to a model server unchanged. Protocol
// holds the names of headers and fields. Frontend listens for clients, Handler reads a call
// and forwards it, and Pool keeps the idle connections to servers. Package scheduler decides
// which server gets a call and whether the call is retried. Package dataplane executes these
// decisions: its Calls is the CallExecutor of a Handler.
package proxy

import (
	"net/http"
	"reflect"

	"go.uber.org/multierr"

	"seamloom.example/seamloom/internal/failure"
)

// Protocol holds the names that clients, routers and model servers use for a call: headers, a
// path and a field of a response.
type Protocol struct {
	// ID is the header with the ID that the client gave to this request; a server's response
	// repeats it.
	ID string
	// Limit is the header with the remaining time of the call, in milliseconds.
	Limit string
	// Model is the header that names the requested model. Tokens is the header with the number
	// of prompt tokens and the maximum number of output tokens. Parts is the header that lists
	// the segments of the prompt.
	Model  string
	Tokens string
	Parts  string
	// Target is the header that names the server that a request is for.
	Target string
	// Stage is the header that asks for one phase of the work. Its value StageRead asks for
	// the prefill only.
	Stage     string
	StageRead string
	// Source is the header that names the KV cache of a prefill: address, slash, handle.
	Source string
	// Key is the header with the client's secret key, which is never forwarded. Tenant is the
	// header in which the router names the client's tenant to a server.
	Key    string
	Tenant string
	// Revision is the header that names the version of the weights that a server must have. The
	// router does not set it, and drops it from a client's request: with the header, every server
	// could refuse the call as meant for another server.
	Revision string
	// Urgency is the header with the call's priority among the calls of a server; 0 comes first.
	Urgency string
	// NotStarted is the header with which a server promises that it has not started the call
	// and never will.
	NotStarted string
	// Load is the header with a server's numbers of running calls, waiting calls and slots.
	// Warming is the header with the milliseconds for which the server is still warming up.
	Load    string
	Warming string
	// HandlePath is the path prefix of the DELETE request that releases a handle. HandleField
	// is the field of a prefill's response that holds the handle of the KV cache.
	HandlePath  string
	HandleField string
}

// DefaultProtocol returns the default names, which docs/protocol.md describes.
func DefaultProtocol() Protocol {
	return Protocol{ID: "Seamloom-Call", Limit: "Seamloom-Limit-Milliseconds", Model: "Seamloom-Model", Tokens: "Seamloom-Tokens",
		Parts: "Seamloom-Parts", Target: "Seamloom-Server", Stage: "Seamloom-Stage", StageRead: "prefill", Source: "Seamloom-Source",
		Key: "Seamloom-Key", Tenant: "Seamloom-Tenant", Revision: "Seamloom-Revision",
		Urgency: "Seamloom-Urgency", NotStarted: "Seamloom-Not-Started", Load: "Seamloom-Load", Warming: "Seamloom-Warming-Milliseconds",
		HandlePath: "/v1/handles/", HandleField: "handle"}
}

// Check returns an error that names every field that is missing or malformed. Headers must be in
// HTTP's canonical case.
func (p Protocol) Check() error {
	var errs error
	fields := reflect.ValueOf(p)
	for position := range fields.NumField() {
		name, text := fields.Type().Field(position).Name, fields.Field(position).String()
		switch name {
		case "StageRead", "HandlePath", "HandleField":
			if text == "" {
				errs = multierr.Append(errs, failure.At(failure.Missing, "words/"+name, "must not be empty"))
			}
		default:
			if text == "" || http.CanonicalHeaderKey(text) != text {
				errs = multierr.Append(errs, failure.At(failure.Malformed, "words/"+name, "must be a header in canonical case, got \""+text+"\""))
			}
		}
	}
	return errs
}
