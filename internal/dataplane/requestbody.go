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

// MaxRequestBytes bounds a request's body.
const MaxRequestBytes = 4 << 20

// tokenBytes is how many bytes of a prompt count as one token when the caller
// does not say how many there are.
const tokenBytes = 4

// ReadRequest checks a request's body and names all its mistakes.
func ReadRequest(now time.Time, body []byte) (*auction.Request, error) {
	root, err := fastjson.ParseBytes(body)
	if err != nil || !utf8.Valid(body) {
		return nil, failure.At(failure.Malformed, "/", "the body is no JSON")
	}
	object, err := root.Object()
	if err != nil {
		return nil, failure.At(failure.WrongType, "/", "an object is needed")
	}
	reader := newRequestReader()
	object.Visit(func(key []byte, value *fastjson.Value) { reader.field(string(key), value) })
	if reader.mistakes != nil {
		return nil, reader.mistakes
	}
	reader.check()
	if reader.limit > 0 {
		reader.request.Deadline = now.Add(time.Duration(reader.limit) * time.Millisecond)
	}
	return reader.request, reader.mistakes
}

// requestReader reads the fields of one request's body and gathers their mistakes.
type requestReader struct {
	request *auction.Request
	// limit is in milliseconds; zero: none was given.
	limit    int
	texts    map[string]*string
	numbers  map[string]*int
	mistakes error
}

func newRequestReader() *requestReader {
	request := &auction.Request{Idempotent: true, PromptTokens: -1, Chunks: 1}
	reader := &requestReader{request: request}
	reader.texts = map[string]*string{"id": &request.ID, "service": &request.Service, "origin": &request.Client, "prompt": &request.Prompt, "prefix": &request.Prefix}
	reader.numbers = map[string]*int{"limit_milliseconds": &reader.limit, "prompt_tokens": &request.PromptTokens,
		"prefix_tokens": &request.PrefixTokens, "pieces": &request.Chunks}
	return reader
}

// maxRequestNumber bounds each number in a request.
const maxRequestNumber = 100_000_000

// field reads one field.
func (r *requestReader) field(name string, value *fastjson.Value) {
	if target, found := r.texts[name]; found {
		text, err := value.StringBytes()
		if err != nil {
			r.mistake(failure.WrongType, "/"+name, "a text is needed")
			return
		}
		*target = string(text)
		return
	}
	if target, found := r.numbers[name]; found {
		number, err := value.Int()
		if err != nil || number < 0 || number > maxRequestNumber {
			r.mistake(failure.WrongType, "/"+name, "a whole number that is not negative is needed")
			return
		}
		*target = number
		return
	}
	if name != "repeatable" {
		r.mistake(failure.UnknownField, "/"+name, "no such field")
		return
	}
	idempotent, err := value.Bool()
	if err != nil {
		r.mistake(failure.WrongType, "/repeatable", "true or false is needed")
		return
	}
	r.request.Idempotent = idempotent
}

// check checks what the fields say together, and fills in how long the prompt is.
func (r *requestReader) check() {
	request := r.request
	if request.Service == "" {
		r.mistake(failure.Missing, "/service", "the service is needed")
	}
	if request.ID == "" || len(request.ID) > 128 {
		r.mistake(failure.Missing, "/id", "an id of at most 128 bytes is needed")
	} else if !request.Idempotent {
		if _, err := MadeAt(request.ID); err != nil {
			r.mistakes = multierr.Append(r.mistakes, err)
		}
	}
	if request.PromptTokens < 0 {
		request.PromptTokens = len(request.Prompt)/tokenBytes + 1
	}
	if request.PrefixTokens > request.PromptTokens {
		r.mistake(failure.Contradictory, "/prefix_tokens", "the prefix is longer than the prompt, "+strconv.Itoa(request.PromptTokens))
	}
	if request.Chunks < 1 {
		r.mistake(failure.OutOfRange, "/pieces", "at least one piece is needed")
	}
}

func (r *requestReader) mistake(code failure.Code, path, detail string) {
	r.mistakes = multierr.Append(r.mistakes, failure.At(code, path, detail))
}

// MadeAt reads from an id when it was made: ids of requests that may not be
// repeated are UUIDs of version 7, so that old ones can be told and refused.
func MadeAt(id string) (time.Time, error) {
	parsed, err := uuid.Parse(id)
	if err != nil || parsed.Version() != 7 {
		return time.Time{}, failure.At(failure.Malformed, "/id", "an inquiry that may not be repeated has a UUID of version 7 as its id")
	}
	seconds, nanoseconds := parsed.Time().UnixTime()
	return time.Unix(seconds, nanoseconds), nil
}

// NewRequestID makes an id that tells when it was made.
func NewRequestID() string { return uuid.Must(uuid.NewV7()).String() }
