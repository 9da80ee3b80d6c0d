package hotline

import (
	stderrors "errors"
	"io"
	"net/http"

	"github.com/vmihailenco/msgpack/v5"

	"seamloom.example/seamloom/internal/trouble"
)

// Answerer makes an HTTP handler of what answers encoded messages.
//
// Example:
//
//	mux.Handle(pat.Post(path), hotline.Answerer(answer))
func Answerer(answer func(body []byte) ([]byte, error)) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, inbound *http.Request) {
		body, failure := io.ReadAll(http.MaxBytesReader(writer, inbound.Body, MostBytes))
		var encoded []byte
		switch {
		case failure != nil:
			failure = trouble.Wrap(trouble.Oversize, failure)
		case inbound.Header.Get(checksumHeader) != checksum(body):
			failure = trouble.New(trouble.Garbage, "the question's checksum is wrong")
		default:
			if body, failure = unpack(body, inbound.Header); failure == nil {
				encoded, failure = answer(body)
			}
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
		header := writer.Header()
		encoded = pack(encoded, inbound.Header, header)
		header.Set("Accept-Encoding", packing)
		header.Set("Content-Type", "application/msgpack")
		header.Set(checksumHeader, checksum(encoded))
		// Nobody reads the date, and there are many messages.
		header["Date"] = nil
		writer.WriteHeader(status)
		_, _ = writer.Write(encoded)
	})
}
