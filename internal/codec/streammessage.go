package codec

// StreamMessage is one line of a reply on its way between two nodes.
type StreamMessage struct {
	Request string `msgpack:"inquiry"`
	Line    []byte `msgpack:"line"`
	Status  int    `msgpack:"status"`
	Retry   int    `msgpack:"retry"`
}

// WriteStreamMessage makes the message's record.
func WriteStreamMessage(message StreamMessage, writer string, number uint64) (Record, error) {
	record := NewRecord(StreamRecord, message.Request, writer, number)
	return record, record.Put("stream", message)
}

// ReadStreamMessage reads the message's record.
func ReadStreamMessage(record Record) (StreamMessage, error) {
	var message StreamMessage
	_, err := record.readNewest(nil, format{"", "stream", &message})
	return message, err
}
