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
	request := &auction.Request{Idempotent: true, PromptTokens: -1, Chunks: 1}
	limit := 0
	texts := map[string]*string{"id": &request.ID, "service": &request.Service, "origin": &request.Client, "prompt": &request.Prompt, "prefix": &request.Prefix}
	numbers := map[string]*int{"limit_milliseconds": &limit, "prompt_tokens": &request.PromptTokens, "prefix_tokens": &request.PrefixTokens, "pieces": &request.Chunks}
	var mistakes error
	object.Visit(func(key []byte, value *fastjson.Value) {
		name := string(key)
		if target, found := texts[name]; found {
			text, err := value.StringBytes()
			if err != nil {
				mistakes = multierr.Append(mistakes, failure.At(failure.WrongType, "/"+name, "a text is needed"))
				return
			}
			*target = string(text)
		} else if target, found := numbers[name]; found {
			number, err := value.Int()
			if err != nil || number < 0 || number > 100_000_000 {
				mistakes = multierr.Append(mistakes, failure.At(failure.WrongType, "/"+name, "a whole number that is not negative is needed"))
				return
			}
			*target = number
		} else if name == "repeatable" {
			idempotent, err := value.Bool()
			if err != nil {
				mistakes = multierr.Append(mistakes, failure.At(failure.WrongType, "/repeatable", "true or false is needed"))
				return
			}
			request.Idempotent = idempotent
		} else {
			mistakes = multierr.Append(mistakes, failure.At(failure.UnknownField, "/"+name, "no such field"))
		}
	})
	if mistakes != nil {
		return nil, mistakes
	}
	if request.Service == "" {
		mistakes = multierr.Append(mistakes, failure.At(failure.Missing, "/service", "the service is needed"))
	}
	if request.ID == "" || len(request.ID) > 128 {
		mistakes = multierr.Append(mistakes, failure.At(failure.Missing, "/id", "an id of at most 128 bytes is needed"))
	} else if !request.Idempotent {
		if _, err := MadeAt(request.ID); err != nil {
			mistakes = multierr.Append(mistakes, err)
		}
	}
	if request.PromptTokens < 0 {
		request.PromptTokens = len(request.Prompt)/tokenBytes + 1
	}
	if request.PrefixTokens > request.PromptTokens {
		mistakes = multierr.Append(mistakes, failure.At(failure.Contradictory, "/prefix_tokens", "the prefix is longer than the prompt, "+strconv.Itoa(request.PromptTokens)))
	}
	if request.Chunks < 1 {
		mistakes = multierr.Append(mistakes, failure.At(failure.OutOfRange, "/pieces", "at least one piece is needed"))
	}
	if limit > 0 {
		request.Deadline = now.Add(time.Duration(limit) * time.Millisecond)
	}
	return request, mistakes
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
