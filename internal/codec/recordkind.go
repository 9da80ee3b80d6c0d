package codec

// RecordKind names one of the five kinds of record whose formats roll out.
type RecordKind string

// The kinds of record.
const (
	PairRecord    RecordKind = "pair"
	OrderRecord   RecordKind = "order"
	RetryRecord   RecordKind = "retry"
	RecoverRecord RecordKind = "recover"
	StreamRecord  RecordKind = "stream"
)
