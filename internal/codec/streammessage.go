package codec

// StreamMessage is one line of a reply on its way between two nodes.
type StreamMessage struct {
	Request string `msgpack:"inquiry"`
	Line    []byte `msgpack:"line"`
	Status  int    `msgpack:"status"`
	Retry   int    `msgpack:"retry"`
}

// EncodeStreamMessage makes the message's record.
func EncodeStreamMessage(message StreamMessage, writer string, number uint64) (Record, error) {
	record := NewRecord(StreamRecord, message.Request, writer, number)
	return record, record.Put("stream", message)
}

// DecodeStreamMessage reads the message's record. An error has the code Garbage.
func DecodeStreamMessage(record Record) (StreamMessage, error) {
	var message StreamMessage
	_, err := record.decodeNewest(nil, format{"", "stream", &message})
	return message, err
}
