package codec

// StreamMessage is one line of a streamed reply that one node forwards to another.
type StreamMessage struct {
	Request string `msgpack:"inquiry"`
	Line    []byte `msgpack:"line"`
	Status  int    `msgpack:"status"`
	Retry   int    `msgpack:"retry"`
}

// EncodeStreamMessage returns the message's record.
func EncodeStreamMessage(message StreamMessage, writer string, number uint64) (Record, error) {
	record := NewRecord(StreamRecord, message.Request, writer, number)
	return record, record.Put("stream", message)
}

// DecodeStreamMessage decodes a message's record. An error has the code Garbage.
func DecodeStreamMessage(record Record) (StreamMessage, error) {
	var message StreamMessage
	_, err := record.decodeNewest(nil, format{"", "stream", &message})
	return message, err
}
