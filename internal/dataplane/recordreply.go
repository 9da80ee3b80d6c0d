package dataplane

import (
	"seamloom.example/seamloom/internal/codec"
)

// RecordReply turns the lines of a reply into stream records, for the router
// that passed the request on.
type RecordReply struct {
	Request string
	Writer  string
	// Send brings a record to that router.
	Send func(record codec.Record) error
	// ClientGone is how its origin's leaving is heard.
	ClientGone func(act func())

	status int
	retry  int
	number uint64
}

// Begin keeps the status for the records.
func (r *RecordReply) Begin(status, retrySeconds int) {
	r.status, r.retry = status, retrySeconds
}

// Line sends one line as a record.
func (r *RecordReply) Line(line []byte) error {
	r.number++
	record, err := codec.EncodeStreamMessage(codec.StreamMessage{Request: r.Request, Line: line, Status: r.status, Retry: r.retry}, r.Writer, r.number)
	if err != nil {
		return err
	}
	return r.Send(record)
}

// OnClientGone has act called when the origin closes its connection.
func (r *RecordReply) OnClientGone(act func()) { r.ClientGone(act) }
