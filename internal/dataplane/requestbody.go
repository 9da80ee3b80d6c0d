package dataplane

import (
	"strconv"
	"time"
	"unicode/utf8"

	"github.com/google/uuid"
	"github.com/valyala/fastjson"
	"go.uber.org/multierr"

	"seamloom.example/seamloom/internal/auction"
	"seamloom.example/seamloom/internal/failure"
)

// MaxRequestBytes is the maximum size of a request's body.
const MaxRequestBytes = 4 << 20

// tokenBytes is the assumed number of bytes per token, for a prompt whose number of tokens the
// client does not give.
const tokenBytes = 4

// ReadRequest parses and validates a request's body. Its error lists all fields that can't be
// parsed or, if all fields can be parsed, all that are invalid.
func ReadRequest(now time.Time, body []byte) (*auction.Request, error) {
	root, err := fastjson.ParseBytes(body)
	if err != nil || !utf8.Valid(body) {
		return nil, failure.At(failure.Malformed, "/", "the body is not valid JSON")
	}
	object, err := root.Object()
	if err != nil {
		return nil, failure.At(failure.WrongType, "/", "the body must be an object")
	}
	parser := newRequestParser()
	object.Visit(func(key []byte, value *fastjson.Value) { parser.parseField(string(key), value) })
	if parser.failures != nil {
		return nil, parser.failures
	}
	parser.validate()
	if parser.limit > 0 {
		parser.request.Deadline = now.Add(time.Duration(parser.limit) * time.Millisecond)
	}
	return parser.request, parser.failures
}

// requestParser parses the fields of one request's body and collects their failures.
type requestParser struct {
	request *auction.Request
	// limit is the time limit in milliseconds; zero if none is given.
	limit int
	// texts and numbers map the names of fields to the variables that hold them.
	texts    map[string]*string
	numbers  map[string]*int
	failures error
}

func newRequestParser() *requestParser {
	request := &auction.Request{Idempotent: true, PromptTokens: -1, Chunks: 1}
	parser := &requestParser{request: request}
	parser.texts = map[string]*string{
		"id":      &request.ID,
		"service": &request.Service,
		"origin":  &request.Client,
		"prompt":  &request.Prompt,
		"prefix":  &request.Prefix,
	}
	parser.numbers = map[string]*int{
		"limit_milliseconds": &parser.limit,
		"prompt_tokens":      &request.PromptTokens,
		"prefix_tokens":      &request.PrefixTokens,
		"pieces":             &request.Chunks,
	}
	return parser
}

// maxRequestNumber is the maximum of each number in a request.
const maxRequestNumber = 100_000_000

// parseField parses one field.
func (r *requestParser) parseField(name string, value *fastjson.Value) {
	if target, found := r.texts[name]; found {
		text, err := value.StringBytes()
		if err != nil {
			r.addFailure(failure.WrongType, "/"+name, "the field must be a string")
			return
		}
		*target = string(text)
		return
	}
	if target, found := r.numbers[name]; found {
		number, err := value.Int()
		if err != nil || number < 0 || number > maxRequestNumber {
			r.addFailure(failure.WrongType, "/"+name, "the field must be an integer from 0 to 100000000")
			return
		}
		*target = number
		return
	}
	if name != "repeatable" {
		r.addFailure(failure.UnknownField, "/"+name, "the field is unknown")
		return
	}
	idempotent, err := value.Bool()
	if err != nil {
		r.addFailure(failure.WrongType, "/repeatable", "the field must be true or false")
		return
	}
	r.request.Idempotent = idempotent
}

// validate checks required fields and the consistency of all fields, and estimates the number
// of prompt tokens if it is not given.
func (r *requestParser) validate() {
	request := r.request
	if request.Service == "" {
		r.addFailure(failure.Missing, "/service", "the service is missing")
	}
	if request.ID == "" || len(request.ID) > 128 {
		r.addFailure(failure.Missing, "/id", "the id must have 1 to 128 bytes")
	} else if !request.Idempotent {
		if _, err := RequestIDTime(request.ID); err != nil {
			r.failures = multierr.Append(r.failures, err)
		}
	}
	if request.PromptTokens < 0 {
		request.PromptTokens = len(request.Prompt)/tokenBytes + 1
	}
	if request.PrefixTokens > request.PromptTokens {
		r.addFailure(failure.Contradictory, "/prefix_tokens",
			"the prefix must not have more tokens than the prompt, which has "+strconv.Itoa(request.PromptTokens))
	}
	if request.Chunks < 1 {
		r.addFailure(failure.OutOfRange, "/pieces", "the reply must have at least one chunk")
	}
}

func (r *requestParser) addFailure(code failure.Code, path, detail string) {
	r.failures = multierr.Append(r.failures, failure.At(code, path, detail))
}

// RequestIDTime returns when the ID of a request that is not idempotent was created. Such IDs
// are UUIDs of version 7, which contain a timestamp, so that old requests can be refused.
func RequestIDTime(id string) (time.Time, error) {
	parsed, err := uuid.Parse(id)
	if err != nil || parsed.Version() != 7 {
		return time.Time{}, failure.At(failure.Malformed, "/id", "the id of a request that is not idempotent must be a UUID of version 7")
	}
	seconds, nanoseconds := parsed.Time().UnixTime()
	return time.Unix(seconds, nanoseconds), nil
}

// NewRequestID returns a new ID that contains its time of creation.
func NewRequestID() string { return uuid.Must(uuid.NewV7()).String() }
