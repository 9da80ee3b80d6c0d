package courier

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync/atomic"

	"seamloom.example/seamloom/internal/adapters/follower"
	"seamloom.example/seamloom/internal/pass"
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
		for _, name := range []string{"Content-Type", "Retry-After"} {
			writer.Header().Set(name, answered.Header.Get(name))
		}
		writer.WriteHeader(answered.StatusCode)
		failure = copyLines(writer, answered.Body)
		_ = answered.Body.Close()
		if failure != nil {
			final := pass.Failed
			_, _ = writer.Write(ReplyLine{Inquiry: inquiry.ID, Final: final, Type: trouble.Unreachable, Detail: "the reply broke off between two couriers"}.encode())
		}
		return
	}
	answer(writer, http.StatusServiceUnavailable, refused)
}

// copyLines gives whole lines on as they come, so that a reply that breaks off
// never ends inside one.
func copyLines(writer http.ResponseWriter, source io.Reader) error {
	flusher := http.NewResponseController(writer)
	var pending []byte
	chunk := make([]byte, 16<<10)
	for {
		count, failure := source.Read(chunk)
		pending = append(pending, chunk[:count]...)
		if end := bytes.LastIndexByte(pending, '\n'); end >= 0 {
			if _, failure := writer.Write(pending[:end+1]); failure != nil {
				return nil
			}
			_ = flusher.Flush()
			pending = append([]byte(nil), pending[end+1:]...)
		}
		if failure == io.EOF && len(pending) == 0 {
			return nil
		}
		if failure != nil {
			return trouble.New(trouble.Unreachable, "broke off after "+strconv.Itoa(len(pending))+" bytes of a line")
		}
	}
}
