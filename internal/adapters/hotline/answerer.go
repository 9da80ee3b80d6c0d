package hotline

import (
	"context"
	stderrors "errors"
	"io"
	"net/http"

	"github.com/vmihailenco/msgpack/v5"

	"seamloom.example/seamloom/internal/trouble"
)

// Answerer makes an HTTP handler of a function from question to answer.
//
// Example:
//
//	mux.Handle(pat.Post("/hotline/hello"), hotline.Answerer(func(lifetime context.Context, hello larder.Hello) (larder.Hello, error) { ... }))
func Answerer[Question, Answer any](answer func(lifetime context.Context, question Question) (Answer, error)) http.Handler {
	return RawAnswerer(func(lifetime context.Context, body []byte) ([]byte, error) {
		var question Question
		if failure := msgpack.Unmarshal(body, &question); failure != nil {
			return nil, trouble.Wrap(trouble.Garbage, failure)
		}
		said, failure := answer(lifetime, question)
		if failure != nil {
			return nil, failure
		}
		encoded, failure := msgpack.Marshal(said)
		return encoded, trouble.Wrap(trouble.Garbage, failure)
	})
}

// RawAnswerer is an Answerer for encoded messages.
//
// Example:
//
//	mux.Handle(pat.Post("/hotline/relay"), hotline.RawAnswerer(relay))
func RawAnswerer(answer func(lifetime context.Context, body []byte) ([]byte, error)) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, inbound *http.Request) {
		body, failure := io.ReadAll(http.MaxBytesReader(writer, inbound.Body, MostBytes))
		var encoded []byte
		switch {
		case failure != nil:
			failure = trouble.Wrap(trouble.Oversize, failure)
		case inbound.Header.Get(checksumHeader) != checksum(body):
			failure = trouble.New(trouble.Garbage, "the question's checksum is wrong")
		default:
			encoded, failure = answer(inbound.Context(), body)
		}
		status := http.StatusOK
		if failure != nil {
			status = http.StatusConflict
			said := &trouble.Trouble{}
			if !stderrors.As(failure, &said) {
				said = trouble.New(trouble.Unsorted, failure.Error())
			}
			encoded, _ = msgpack.Marshal(said)
		}
		writer.Header().Set("Content-Type", "application/msgpack")
		writer.Header().Set(checksumHeader, checksum(encoded))
		writer.WriteHeader(status)
		_, _ = writer.Write(encoded)
	})
}
