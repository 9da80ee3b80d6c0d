// Package wire has the messages between seamloom's own processes, their paths, and the client
// and handlers that carry them as msgpack. It has no logic: the control plane and the data
// plane know wire, and never one another. Field tags and paths are the protocol: other
// releases of the fleet read them, so they keep their first names.
package wire

import (
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"seamloom.example/seamloom/internal/failure"
)

// Client is the port to other processes. A call ends within its timeout. An error with the
// code Unreachable or Garbage says that there was no response: whether the request was carried
// out is not known. All other codes are the receiver's own.
type Client interface {
	CallRaw(address, path string, body []byte, timeout time.Duration) ([]byte, error)
}

// Call sends a request and decodes the response, within the timeout. A nil response is not
// decoded. Errors are the client's, and Garbage for what can't be encoded or decoded.
func Call(client Client, address, path string, request, response any, timeout time.Duration) error {
	body, err := msgpack.Marshal(request)
	if err != nil {
		return failure.Wrap(failure.Garbage, err)
	}
	encoded, err := client.CallRaw(address, path, body, timeout)
	if err != nil || response == nil {
		return err
	}
	return failure.Wrap(failure.Garbage, msgpack.Unmarshal(encoded, response))
}

// Handler turns an encoded request into an encoded response.
type Handler func(body []byte) ([]byte, error)

// HandlerFor encodes and decodes for a function of typed messages. What can't be encoded or
// decoded fails with Garbage.
func HandlerFor[Request, Response any](serve func(request Request) (Response, error)) Handler {
	return func(body []byte) ([]byte, error) {
		var req Request
		if err := msgpack.Unmarshal(body, &req); err != nil {
			return nil, failure.Wrap(failure.Garbage, err)
		}
		response, err := serve(req)
		if err != nil {
			return nil, err
		}
		encoded, err := msgpack.Marshal(response)
		return encoded, failure.Wrap(failure.Garbage, err)
	}
}

// Handlers are a process's handlers of these messages, by path.
type Handlers map[string]Handler

// Handle serves one message. It fails with NoSuch for an unknown path.
func (h Handlers) Handle(path string, body []byte) ([]byte, error) {
	handler, found := h[path]
	if !found {
		return nil, failure.New(failure.NoSuch, "no such path: "+path)
	}
	return handler(body)
}

// Empty is a message without content.
type Empty struct{}
