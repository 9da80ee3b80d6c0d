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

// Clients are the stand-ins of restaurants, riders and cooks: they send
// requests at a steady rate, whatever becomes of them, and write down what
// they read.
type Clients struct {
	fleet  *Fleet
	client *http.Client
	random *rand.Rand
	number int

	waiting   sync.WaitGroup
	longRate  atomic.Int64
	shortRate atomic.Int64
	// Once is the share of requests that is not idempotent.
	Once float64
}

// NewClients makes clients with a seed. The share once of the requests may
// not be repeated.
func NewClients(fleet *Fleet, seed uint64, once float64) *Clients {
	return &Clients{fleet: fleet, random: rand.New(rand.NewPCG(seed, 77)), Once: once,
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 128}}}
}

// SetRates sets how many requests of each kind come in a second.
func (c *Clients) SetRates(long, short float64) {
	c.longRate.Store(int64(long * 1000))
	c.shortRate.Store(int64(short * 1000))
}

// Run sends requests until the lifetime ends, then waits for the replies.
func (c *Clients) Run(lifetime context.Context) {
	defer c.waiting.Wait()
	for lifetime.Err() == nil {
		long, short := float64(c.longRate.Load())/1000, float64(c.shortRate.Load())/1000
		interval := time.Duration(c.random.ExpFloat64() / max(long+short, 0.01) * float64(time.Second))
		if !sleep(lifetime, min(interval, time.Second)) {
			return
		}
		if interval > time.Second {
			continue
		}
		kind := c.fleet.Deployment.Short
		if c.random.Float64()*(long+short) < long {
			kind = c.fleet.Deployment.Long
		}
		c.number++
		zones := c.fleet.Deployment.Zones
		zone := zones[c.random.IntN(len(zones))]
		node := c.pick(zone, c.random.IntN(1<<20))
		if node == nil {
			continue
		}
		question, entry := c.question(kind, node)
		entry.Zone = zone
		h := behaviour{
			leaves:    -1,
			obeys:     c.random.IntN(2) == 0,
			persists:  c.random.IntN(3) == 0,
			elsewhere: c.random.IntN(1 << 20),
		}
		if c.random.IntN(40) == 0 {
			h.leaves = c.random.IntN(question.Chunks)
		}
		c.waiting.Go(func() { c.runClient(lifetime, node, question, entry, h) })
	}
}

// behaviour is how a client goes about what it reads.
type behaviour struct {
	// leaves is the chunk after which it closes the connection, or none when -1.
	leaves int
	// obeys tells that it comes back when it is told to, else at once; persists
	// that it sends an id again also after a word that was the last.
	obeys     bool
	persists  bool
	elsewhere int
}

// runClient sends a request and, as clients do, sends the same id again: after a
// refusal, after a broken connection at another router, and now and then after any
// word.
func (c *Clients) runClient(lifetime context.Context, node *NodeProcess, question Question, entry Entry, h behaviour) {
	for arrival := range 3 {
		entry.Arrival, entry.Router = arrival, node.Node.Name
		reply, retry := c.send(context.Background(), node.Node.Address, question, entry, h.leaves)
		interval := 100 * time.Millisecond
		switch {
		case reply.Cause == CallerLeft, reply.Final == "complete" && !h.persists:
			return
		case reply.Final == "refused" && reply.Cause != string(failure.Duplicate) && h.obeys:
			interval = retry
		case reply.Final != "" && !h.persists:
			return
		}
		if !sleep(lifetime, interval) {
			return
		}
		if node = c.pick(entry.Zone, h.elsewhere+arrival); node == nil {
			return
		}
		h.persists = false
	}
}

// pick is the node that the platform hands a client of the zone to: one of
// its own that is up, or any other.
func (c *Clients) pick(zone string, draw int) *NodeProcess {
	running := c.fleet.Running(membership.Router)
	var near []*NodeProcess
	for _, node := range running {
		if node.Node.Zone == zone {
			near = append(near, node)
		}
	}
	if len(near) > 0 {
		running = near
	}
	if len(running) == 0 {
		return nil
	}
	return running[draw%len(running)]
}

// Question is the body of a request, as a client writes it.
type Question struct {
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

func (c *Clients) question(kind Kind, node *NodeProcess) (Question, Entry) {
	idempotent := c.random.Float64() >= c.Once
	question := Question{
		ID:           dataplane.NewRequestID(),
		Service:      kind.Service,
		Client:       "origin-" + strconv.Itoa(c.number%50),
		Idempotent:   idempotent,
		Limit:        15_000,
		PromptTokens: kind.LeastTokens + c.random.IntN(kind.MostTokens-kind.LeastTokens),
		Prefix:       kind.Service + "-" + strconv.Itoa(c.random.IntN(kind.Prefixes)),
		PrefixTokens: kind.PrefixTokens,
		Chunks:       kind.LeastChunks + c.random.IntN(kind.MostChunks-kind.LeastChunks),
	}
	return question, Entry{
		Request:    question.ID,
		Router:     node.Node.Name,
		Service:    kind.Service,
		Idempotent: idempotent,
		Asked:      question.Chunks,
	}
}

// Send sends one request and writes down its reply, word for word. A reply
// that breaks off without a final line is noted without one.
func (c *Clients) Send(lifetime context.Context, address string, question Question, entry Entry) Entry {
	reply, _ := c.send(lifetime, address, question, entry, -1)
	return reply
}

// CallerLeft is the cause of a reply that its own client broke off.
const CallerLeft = "the caller left"

// send sends one request; it also tells when the client may come back. A client
// that leaves closes the connection after so many chunks.
func (c *Clients) send(
	lifetime context.Context,
	address string,
	question Question,
	entry Entry,
	leaves int,
) (Entry, time.Duration) {
	began := time.Now()
	sent := entry
	sent.Kind = Sent
	c.fleet.Events.Append(sent)
	entry.Kind = Replied
	lifetime, end := context.WithTimeout(lifetime, time.Duration(question.Limit)*time.Millisecond+5*time.Second)
	defer end()
	status, retry, err := c.read(lifetime, address, question, &entry, leaves)
	entry.Status = status
	entry.Took = time.Since(began)
	if err != nil && entry.Final == "" {
		entry.Cause = err.Error()
		if failure.CodeOf(err) == failure.ClientLeft {
			entry.Cause = CallerLeft
		}
	}
	c.fleet.Events.Append(entry)
	return entry, retry
}

func (c *Clients) read(
	lifetime context.Context,
	address string,
	question Question,
	entry *Entry,
	leaves int,
) (int, time.Duration, error) {
	body, err := json.Marshal(question)
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
		if leaves == len(entry.Texts) {
			return inbound.StatusCode, 0, failure.New(failure.ClientLeft, CallerLeft)
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
