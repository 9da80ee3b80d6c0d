package fleet

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"seamloom.example/seamloom/internal/dataplane"
	"seamloom.example/seamloom/internal/failure"
	"seamloom.example/seamloom/internal/membership"
)

// Clients simulates the clients of a deployment. It sends requests at random times, at an average
// rate that doesn't depend on the replies, and records each request and each reply.
type Clients struct {
	fleet  *Fleet
	client *http.Client
	random *rand.Rand
	// requestCount is the number of requests drawn so far.
	requestCount int

	waiting sync.WaitGroup
	// longRate and shortRate are in requests per 1000 seconds.
	longRate  atomic.Int64
	shortRate atomic.Int64
	// NonIdempotentShare is the share of requests that are not idempotent.
	NonIdempotentShare float64
}

// NewClients returns clients whose random draws come from a seed. The given share of their requests
// is not idempotent.
func NewClients(fleet *Fleet, seed uint64, nonIdempotentShare float64) *Clients {
	return &Clients{fleet: fleet, random: rand.New(rand.NewPCG(seed, 77)), NonIdempotentShare: nonIdempotentShare,
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 128}}}
}

// SetRates sets how many requests of each kind are sent per second.
func (c *Clients) SetRates(long, short float64) {
	c.longRate.Store(int64(long * 1000))
	c.shortRate.Store(int64(short * 1000))
}

// Run sends requests until the lifetime ends and then waits for the replies.
func (c *Clients) Run(lifetime context.Context) {
	defer c.waiting.Wait()
	for lifetime.Err() == nil {
		long, short := float64(c.longRate.Load())/1000, float64(c.shortRate.Load())/1000
		interval := time.Duration(c.random.ExpFloat64() / max(long+short, 0.01) * float64(time.Second))
		if !sleep(lifetime, min(interval, time.Second)) {
			return
		}
		// A longer interval is drawn again after a second, in case the rates have changed. The
		// exponential distribution has no memory, so this does not change the average rate.
		if interval > time.Second {
			continue
		}
		kind := c.fleet.Deployment.Short
		if c.random.Float64()*(long+short) < long {
			kind = c.fleet.Deployment.Long
		}
		c.requestCount++
		zones := c.fleet.Deployment.Zones
		zone := zones[c.random.IntN(len(zones))]
		node := c.pick(zone, c.random.IntN(1<<20))
		if node == nil {
			continue
		}
		request, entry := c.newRequest(kind, node)
		entry.Zone = zone
		reaction := behaviour{
			leavesAfter:       -1,
			honoursRetryAfter: c.random.IntN(2) == 0,
			resendsAfterFinal: c.random.IntN(3) == 0,
			routerDraw:        c.random.IntN(1 << 20),
		}
		if c.random.IntN(40) == 0 {
			reaction.leavesAfter = c.random.IntN(request.Chunks)
		}
		c.waiting.Go(func() { c.runClient(lifetime, node, request, entry, reaction) })
	}
}

// behaviour is how one client reacts to its replies.
type behaviour struct {
	// leavesAfter is the number of chunks after which the client closes the connection; -1
	// means never.
	leavesAfter int
	// honoursRetryAfter means that the client sends the id again after the time that a refusal
	// names. Without it, a refusal counts as a final reply. A refusal as a duplicate always does.
	honoursRetryAfter bool
	// resendsAfterFinal means that the client sends the id again 0.1 s after a final reply to the
	// id's first arrival.
	resendsAfterFinal bool
	// routerDraw is the random number from which the router of each repeat is picked.
	routerDraw int
}

// runClient sends a request and, as real clients do, sends the same id again, at most twice: 0.1 s
// after a broken connection, and, depending on the client's behaviour, after a refusal or another
// final reply. Each repeat goes to a newly picked router.
func (c *Clients) runClient(lifetime context.Context, node *NodeProcess, request ClientRequest, entry Entry, reaction behaviour) {
	for arrival := range 3 {
		entry.Arrival, entry.Router = arrival, node.Node.Name
		reply, retry := c.send(context.Background(), node.Node.Address, request, entry, reaction.leavesAfter)
		interval := 100 * time.Millisecond
		switch {
		case reply.Cause == ClientLeft, reply.Final == "complete" && !reaction.resendsAfterFinal:
			return
		case reply.Final == "refused" && reply.Cause != string(failure.Duplicate) && reaction.honoursRetryAfter:
			interval = retry
		case reply.Final != "" && !reaction.resendsAfterFinal:
			return
		}
		if !sleep(lifetime, interval) {
			return
		}
		if node = c.pick(entry.Zone, reaction.routerDraw+arrival); node == nil {
			return
		}
		reaction.resendsAfterFinal = false
	}
}

// pick returns the router to which the platform would send a client of the zone: a running router of
// the zone, or any running router if no router of the zone is running. The random number draw
// selects among several routers. pick returns nil if no router is running.
func (c *Clients) pick(zone string, draw int) *NodeProcess {
	running := c.fleet.Running(membership.Router)
	var inZone []*NodeProcess
	for _, node := range running {
		if node.Node.Zone == zone {
			inZone = append(inZone, node)
		}
	}
	if len(inZone) > 0 {
		running = inZone
	}
	if len(running) == 0 {
		return nil
	}
	return running[draw%len(running)]
}

// ClientRequest is the JSON body of a client's request.
type ClientRequest struct {
	ID           string `json:"id"`
	Service      string `json:"service"`
	Client       string `json:"origin"`
	Idempotent   bool   `json:"repeatable"`
	Limit        int    `json:"limit_milliseconds"`
	PromptTokens int    `json:"prompt_tokens"`
	Prefix       string `json:"prefix,omitempty"`
	PrefixTokens int    `json:"prefix_tokens,omitempty"`
	Chunks       int    `json:"pieces"`
}

// newRequest draws a request of a kind and returns it with the entry that records it.
func (c *Clients) newRequest(kind Kind, node *NodeProcess) (ClientRequest, Entry) {
	idempotent := c.random.Float64() >= c.NonIdempotentShare
	request := ClientRequest{
		ID:           dataplane.NewRequestID(),
		Service:      kind.Service,
		Client:       "origin-" + strconv.Itoa(c.requestCount%50),
		Idempotent:   idempotent,
		Limit:        15_000,
		PromptTokens: kind.LeastTokens + c.random.IntN(kind.MostTokens-kind.LeastTokens),
		Prefix:       kind.Service + "-" + strconv.Itoa(c.random.IntN(kind.Prefixes)),
		PrefixTokens: kind.PrefixTokens,
		Chunks:       kind.LeastChunks + c.random.IntN(kind.MostChunks-kind.LeastChunks),
	}
	return request, Entry{
		Request:    request.ID,
		Router:     node.Node.Name,
		Service:    kind.Service,
		Idempotent: idempotent,
		Asked:      request.Chunks,
	}
}

// Send sends one request and records its reply with the text of every chunk. A reply that
// breaks off before its final line is recorded without an outcome.
func (c *Clients) Send(lifetime context.Context, address string, request ClientRequest, entry Entry) Entry {
	reply, _ := c.send(lifetime, address, request, entry, -1)
	return reply
}

// ClientLeft is the recorded cause of a reply whose client closed the connection.
const ClientLeft = "the caller left"

// send sends one request, records its reply, and returns it with the time after which the
// client may retry. The client closes the connection after leavesAfter chunks; -1 means never.
func (c *Clients) send(
	lifetime context.Context,
	address string,
	request ClientRequest,
	entry Entry,
	leavesAfter int,
) (Entry, time.Duration) {
	began := time.Now()
	sent := entry
	sent.Kind = Sent
	c.fleet.Events.Append(sent)
	entry.Kind = Replied
	lifetime, end := context.WithTimeout(lifetime, time.Duration(request.Limit)*time.Millisecond+5*time.Second)
	defer end()
	status, retry, err := c.read(lifetime, address, request, &entry, leavesAfter)
	entry.Status = status
	entry.Took = time.Since(began)
	if err != nil && entry.Final == "" {
		entry.Cause = err.Error()
		if failure.CodeOf(err) == failure.ClientDisconnected {
			entry.Cause = ClientLeft
		}
	}
	c.fleet.Events.Append(entry)
	return entry, retry
}

// read posts a request and reads its reply into the entry. It returns the HTTP status and the
// time after which the client may retry.
func (c *Clients) read(
	lifetime context.Context,
	address string,
	request ClientRequest,
	entry *Entry,
	leavesAfter int,
) (int, time.Duration, error) {
	body, err := json.Marshal(request)
	if err != nil {
		return 0, 0, failure.Wrap(failure.Malformed, err)
	}
	outbound, err := http.NewRequestWithContext(lifetime, http.MethodPost, "http://"+address+"/v1/inquiries",
		bytes.NewReader(body))
	if err != nil {
		return 0, 0, failure.Wrap(failure.Malformed, err)
	}
	inbound, err := c.client.Do(outbound)
	if err != nil {
		return 0, 0, failure.Wrap(failure.Unreachable, err)
	}
	defer func() { _ = inbound.Body.Close() }()
	lines := bufio.NewScanner(inbound.Body)
	for lines.Scan() {
		if leavesAfter == len(entry.Texts) {
			return inbound.StatusCode, 0, failure.New(failure.ClientDisconnected, ClientLeft)
		}
		var line dataplane.ReplyLine
		if err := json.Unmarshal(lines.Bytes(), &line); err != nil {
			return inbound.StatusCode, 0, failure.Wrap(failure.Garbage, err)
		}
		if line.Final != "" {
			entry.Final, entry.Chunks, entry.Cause = string(line.Final), line.Chunks, string(line.Type)
			return inbound.StatusCode, time.Duration(line.RetryAfterSeconds) * time.Second, nil
		}
		entry.Texts = append(entry.Texts, strconv.Itoa(line.Chunk)+"|"+line.Text)
	}
	return inbound.StatusCode, 0, failure.Wrap(failure.Unreachable, lines.Err())
}
