// Package wire defines the messages between seamloom's own processes, their paths, and the client and the
// handlers that transfer them as msgpack. It contains no logic of either plane: the control plane and the
// data plane both import wire and never import each other. The field tags and paths are part of the
// protocol. They keep the names of the first release, because processes of other releases use them.
package wire

import (
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"seamloom.example/seamloom/internal/failure"
)

// Client sends encoded requests to other processes and returns their responses. A call ends within its timeout.
// An error with the code Unreachable or Garbage means that there was no valid response, and that the receiver may
// or may not have carried out the request. Errors with other codes come from the receiver.
type Client interface {
	CallRaw(address, path string, body []byte, timeout time.Duration) ([]byte, error)
}

// Call sends a request and decodes the response, within the timeout. If response is nil, the body of the
// response is not decoded. Errors come from the client, or have the code Garbage if the request can't be
// encoded or the response can't be decoded.
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

// HandlerFor returns a handler that decodes a request, passes it to serve and encodes the response. The
// handler fails with Garbage if the request can't be decoded or the response can't be encoded.
func HandlerFor[Request, Response any](serve func(request Request) (Response, error)) Handler {
	return func(body []byte) ([]byte, error) {
		var request Request
		if err := msgpack.Unmarshal(body, &request); err != nil {
			return nil, failure.Wrap(failure.Garbage, err)
		}
		response, err := serve(request)
		if err != nil {
			return nil, err
		}
		encoded, err := msgpack.Marshal(response)
		return encoded, failure.Wrap(failure.Garbage, err)
	}
}

// Handlers holds a process's handlers of the messages in this package, by path.
type Handlers map[string]Handler

// Handle passes a message to the handler for the path. It fails with NoSuch for an unknown path.
func (h Handlers) Handle(path string, body []byte) ([]byte, error) {
	handler, found := h[path]
	if !found {
		return nil, failure.New(failure.NoSuch, "no such path: "+path)
	}
	return handler(body)
}

// Empty is a message without content.
type Empty struct{}
