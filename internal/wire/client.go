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
	CallRaw(address, path string, body []byte, patience time.Duration) ([]byte, error)
}

// Call sends a message and reads the answer, within the patience.
func Call(line Client, address, path string, question, answer any, patience time.Duration) error {
	body, err := msgpack.Marshal(question)
	if err != nil {
		return failure.Wrap(failure.Garbage, err)
	}
	answered, err := line.CallRaw(address, path, body, patience)
	if err != nil || answer == nil {
		return err
	}
	return failure.Wrap(failure.Garbage, msgpack.Unmarshal(answered, answer))
}

// answerer turns an encoded question into an encoded answer.
type Handler func(body []byte) ([]byte, error)

func HandlerFor[Question, Answer any](answer func(question Question) (Answer, error)) Handler {
	return func(body []byte) ([]byte, error) {
		var question Question
		if err := msgpack.Unmarshal(body, &question); err != nil {
			return nil, failure.Wrap(failure.Garbage, err)
		}
		said, err := answer(question)
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
	answer, found := a[path]
	if !found {
		return nil, failure.New(failure.NoSuch, "no such path: "+path)
	}
	return answer(body)
}

// nothing is an answer without content.
type Empty struct{}
