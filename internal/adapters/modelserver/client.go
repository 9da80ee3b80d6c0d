// Package modelserver speaks with model servers over HTTP/1.1 and JSON. The protocol
// is written down in docs/protocol.md.
package modelserver

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"seamloom.example/seamloom/internal/adapters/rpc"
	"seamloom.example/seamloom/internal/auction"
	"seamloom.example/seamloom/internal/failure"
	"seamloom.example/seamloom/internal/membership"
	"seamloom.example/seamloom/internal/runtime"
)

// ModelServer is the client to all model servers.
type ModelServer struct {
	client   *http.Client
	lifetime context.Context
	runtime  runtime.Runtime

	mutex   sync.Mutex
	running map[string]context.CancelFunc
}

// New makes a client over a transport, for as long as a process lives.
func New(lifetime context.Context, rt runtime.Runtime, transport http.RoundTripper) *ModelServer {
	return &ModelServer{client: rpc.NewClient(transport), lifetime: lifetime, runtime: rt, running: map[string]context.CancelFunc{}}
}

func runKey(id string, run int) string { return id + "#" + strconv.Itoa(run) }

// beginRun makes the lifetime of a run's dispatch, which ends with its cancel.
func (m *ModelServer) beginRun(decision auction.Decision) context.Context {
	lifetime, end := context.WithCancel(m.lifetime)
	m.mutex.Lock()
	defer m.mutex.Unlock()
	key := runKey(decision.ID, decision.Run)
	if earlier, found := m.running[key]; found {
		earlier()
	}
	m.running[key] = end
	return lifetime
}

// EndRun ends whatever a run still has under way.
func (m *ModelServer) EndRun(id string, run int) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if end, found := m.running[runKey(id, run)]; found {
		end()
		delete(m.running, runKey(id, run))
	}
}

// MostLine bounds one line of a stream.
const MostLine = 1 << 20

// post sends an order. Begun tells whether any of it may have reached the
// server: if not, the server certainly did not start.
func (m *ModelServer) post(lifetime context.Context, address, path string, order any, may func() bool) (inbound *http.Response, begun bool, err error) {
	content, err := json.Marshal(order)
	if err != nil {
		return nil, false, failure.Wrap(failure.Garbage, err)
	}
	return Post(lifetime, m.client, "http://"+address+path, http.Header{"Content-Type": {"application/json"}}, content, may)
}

// Post sends an order. May is asked at once and again when its body is taken, after
// every wait for a connection; begun tells whether any of it may have reached the server.
func Post(lifetime context.Context, client *http.Client, location string, header http.Header, content []byte, may func() bool) (inbound *http.Response, begun bool, err error) {
	if !may() {
		return nil, false, tooLate
	}
	var touched atomic.Bool
	body := renew(content, may, &touched)
	first, _ := body()
	outbound, err := http.NewRequestWithContext(lifetime, http.MethodPost, location, first)
	if err != nil {
		return nil, false, failure.Wrap(failure.Garbage, err)
	}
	outbound.ContentLength, outbound.GetBody, outbound.Header = int64(len(content)), body, header
	inbound, err = client.Do(outbound)
	return inbound, touched.Load(), failure.Wrap(failure.Unreachable, err)
}

// refusal is what a server says with any status but 200.
type refusal struct {
	Started *bool  `json:"started"`
	Type    string `json:"type"`
}

func readRefusal(inbound *http.Response) (auction.Outcome, string) {
	var said refusal
	if json.NewDecoder(io.LimitReader(inbound.Body, MostLine)).Decode(&said) != nil || said.Started == nil {
		return auction.OutcomeUnknown, "status " + strconv.Itoa(inbound.StatusCode)
	}
	switch {
	case said.Type == "handle_lapsed":
		return auction.OutcomeHandleExpired, said.Type
	case !*said.Started:
		return auction.OutcomeNotStarted, said.Type
	}
	return auction.OutcomeFailed, said.Type
}

// Prefill has a server read a prompt, and returns the handle of its memory.
func (m *ModelServer) Prefill(decision auction.Decision, may func() bool) (auction.Outcome, string, string) {
	request := decision.Request
	inbound, written, err := m.post(m.beginRun(decision), decision.Address, "/v1/prefill", PrefillOrder{Request: request.ID, Order: decision.Token, Run: decision.Run,
		Prompt: request.Prompt, PromptTokens: request.PromptTokens, Prefix: request.Prefix, PrefixTokens: request.PrefixTokens}, may)
	if err != nil {
		if !written {
			return auction.OutcomeNotStarted, "", err.Error()
		}
		return auction.OutcomeUnknown, "", err.Error()
	}
	defer func() { _ = inbound.Body.Close() }()
	if inbound.StatusCode != http.StatusOK {
		outcome, detail := readRefusal(inbound)
		return outcome, "", detail
	}
	var answer PrefillAnswer
	if err := json.NewDecoder(io.LimitReader(inbound.Body, MostLine)).Decode(&answer); err != nil || answer.Handle == "" {
		return auction.OutcomeUnknown, "", "the answer broke off"
	}
	if answer.Request != request.ID || answer.Run != decision.Run {
		return auction.OutcomeUnknown, "", "the answer is another inquiry's"
	}
	return auction.OutcomeDone, answer.Handle, ""
}

// Decode has a server take up a prompt's memory and answer; each chunk goes to
// take as it comes.
func (m *ModelServer) Decode(decision auction.Decision, may func() bool, take func(chunk int, text string)) (auction.Outcome, int, string) {
	request := decision.Request
	inbound, written, err := m.post(m.beginRun(decision), decision.Address, "/v1/decode", DecodeOrder{Request: request.ID, Order: decision.Token, Run: decision.Run,
		Handle: decision.Handle, Source: decision.SourceAddress, Chunks: request.Chunks}, may)
	if err != nil {
		if !written {
			return auction.OutcomeNotStarted, 0, err.Error()
		}
		return auction.OutcomeUnknown, 0, err.Error()
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
		if err := json.Unmarshal(lines.Bytes(), &line); err != nil {
			return auction.OutcomeUnknown, 0, "a line that is no JSON"
		}
		if line.Request != request.ID || line.Run != decision.Run {
			return auction.OutcomeUnknown, 0, "a line of another inquiry"
		}
		if line.Done {
			return auction.OutcomeDone, line.Chunks, ""
		}
		take(line.Chunk, line.Text)
	}
	return auction.OutcomeUnknown, 0, "the stream broke off"
}

// Cancel breaks a run's connection and has the server stop it.
func (m *ModelServer) Cancel(decision auction.Decision) {
	m.EndRun(decision.ID, decision.Run)
	m.runtime.Go(func() {
		lifetime, end := context.WithTimeout(m.lifetime, time.Second)
		defer end()
		inbound, _, err := m.post(lifetime, decision.Address, "/v1/cancel", CancelOrder{Request: decision.ID, Order: decision.Token, Run: decision.Run}, func() bool { return true })
		if err == nil {
			_ = inbound.Body.Close()
		}
	})
}

// Command has a server take a part, under the fence of its key's holder. One
// that is late is worse than none: it ends with the duty's hold.
func (m *ModelServer) Command(decision auction.Decision, may func() bool) error {
	order := PartOrder{Part: string(decision.ServerRole), FencingToken: decision.Role.FencingToken, Holder: decision.Role.Holder}
	if decision.Order != nil {
		order.PatienceMilliseconds = int(decision.Order.Patience / time.Millisecond)
		order.Cause = decision.Order.Cause
	}
	return m.Within(decision, func(lifetime context.Context) error {
		inbound, _, err := m.post(lifetime, decision.Address, "/v1/part", order, may)
		if err != nil {
			return err
		}
		defer func() { _ = inbound.Body.Close() }()
		if inbound.StatusCode != http.StatusOK {
			return failure.New(failure.NotHolder, "status "+strconv.Itoa(inbound.StatusCode))
		}
		return nil
	})
}

// Within has a command given in a lifetime that ends with the duty's hold, and soon
// in any case.
func (m *ModelServer) Within(decision auction.Decision, act func(lifetime context.Context) error) error {
	lifetime, end := context.WithTimeout(m.lifetime, min(time.Second, decision.NotAfter.Sub(m.runtime.Now())))
	defer end()
	return act(lifetime)
}

// Pressure reads a server's pressure within a patience, for the market of requests.
func (m *ModelServer) Pressure(server membership.Server, patience time.Duration) (auction.Load, error) {
	lifetime, end := context.WithTimeout(m.lifetime, patience)
	defer end()
	return m.Load(lifetime, server.Address)
}

// Load reads a server's pressure.
func (m *ModelServer) Load(lifetime context.Context, address string) (auction.Load, error) {
	var load auction.Load
	outbound, err := http.NewRequestWithContext(lifetime, http.MethodGet, "http://"+address+"/v1/load", nil)
	if err != nil {
		return load, failure.Wrap(failure.Garbage, err)
	}
	inbound, err := m.client.Do(outbound)
	if err != nil {
		return load, failure.Wrap(failure.Unreachable, err)
	}
	defer func() { _ = inbound.Body.Close() }()
	var report LoadReport
	if err := json.NewDecoder(io.LimitReader(inbound.Body, MostLine)).Decode(&report); err != nil {
		return load, failure.Wrap(failure.Garbage, err)
	}
	if err := report.Check(); err != nil {
		return load, err
	}
	return report.Load(), nil
}
