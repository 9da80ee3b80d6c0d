package courier

import (
	"net/http"
	"strconv"

	"github.com/vmihailenco/msgpack/v5"

	"seamloom.example/seamloom/internal/recipe"
)

// recordWriter turns the lines of a reply into stream records, for the courier
// that passed the inquiry on.
type recordWriter struct {
	target  http.ResponseWriter
	encoder *msgpack.Encoder
	inquiry string
	writer  string
	status  int
	number  uint64
}

func newRecordWriter(target http.ResponseWriter, inquiry, writer string) *recordWriter {
	target.Header().Set("Content-Type", "application/msgpack")
	return &recordWriter{target: target, encoder: msgpack.NewEncoder(target), inquiry: inquiry, writer: writer, status: http.StatusOK}
}

// Header is that of the answer that carries the records.
//
// Example:
//
//	writer.Header().Set("Retry-After", "1")
func (writer *recordWriter) Header() http.Header { return writer.target.Header() }

// WriteHeader keeps the status for the records; the answer that carries them
// is always 200.
//
// Example:
//
//	writer.WriteHeader(http.StatusTooManyRequests)
func (writer *recordWriter) WriteHeader(status int) { writer.status = status }

// Write sends one line as a record.
//
// Example:
//
//	_, failure := writer.Write(line)
func (writer *recordWriter) Write(line []byte) (int, error) {
	writer.number++
	retry, _ := strconv.Atoi(writer.target.Header().Get("Retry-After"))
	record, failure := recipe.WriteStreamMessage(recipe.StreamMessage{Inquiry: writer.inquiry, Line: line, Status: writer.status, Retry: retry}, writer.writer, writer.number)
	if failure != nil {
		return 0, failure
	}
	if failure := writer.encoder.Encode(record); failure != nil {
		return 0, failure
	}
	return len(line), nil
}

// Unwrap lets the carrying answer be flushed.
//
// Example:
//
//	http.NewResponseController(writer).Flush()
func (writer *recordWriter) Unwrap() http.ResponseWriter { return writer.target }
