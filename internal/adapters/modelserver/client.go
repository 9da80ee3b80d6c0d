// Package modelserver is the client for model servers. It uses HTTP/1.1 and JSON; the protocol
// is specified in docs/protocol.md.
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

// Client sends requests to model servers. It is safe for concurrent use.
type Client struct {
	client  *http.Client
	ctx     context.Context
	runtime runtime.Runtime

	mutex sync.Mutex
	// running holds the cancel function of each run's last request, by runKey, until EndRun is called.
	running map[string]context.CancelFunc
}

// New returns a client that sends its requests over the transport. All requests are cancelled when the
// context ends.
func New(ctx context.Context, rt runtime.Runtime, transport http.RoundTripper) *Client {
	return &Client{client: rpc.NewClient(transport), ctx: ctx, runtime: rt, running: map[string]context.CancelFunc{}}
}

func runKey(id string, run int) string { return id + "#" + strconv.Itoa(run) }

// startRun returns a context for a run's request; EndRun cancels the context. If the same run has an earlier
// request in flight, startRun cancels that request.
func (c *Client) startRun(decision auction.Decision) context.Context {
	ctx, cancel := context.WithCancel(c.ctx)
	c.mutex.Lock()
	defer c.mutex.Unlock()
	key := runKey(decision.ID, decision.Run)
	if cancelEarlier, found := c.running[key]; found {
		cancelEarlier()
	}
	c.running[key] = cancel
	return ctx
}

// EndRun cancels the request of a run if it is still in flight.
func (c *Client) EndRun(id string, run int) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if cancel, found := c.running[runKey(id, run)]; found {
		cancel()
		delete(c.running, runKey(id, run))
	}
}

// MaxLineBytes limits the size of one line of a streamed response, and of the whole body of any other response.
const MaxLineBytes = 1 << 20

// post sends a message as JSON. Its parameter maySend and its results are those of Post.
func (c *Client) post(
	ctx context.Context,
	address, path string,
	message any,
	maySend func() bool,
) (response *http.Response, sent bool, err error) {
	content, err := json.Marshal(message)
	if err != nil {
		return nil, false, failure.Wrap(failure.Garbage, err)
	}
	return Post(ctx, c.client, "http://"+address+path, http.Header{"Content-Type": {"application/json"}}, content, maySend)
}

// Post sends a POST request with the content as its body. It calls maySend at the start, and again before the
// first byte of the body is sent, after any wait for a connection. If maySend returns false, the body is not
// sent and Post fails with DeadlinePassed. The result sent reports whether a part of the body may have
// reached the server; if it is false, the server certainly did not execute the request.
func Post(
	ctx context.Context,
	client *http.Client,
	url string,
	header http.Header,
	content []byte,
	maySend func() bool,
) (response *http.Response, sent bool, err error) {
	if !maySend() {
		return nil, false, errTooLate
	}
	var bodyStarted atomic.Bool
	newAttempt := newBody(content, maySend, &bodyStarted)
	firstBody, _ := newAttempt()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, firstBody)
	if err != nil {
		return nil, false, failure.Wrap(failure.Garbage, err)
	}
	request.ContentLength, request.GetBody, request.Header = int64(len(content)), newAttempt, header
	response, err = client.Do(request)
	return response, bodyStarted.Load(), failure.Wrap(failure.Unreachable, err)
}

// refusal is the body of a response with a status other than 200.
type refusal struct {
	Started *bool  `json:"started"`
	Type    string `json:"type"`
}

// readRefusal returns the outcome and its detail for a response with a status other than 200. The outcome is
// OutcomeUnknown if the body does not say whether the server started the run.
func readRefusal(response *http.Response) (auction.Outcome, string) {
	var refused refusal
	if json.NewDecoder(io.LimitReader(response.Body, MaxLineBytes)).Decode(&refused) != nil || refused.Started == nil {
		return auction.OutcomeUnknown, "the model server responded with status " + strconv.Itoa(response.StatusCode)
	}
	switch {
	case refused.Type == "handle_lapsed":
		return auction.OutcomeHandleExpired, refused.Type
	case !*refused.Started:
		return auction.OutcomeNotStarted, refused.Type
	}
	return auction.OutcomeFailed, refused.Type
}

// Prefill requests the prefill of a prompt and returns the outcome, the handle of the prompt's KV cache if the
// outcome is OutcomeDone, and otherwise a detail.
func (c *Client) Prefill(decision auction.Decision, maySend func() bool) (auction.Outcome, string, string) {
	request := decision.Request
	response, sent, err := c.post(c.startRun(decision), decision.Address, "/v1/prefill", PrefillRequest{
		Request: request.ID, DispatchToken: decision.Token, Run: decision.Run,
		Prompt: request.Prompt, PromptTokens: request.PromptTokens, Prefix: request.Prefix, PrefixTokens: request.PrefixTokens}, maySend)
	if err != nil {
		if !sent {
			return auction.OutcomeNotStarted, "", err.Error()
		}
		return auction.OutcomeUnknown, "", err.Error()
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		outcome, detail := readRefusal(response)
		return outcome, "", detail
	}
	var result PrefillResponse
	if err := json.NewDecoder(io.LimitReader(response.Body, MaxLineBytes)).Decode(&result); err != nil || result.Handle == "" {
		return auction.OutcomeUnknown, "", "the response is incomplete or has no handle"
	}
	if result.Request != request.ID || result.Run != decision.Run {
		return auction.OutcomeUnknown, "", "the response belongs to another request or run"
	}
	return auction.OutcomeDone, result.Handle, ""
}

// Decode requests the decoding of a prompt whose KV cache the server fetches, and passes each chunk of the
// reply to onChunk when it arrives. It returns the outcome, the number of all chunks if the outcome is
// OutcomeDone, and otherwise a detail.
func (c *Client) Decode(
	decision auction.Decision,
	maySend func() bool,
	onChunk func(chunk int, text string),
) (auction.Outcome, int, string) {
	request := decision.Request
	response, sent, err := c.post(c.startRun(decision), decision.Address, "/v1/decode", DecodeRequest{
		Request: request.ID, DispatchToken: decision.Token, Run: decision.Run,
		Handle: decision.Handle, Source: decision.SourceAddress, Chunks: request.Chunks}, maySend)
	if err != nil {
		if !sent {
			return auction.OutcomeNotStarted, 0, err.Error()
		}
		return auction.OutcomeUnknown, 0, err.Error()
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		outcome, detail := readRefusal(response)
		return outcome, 0, detail
	}
	scanner := bufio.NewScanner(response.Body)
	scanner.Buffer(make([]byte, 0, 4096), MaxLineBytes)
	for scanner.Scan() {
		var line DecodeChunk
		if err := json.Unmarshal(scanner.Bytes(), &line); err != nil {
			return auction.OutcomeUnknown, 0, "a line of the stream is not valid JSON"
		}
		if line.Request != request.ID || line.Run != decision.Run {
			return auction.OutcomeUnknown, 0, "a line of the stream belongs to another request or run"
		}
		if line.Done {
			return auction.OutcomeDone, line.Chunks, ""
		}
		onChunk(line.Chunk, line.Text)
	}
	return auction.OutcomeUnknown, 0, "the stream ended before its last line"
}

// Cancel cancels a run's request, which closes its connection, and asks the server to stop the run. It does not
// wait for the server's response.
func (c *Client) Cancel(decision auction.Decision) {
	c.EndRun(decision.ID, decision.Run)
	c.runtime.Go(func() {
		ctx, cancel := context.WithTimeout(c.ctx, time.Second)
		defer cancel()
		response, _, err := c.post(ctx, decision.Address, "/v1/cancel",
			CancelRequest{Request: decision.ID, DispatchToken: decision.Token, Run: decision.Run}, func() bool { return true })
		if err == nil {
			_ = response.Body.Close()
		}
	})
}

// Command orders a server to take a role, such as prefill, with the fencing token of the router that holds the
// lease to command that server. The command is abandoned when the lease ends, because a late command does more
// harm than a missing one. Command fails with NotLeaseHolder if the server responds with a status other than 200.
func (c *Client) Command(decision auction.Decision, maySend func() bool) error {
	order := RoleRequest{Role: string(decision.ServerRole), FencingToken: decision.Role.FencingToken, Holder: decision.Role.Holder}
	if decision.Order != nil {
		order.GracePeriodMilliseconds = int(decision.Order.GracePeriod / time.Millisecond)
		order.Cause = decision.Order.Cause
	}
	return c.WithLeaseContext(decision, func(ctx context.Context) error {
		response, _, err := c.post(ctx, decision.Address, "/v1/part", order, maySend)
		if err != nil {
			return err
		}
		defer func() { _ = response.Body.Close() }()
		if response.StatusCode != http.StatusOK {
			return failure.New(failure.NotLeaseHolder, "the model server responded with status "+strconv.Itoa(response.StatusCode))
		}
		return nil
	})
}

// WithLeaseContext calls send, which sends a command, with a context that ends when the lease to command the
// server ends (the decision's NotAfter), and after one second at the latest.
func (c *Client) WithLeaseContext(decision auction.Decision, send func(ctx context.Context) error) error {
	ctx, cancel := context.WithTimeout(c.ctx, min(time.Second, decision.NotAfter.Sub(c.runtime.Now())))
	defer cancel()
	return send(ctx)
}

// ReadAuctionLoad reads the load of a server within the timeout, for the auction of requests.
func (c *Client) ReadAuctionLoad(server membership.Server, timeout time.Duration) (auction.Load, error) {
	ctx, cancel := context.WithTimeout(c.ctx, timeout)
	defer cancel()
	return c.Load(ctx, server.Address)
}

// Load reads the load of the server at the address, and checks it. An error has the code Unreachable, Garbage
// or OutOfRange.
func (c *Client) Load(ctx context.Context, address string) (auction.Load, error) {
	var load auction.Load
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/v1/load", nil)
	if err != nil {
		return load, failure.Wrap(failure.Garbage, err)
	}
	response, err := c.client.Do(request)
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
