package hatch

import (
	"seamloom.example/seamloom/internal/codec"
)

// RecordReply turns the lines of a reply into stream records, for the courier
// that passed the inquiry on.
type RecordReply struct {
	Request string
	Writer  string
	// Send brings a record to that courier.
	Send func(record codec.Record) error
	// Left is how its origin's leaving is heard.
	Left func(act func())

	status int
	retry  int
	number uint64
}

// Begin keeps the status for the records.
func (reply *RecordReply) Begin(status, retrySeconds int) {
	reply.status, reply.retry = status, retrySeconds
}

// Line sends one line as a record.
func (reply *RecordReply) Line(line []byte) error {
	reply.number++
	record, err := codec.WriteStreamMessage(codec.StreamMessage{Request: reply.Request, Line: line, Status: reply.status, Retry: reply.retry}, reply.Writer, reply.number)
	if err != nil {
		return err
	}
	return reply.Send(record)
}

// WhenLeft has act called when the origin closes its circuit.
func (reply *RecordReply) WhenLeft(act func()) { reply.Left(act) }
