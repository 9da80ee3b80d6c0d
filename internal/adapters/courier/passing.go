package courier

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync/atomic"

	"github.com/vmihailenco/msgpack/v5"

	"seamloom.example/seamloom/internal/adapters/follower"
	"seamloom.example/seamloom/internal/adapters/hotline"
	"seamloom.example/seamloom/internal/pass"
	"seamloom.example/seamloom/internal/recipe"
	"seamloom.example/seamloom/internal/roster"
	"seamloom.example/seamloom/internal/trouble"
)

func answerJSON(writer http.ResponseWriter, status int, content any) {
	writer.Header().Set("Content-Type", "application/json")
	writer.WriteHeader(status)
	_ = json.NewEncoder(writer).Encode(content)
}

// capable lists the couriers that lack no enabled flag, this inquiry's own
// order first.
func (process *Process) capable(inquiry string) []roster.Member {
	enabled := process.core.Enabled()
	process.mutex.Lock()
	defer process.mutex.Unlock()
	var names []string
	for name, member := range process.members {
		if member.Kind == roster.Courier && name != process.chosen.Name && !member.Restricted(enabled) {
			names = append(names, name)
		}
	}
	var members []roster.Member
	for _, name := range roster.Ranked(inquiry, names) {
		members = append(members, process.members[name])
	}
	return members
}

// passOn gives an inquiry to a capable courier and its reply to the origin, as
// it comes. Another courier is tried only when the first certainly has not
// begun.
func (process *Process) passOn(writer http.ResponseWriter, inbound *http.Request, body []byte, inquiry *pass.Inquiry, passed bool) {
	never := false
	refused := ReplyLine{Inquiry: inquiry.ID, Final: pass.Refused, Ran: &never, Type: trouble.Restricted, Detail: "this courier lacks an enabled flag and no capable one was reached", RetryAfterSeconds: 1}
	if passed {
		answer(writer, http.StatusServiceUnavailable, refused)
		return
	}
	for _, member := range process.capable(inquiry.ID) {
		var touched atomic.Bool
		lifetime := httptrace.WithClientTrace(inbound.Context(), &httptrace.ClientTrace{WroteHeaderField: func(string, []string) { touched.Store(true) }})
		outbound, failure := http.NewRequestWithContext(lifetime, http.MethodPost, "http://"+member.Address+follower.PassPath, bytes.NewReader(body))
		if failure != nil {
			continue
		}
		answered, failure := process.passing.Do(outbound)
		if failure != nil {
			if !touched.Load() {
				continue
			}
			answer(writer, http.StatusGatewayTimeout, ReplyLine{Inquiry: inquiry.ID, Final: pass.Unknown, Type: trouble.Unreachable, Detail: "the courier that it was passed to did not answer"})
			return
		}
		copyRecords(writer, answered.Body, inquiry.ID)
		_ = answered.Body.Close()
		return
	}
	answer(writer, http.StatusServiceUnavailable, refused)
}

// copyRecords gives the lines of stream records on as they come. A reply that
// breaks off ends with a line that says what is known.
func copyRecords(writer http.ResponseWriter, source io.Reader, inquiry string) {
	flusher := http.NewResponseController(writer)
	decoder := msgpack.NewDecoder(io.LimitReader(source, hotline.MostBytes))
	for number := uint64(1); ; number++ {
		var record recipe.Record
		failure := decoder.Decode(&record)
		var message recipe.StreamMessage
		if failure == nil {
			message, failure = recipe.ReadStreamMessage(record)
		}
		var line ReplyLine
		if failure == nil {
			failure = json.Unmarshal(message.Line, &line)
		}
		if failure != nil || record.Number != number || message.Inquiry != inquiry {
			broken := ReplyLine{Inquiry: inquiry, Type: trouble.Unreachable, Detail: "the reply broke off between two couriers"}
			if number == 1 {
				broken.Final = pass.Unknown
				answer(writer, http.StatusGatewayTimeout, broken)
				return
			}
			broken.Final, broken.Pieces = pass.Failed, int(number)-1
			_, _ = writer.Write(broken.encode())
			return
		}
		if number == 1 {
			writer.Header().Set("Content-Type", "application/jsonl")
			if message.Retry > 0 {
				writer.Header().Set("Retry-After", strconv.Itoa(message.Retry))
			}
			writer.WriteHeader(message.Status)
		}
		if _, failure := writer.Write(message.Line); failure != nil {
			return
		}
		_ = flusher.Flush()
		if line.Final != "" {
			return
		}
	}
}
