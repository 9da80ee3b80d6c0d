package rpc

import (
	stderrors "errors"
	"io"
	"net/http"

	"github.com/vmihailenco/msgpack/v5"

	"seamloom.example/seamloom/internal/failure"
)

// Handler returns an HTTP handler that passes each encoded message to handle and responds with the encoded
// result, or with status 409 and an encoded failure.Error. An error of another type gets the code Unclassified.
func Handler(handle func(body []byte) ([]byte, error)) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, inbound *http.Request) {
		body, err := io.ReadAll(http.MaxBytesReader(writer, inbound.Body, MaxMessageBytes))
		var encoded []byte
		switch {
		case err != nil:
			err = failure.Wrap(failure.Oversize, err)
		case inbound.Header.Get(checksumHeader) != checksum(body):
			err = failure.New(failure.Garbage, "the checksum of the request does not match")
		default:
			if body, err = decompress(body, inbound.Header); err == nil {
				encoded, err = handle(body)
			}
		}
		status := http.StatusOK
		if err != nil {
			status = http.StatusConflict
			remote := &failure.Error{}
			if !stderrors.As(err, &remote) {
				remote = failure.New(failure.Unclassified, err.Error())
			}
			encoded, _ = msgpack.Marshal(remote)
		}
		header := writer.Header()
		encoded = compressResponse(encoded, inbound.Header, header)
		header.Set("Accept-Encoding", encodingS2)
		header.Set("Content-Type", "application/msgpack")
		header.Set(checksumHeader, checksum(encoded))
		// The Date header is omitted: no caller reads it, and messages are frequent.
		header["Date"] = nil
		writer.WriteHeader(status)
		_, _ = writer.Write(encoded)
	})
}
