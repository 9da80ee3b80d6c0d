// Package proxy is the router's HTTP/1.1 reverse proxy for opaque calls: method, path and
// body go from a client to a model server unchanged. Protocol names the headers. Frontend
// listens for clients, Handler reads a call, Pool keeps the connections to servers. Which
// server gets a call, and whether it is retried, is decided by package scheduler, which
// package dataplane drives through Conduct.
package proxy

import (
	"net/http"
	"reflect"

	"go.uber.org/multierr"

	"seamloom.example/seamloom/internal/failure"
)

// Protocol are the names by which origins, routers and model servers speak of a call:
// headers, a path and the fields of an answer.
type Protocol struct {
	// ID is the header with the origin's own id of this sending; a server's answer
	// has it too.
	ID string
	// Limit is the header with the milliseconds that are left.
	Limit string
	// Model is the header that names the weights wanted, Tokens the one with the
	// prompt's tokens and the most tokens out, Parts the one with the prompt's chain.
	Model  string
	Tokens string
	Parts  string
	// Target is the header that names the server meant.
	Target string
	// Stage is the header that asks for one half of the work; its value StageRead
	// asks that the prompt is read and nothing more.
	Stage     string
	StageRead string
	// Source is the header that names a prompt's memory: address, slash, handle.
	Source string
	// Key is the header with the client's secret, which goes no further; Tenant the one by which
	// a server is told whose client sent the call.
	Key    string
	Tenant string
	// Revision is the header by which a server is told the version of the weights that it must have. A router
	// sets none; a client's would have every server answer as if it were another one.
	Revision string
	// Urgency is the header with the rank among a server's calls, 0 first.
	Urgency string
	// NotStarted is the header by which a server promises that it did not begin and
	// never will.
	NotStarted string
	// Load is the header with a server's running, waiting and slots; Warming the one
	// with the milliseconds that it stays cold.
	Load    string
	Warming string
	// HandlePath goes before a handle that is given back with DELETE; HandleField is
	// the field of the answer that names a prompt's memory.
	HandlePath  string
	HandleField string
}

// DefaultProtocol are the product's own, as docs/protocol.md has them.
func DefaultProtocol() Protocol {
	return Protocol{ID: "Seamloom-Call", Limit: "Seamloom-Limit-Milliseconds", Model: "Seamloom-Model", Tokens: "Seamloom-Tokens",
		Parts: "Seamloom-Parts", Target: "Seamloom-Server", Stage: "Seamloom-Stage", StageRead: "prefill", Source: "Seamloom-Source",
		Key: "Seamloom-Key", Tenant: "Seamloom-Tenant", Revision: "Seamloom-Revision",
		Urgency: "Seamloom-Urgency", NotStarted: "Seamloom-Not-Started", Load: "Seamloom-Load", Warming: "Seamloom-Warming-Milliseconds",
		HandlePath: "/v1/handles/", HandleField: "handle"}
}

// Check names every field that is missing or malformed. Headers must be in HTTP's canonical case.
func (w Protocol) Check() error {
	var errs error
	fields := reflect.ValueOf(w)
	for position := range fields.NumField() {
		name, text := fields.Type().Field(position).Name, fields.Field(position).String()
		switch name {
		case "StageRead", "HandlePath", "HandleField":
			if text == "" {
				errs = multierr.Append(errs, failure.At(failure.Missing, "words/"+name, "a word is needed"))
			}
		default:
			if text == "" || http.CanonicalHeaderKey(text) != text {
				errs = multierr.Append(errs, failure.At(failure.Malformed, "words/"+name, "needs a header in canonical case, not \""+text+"\""))
			}
		}
	}
	return errs
}
