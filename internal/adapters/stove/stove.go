// Package stove speaks with model servers over HTTP/1.1 and JSON. The protocol
// is written down in docs/protocol.md.
package stove

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync/atomic"
	"time"

	"seamloom.example/seamloom/internal/pass"
	"seamloom.example/seamloom/internal/trouble"
)

// Stove is the client to all model servers.
type Stove struct {
	client *http.Client
}

// New makes a client over a transport.
//
// Example:
//
//	stove := stove.New(hotline.Transport(nil))
func New(transport http.RoundTripper) *Stove {
	return &Stove{client: &http.Client{Transport: transport}}
}

// MostLine bounds one line of a stream.
const MostLine = 1 << 20

// post sends an order. Written tells whether any of it may have reached the
// server: if not, the server certainly did not start.
func (stove *Stove) post(lifetime context.Context, address, path string, order any) (inbound *http.Response, written bool, failure error) {
	body, failure := json.Marshal(order)
	if failure != nil {
		return nil, false, trouble.Wrap(trouble.Garbage, failure)
	}
	var touched atomic.Bool
	lifetime = httptrace.WithClientTrace(lifetime, &httptrace.ClientTrace{WroteHeaderField: func(string, []string) { touched.Store(true) }})
	outbound, failure := http.NewRequestWithContext(lifetime, http.MethodPost, "http://"+address+path, bytes.NewReader(body))
	if failure != nil {
		return nil, false, trouble.Wrap(trouble.Garbage, failure)
	}
	outbound.Header.Set("Content-Type", "application/json")
	inbound, failure = stove.client.Do(outbound)
	return inbound, touched.Load(), trouble.Wrap(trouble.Unreachable, failure)
}

// refusal is what a server says with any status but 200.
type refusal struct {
	Started *bool  `json:"started"`
	Type    string `json:"type"`
}

func readRefusal(inbound *http.Response) (pass.Outcome, string) {
	var said refusal
	if json.NewDecoder(io.LimitReader(inbound.Body, MostLine)).Decode(&said) != nil || said.Started == nil {
		return pass.Uncertain, "status " + strconv.Itoa(inbound.StatusCode)
	}
	switch {
	case said.Type == "handle_lapsed":
		return pass.Lapsed, said.Type
	case !*said.Started:
		return pass.NotStarted, said.Type
	}
	return pass.Broken, said.Type
}

// Prefill has a server read a prompt, and returns the handle of its memory.
//
// Example:
//
//	outcome, handle, detail := stove.Prefill(lifetime, decision)
func (stove *Stove) Prefill(lifetime context.Context, decision pass.Decision) (pass.Outcome, string, string) {
	inquiry := decision.Inquiry
	inbound, written, failure := stove.post(lifetime, decision.Address, "/v1/prefill", PrefillOrder{Inquiry: inquiry.ID, Run: decision.Run,
		Prompt: inquiry.Prompt, PromptTokens: inquiry.PromptTokens, Prefix: inquiry.Prefix, PrefixTokens: inquiry.PrefixTokens})
	if failure != nil {
		if !written {
			return pass.NotStarted, "", failure.Error()
		}
		return pass.Uncertain, "", failure.Error()
	}
	defer func() { _ = inbound.Body.Close() }()
	if inbound.StatusCode != http.StatusOK {
		outcome, detail := readRefusal(inbound)
		return outcome, "", detail
	}
	var answer PrefillAnswer
	if failure := json.NewDecoder(io.LimitReader(inbound.Body, MostLine)).Decode(&answer); failure != nil || answer.Handle == "" {
		return pass.Uncertain, "", "the answer broke off"
	}
	if answer.Inquiry != inquiry.ID || answer.Run != decision.Run {
		return pass.Uncertain, "", "the answer is another inquiry's"
	}
	return pass.Done, answer.Handle, ""
}

// Decode has a server take up a prompt's memory and answer; each piece goes to
// take as it comes.
//
// Example:
//
//	outcome, pieces, detail := stove.Decode(lifetime, decision, func(piece int, text string) { ... })
func (stove *Stove) Decode(lifetime context.Context, decision pass.Decision, take func(piece int, text string)) (pass.Outcome, int, string) {
	inquiry := decision.Inquiry
	inbound, written, failure := stove.post(lifetime, decision.Address, "/v1/decode", DecodeOrder{Inquiry: inquiry.ID, Run: decision.Run,
		Handle: decision.Handle, Source: decision.SourceAddress, Pieces: inquiry.Pieces})
	if failure != nil {
		if !written {
			return pass.NotStarted, 0, failure.Error()
		}
		return pass.Uncertain, 0, failure.Error()
	}
	defer func() { _ = inbound.Body.Close() }()
	if inbound.StatusCode != http.StatusOK {
		outcome, detail := readRefusal(inbound)
		return outcome, 0, detail
	}
	lines := bufio.NewScanner(inbound.Body)
	lines.Buffer(make([]byte, 0, 4096), MostLine)
	for lines.Scan() {
		var line StreamLine
		if failure := json.Unmarshal(lines.Bytes(), &line); failure != nil {
			return pass.Uncertain, 0, "a line that is no JSON"
		}
		if line.Inquiry != inquiry.ID || line.Run != decision.Run {
			return pass.Uncertain, 0, "a line of another inquiry"
		}
		if line.Done {
			return pass.Done, line.Pieces, ""
		}
		take(line.Piece, line.Text)
	}
	return pass.Uncertain, 0, "the stream broke off"
}

// Cancel has a server stop a run.
//
// Example:
//
//	failure := stove.Cancel(lifetime, decision)
func (stove *Stove) Cancel(lifetime context.Context, decision pass.Decision) error {
	inbound, _, failure := stove.post(lifetime, decision.Address, "/v1/cancel", CancelOrder{Inquiry: decision.ID, Run: decision.Run})
	if failure == nil {
		_ = inbound.Body.Close()
	}
	return failure
}

// Command has a server take a part, under the fence of its key's holder.
//
// Example:
//
//	failure := stove.Command(lifetime, decision)
func (stove *Stove) Command(lifetime context.Context, decision pass.Decision) error {
	order := PartOrder{Part: string(decision.Part), Fence: decision.Duty.Fence, Holder: decision.Duty.Holder}
	if decision.Order != nil {
		order.PatienceMilliseconds = int(decision.Order.Patience / time.Millisecond)
		order.Cause = decision.Order.Cause
	}
	inbound, _, failure := stove.post(lifetime, decision.Address, "/v1/part", order)
	if failure != nil {
		return failure
	}
	defer func() { _ = inbound.Body.Close() }()
	if inbound.StatusCode != http.StatusOK {
		return trouble.New(trouble.NotHolder, "status "+strconv.Itoa(inbound.StatusCode))
	}
	return nil
}

// Load reads a server's pressure.
//
// Example:
//
//	load, failure := stove.Load(lifetime, "127.0.0.1:7201")
func (stove *Stove) Load(lifetime context.Context, address string) (pass.Load, error) {
	var load pass.Load
	outbound, failure := http.NewRequestWithContext(lifetime, http.MethodGet, "http://"+address+"/v1/load", nil)
	if failure != nil {
		return load, trouble.Wrap(trouble.Garbage, failure)
	}
	inbound, failure := stove.client.Do(outbound)
	if failure != nil {
		return load, trouble.Wrap(trouble.Unreachable, failure)
	}
	defer func() { _ = inbound.Body.Close() }()
	var report LoadReport
	if failure := json.NewDecoder(io.LimitReader(inbound.Body, MostLine)).Decode(&report); failure != nil {
		return load, trouble.Wrap(trouble.Garbage, failure)
	}
	return report.Load(), nil
}
