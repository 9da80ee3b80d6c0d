// Package hatch owns what seamloom's processes say to each other, and how each
// side acts on it: following the primary's news, granting holds, answering
// claims, waiting for lagging routers, giving duties, passing on. Threads,
// time, disks and connections are ports, so that a simulation runs this very code.
package wire

import (
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"seamloom.example/seamloom/internal/failure"
)

// Client is the port to other processes. A call ends within its patience; a
// failure of kind Unreachable or Garbage says that no answer was had.
type Client interface {
	CallRaw(address, path string, body []byte, timeout time.Duration) ([]byte, error)
}

// Call sends a message and reads the answer, within the patience.
func Call(client Client, address, path string, request, response any, timeout time.Duration) error {
	body, err := msgpack.Marshal(request)
	if err != nil {
		return failure.Wrap(failure.Garbage, err)
	}
	answered, err := client.CallRaw(address, path, body, timeout)
	if err != nil || response == nil {
		return err
	}
	return failure.Wrap(failure.Garbage, msgpack.Unmarshal(answered, response))
}

// answerer turns an encoded question into an encoded answer.
type Handler func(body []byte) ([]byte, error)

func HandlerFor[Request, Response any](response func(request Request) (Response, error)) Handler {
	return func(body []byte) ([]byte, error) {
		var req Request
		if err := msgpack.Unmarshal(body, &req); err != nil {
			return nil, failure.Wrap(failure.Garbage, err)
		}
		said, err := response(req)
		if err != nil {
			return nil, err
		}
		encoded, err := msgpack.Marshal(said)
		return encoded, failure.Wrap(failure.Garbage, err)
	}
}

// Handlers holds what a process answers on its hotline, by path.
type Handlers map[string]Handler

// Handle answers one message.
func (a Handlers) Handle(path string, body []byte) ([]byte, error) {
	response, found := a[path]
	if !found {
		return nil, failure.New(failure.NoSuch, "no such path: "+path)
	}
	return response(body)
}

// nothing is an answer without content.
type Empty struct{}
