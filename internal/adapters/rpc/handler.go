package rpc

import (
	stderrors "errors"
	"io"
	"net/http"

	"github.com/vmihailenco/msgpack/v5"

	"seamloom.example/seamloom/internal/failure"
)

// Handler makes an HTTP handler of what answers encoded messages.
func Handler(answer func(body []byte) ([]byte, error)) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, inbound *http.Request) {
		body, err := io.ReadAll(http.MaxBytesReader(writer, inbound.Body, MaxMessageBytes))
		var encoded []byte
		switch {
		case err != nil:
			err = failure.Wrap(failure.Oversize, err)
		case inbound.Header.Get(checksumHeader) != checksum(body):
			err = failure.New(failure.Garbage, "the question's checksum is wrong")
		default:
			if body, err = decompress(body, inbound.Header); err == nil {
				encoded, err = answer(body)
			}
		}
		status := http.StatusOK
		if err != nil {
			status = http.StatusConflict
			remote := &failure.Error{}
			if !stderrors.As(err, &remote) {
				remote = failure.New(failure.Unsorted, err.Error())
			}
			encoded, _ = msgpack.Marshal(remote)
		}
		header := writer.Header()
		encoded = compressFor(encoded, inbound.Header, header)
		header.Set("Accept-Encoding", encodingS2)
		header.Set("Content-Type", "application/msgpack")
		header.Set(checksumHeader, checksum(encoded))
		// Nobody reads the date, and there are many messages.
		header["Date"] = nil
		writer.WriteHeader(status)
		_, _ = writer.Write(encoded)
	})
}
