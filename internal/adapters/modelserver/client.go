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

// Client is the client to all model servers.
type Client struct {
	client  *http.Client
	ctx     context.Context
	runtime runtime.Runtime

	mutex   sync.Mutex
	running map[string]context.CancelFunc
}

// New makes a client over a transport, for as long as a process lives.
func New(ctx context.Context, rt runtime.Runtime, transport http.RoundTripper) *Client {
	return &Client{client: rpc.NewClient(transport), ctx: ctx, runtime: rt, running: map[string]context.CancelFunc{}}
}

func runKey(id string, run int) string { return id + "#" + strconv.Itoa(run) }

// startRun makes the context of a run's dispatch, which ends with its cancel.
func (m *Client) startRun(decision auction.Decision) context.Context {
	ctx, cancel := context.WithCancel(m.ctx)
	m.mutex.Lock()
	defer m.mutex.Unlock()
	key := runKey(decision.ID, decision.Run)
	if earlier, found := m.running[key]; found {
		earlier()
	}
	m.running[key] = cancel
	return ctx
}

// EndRun ends whatever a run still has under way.
func (m *Client) EndRun(id string, run int) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if cancel, found := m.running[runKey(id, run)]; found {
		cancel()
		delete(m.running, runKey(id, run))
	}
}

// MaxLineBytes bounds one line of a stream.
const MaxLineBytes = 1 << 20

// post sends an order. Begun tells whether any of it may have reached the
// server: if not, the server certainly did not start.
func (m *Client) post(ctx context.Context, address, path string, order any, may func() bool) (response *http.Response, begun bool, err error) {
	content, err := json.Marshal(order)
	if err != nil {
		return nil, false, failure.Wrap(failure.Garbage, err)
	}
	return Post(ctx, m.client, "http://"+address+path, http.Header{"Content-Type": {"application/json"}}, content, may)
}

// Post sends an order. May is asked at once and again when its body is taken, after
// every wait for a connection; begun tells whether any of it may have reached the server.
func Post(ctx context.Context, client *http.Client, location string, header http.Header, content []byte, may func() bool) (response *http.Response, begun bool, err error) {
	if !may() {
		return nil, false, errTooLate
	}
	var started atomic.Bool
	body := newBody(content, may, &started)
	first, _ := body()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, location, first)
	if err != nil {
		return nil, false, failure.Wrap(failure.Garbage, err)
	}
	request.ContentLength, request.GetBody, request.Header = int64(len(content)), body, header
	response, err = client.Do(request)
	return response, started.Load(), failure.Wrap(failure.Unreachable, err)
}

// refusal is what a server says with any status but 200.
type refusal struct {
	Started *bool  `json:"started"`
	Type    string `json:"type"`
}

func readRefusal(response *http.Response) (auction.Outcome, string) {
	var refused refusal
	if json.NewDecoder(io.LimitReader(response.Body, MaxLineBytes)).Decode(&refused) != nil || refused.Started == nil {
		return auction.OutcomeUnknown, "status " + strconv.Itoa(response.StatusCode)
	}
	switch {
	case refused.Type == "handle_lapsed":
		return auction.OutcomeHandleExpired, refused.Type
	case !*refused.Started:
		return auction.OutcomeNotStarted, refused.Type
	}
	return auction.OutcomeFailed, refused.Type
}

// Prefill has a server read a prompt, and returns the handle of its memory.
func (m *Client) Prefill(decision auction.Decision, may func() bool) (auction.Outcome, string, string) {
	request := decision.Request
	inbound, started, err := m.post(m.startRun(decision), decision.Address, "/v1/prefill", PrefillRequest{Request: request.ID, Order: decision.Token, Run: decision.Run,
		Prompt: request.Prompt, PromptTokens: request.PromptTokens, Prefix: request.Prefix, PrefixTokens: request.PrefixTokens}, may)
	if err != nil {
		if !started {
			return auction.OutcomeNotStarted, "", err.Error()
		}
		return auction.OutcomeUnknown, "", err.Error()
	}
	defer func() { _ = inbound.Body.Close() }()
	if inbound.StatusCode != http.StatusOK {
		outcome, detail := readRefusal(inbound)
		return outcome, "", detail
	}
	var response PrefillResponse
	if err := json.NewDecoder(io.LimitReader(inbound.Body, MaxLineBytes)).Decode(&response); err != nil || response.Handle == "" {
		return auction.OutcomeUnknown, "", "the answer broke off"
	}
	if response.Request != request.ID || response.Run != decision.Run {
		return auction.OutcomeUnknown, "", "the answer is another inquiry's"
	}
	return auction.OutcomeDone, response.Handle, ""
}

// Decode has a server take up a prompt's memory and answer; each chunk goes to
// take as it comes.
func (m *Client) Decode(decision auction.Decision, may func() bool, take func(chunk int, text string)) (auction.Outcome, int, string) {
	request := decision.Request
	response, started, err := m.post(m.startRun(decision), decision.Address, "/v1/decode", DecodeRequest{Request: request.ID, Order: decision.Token, Run: decision.Run,
		Handle: decision.Handle, Source: decision.SourceAddress, Chunks: request.Chunks}, may)
	if err != nil {
		if !started {
			return auction.OutcomeNotStarted, 0, err.Error()
		}
		return auction.OutcomeUnknown, 0, err.Error()
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		outcome, detail := readRefusal(response)
		return outcome, 0, detail
	}
	lines := bufio.NewScanner(response.Body)
	lines.Buffer(make([]byte, 0, 4096), MaxLineBytes)
	for lines.Scan() {
		var line DecodeChunk
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
func (m *Client) Cancel(decision auction.Decision) {
	m.EndRun(decision.ID, decision.Run)
	m.runtime.Go(func() {
		ctx, cancel := context.WithTimeout(m.ctx, time.Second)
		defer cancel()
		response, _, err := m.post(ctx, decision.Address, "/v1/cancel", CancelRequest{Request: decision.ID, Order: decision.Token, Run: decision.Run}, func() bool { return true })
		if err == nil {
			_ = response.Body.Close()
		}
	})
}

// Command has a server take a part, under the fence of its key's holder. One
// that is late is worse than none: it ends with the duty's hold.
func (m *Client) Command(decision auction.Decision, may func() bool) error {
	order := PartRequest{Part: string(decision.ServerRole), FencingToken: decision.Role.FencingToken, Holder: decision.Role.Holder}
	if decision.Order != nil {
		order.PatienceMilliseconds = int(decision.Order.Patience / time.Millisecond)
		order.Cause = decision.Order.Cause
	}
	return m.WithinGrant(decision, func(ctx context.Context) error {
		response, _, err := m.post(ctx, decision.Address, "/v1/part", order, may)
		if err != nil {
			return err
		}
		defer func() { _ = response.Body.Close() }()
		if response.StatusCode != http.StatusOK {
			return failure.New(failure.NotHolder, "status "+strconv.Itoa(response.StatusCode))
		}
		return nil
	})
}

// WithinGrant has a command given in a context that ends with the duty's hold, and soon
// in any case.
func (m *Client) WithinGrant(decision auction.Decision, act func(ctx context.Context) error) error {
	ctx, cancel := context.WithTimeout(m.ctx, min(time.Second, decision.NotAfter.Sub(m.runtime.Now())))
	defer cancel()
	return act(ctx)
}

// ReadAuctionLoad reads a server's pressure within a patience, for the market of requests.
func (m *Client) ReadAuctionLoad(server membership.Server, timeout time.Duration) (auction.Load, error) {
	ctx, cancel := context.WithTimeout(m.ctx, timeout)
	defer cancel()
	return m.Load(ctx, server.Address)
}

// Load reads a server's pressure.
func (m *Client) Load(ctx context.Context, address string) (auction.Load, error) {
	var load auction.Load
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/v1/load", nil)
	if err != nil {
		return load, failure.Wrap(failure.Garbage, err)
	}
	response, err := m.client.Do(request)
	if err != nil {
		return load, failure.Wrap(failure.Unreachable, err)
	}
	defer func() { _ = response.Body.Close() }()
	var report LoadReport
	if err := json.NewDecoder(io.LimitReader(response.Body, MaxLineBytes)).Decode(&report); err != nil {
		return load, failure.Wrap(failure.Garbage, err)
	}
	if err := report.Check(); err != nil {
		return load, err
	}
	return report.Load(), nil
}
