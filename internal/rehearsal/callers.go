package rehearsal

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

	"seamloom.example/seamloom/internal/hatch"
	"seamloom.example/seamloom/internal/roster"
	"seamloom.example/seamloom/internal/trouble"
)

// Callers are the stand-ins of restaurants, riders and cooks: they send
// inquiries at a steady rate, whatever becomes of them, and write down what
// they read.
type Callers struct {
	fleet  *Fleet
	client *http.Client
	random *rand.Rand
	number int

	waiting   sync.WaitGroup
	longRate  atomic.Int64
	shortRate atomic.Int64
	// Once is the share of inquiries that may not be repeated.
	Once float64
}

// NewCallers makes callers with a seed. The share once of the inquiries may
// not be repeated.
//
// Example:
//
//	callers := rehearsal.NewCallers(fleet, 1, 0.3)
func NewCallers(fleet *Fleet, seed uint64, once float64) *Callers {
	return &Callers{fleet: fleet, random: rand.New(rand.NewPCG(seed, 77)), Once: once,
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 128}}}
}

// SetRates sets how many inquiries of each kind come in a second.
//
// Example:
//
//	callers.SetRates(8, 10)
func (callers *Callers) SetRates(long, short float64) {
	callers.longRate.Store(int64(long * 1000))
	callers.shortRate.Store(int64(short * 1000))
}

// Run sends inquiries until the lifetime ends, then waits for the replies.
//
// Example:
//
//	callers.Run(lifetime)
func (callers *Callers) Run(lifetime context.Context) {
	defer callers.waiting.Wait()
	for lifetime.Err() == nil {
		long, short := float64(callers.longRate.Load())/1000, float64(callers.shortRate.Load())/1000
		pause := time.Duration(callers.random.ExpFloat64() / max(long+short, 0.01) * float64(time.Second))
		if !pauseFor(lifetime, min(pause, time.Second)) {
			return
		}
		if pause > time.Second {
			continue
		}
		kind := callers.fleet.Deployment.Short
		if callers.random.Float64()*(long+short) < long {
			kind = callers.fleet.Deployment.Long
		}
		callers.number++
		// The platform hands a client to a node of its zone that is up.
		node := callers.pick()
		if node == nil {
			continue
		}
		question, entry := callers.question(kind, node)
		callers.waiting.Add(1)
		go func() {
			defer callers.waiting.Done()
			callers.Send(context.Background(), node.Node.Address, question, entry)
		}()
	}
}

func (callers *Callers) pick() *NodeProcess {
	running := callers.fleet.Running(roster.Courier)
	if len(running) == 0 {
		return nil
	}
	return running[callers.random.IntN(len(running))]
}

// Question is the body of an inquiry, as a caller writes it.
type Question struct {
	ID           string `json:"id"`
	Service      string `json:"service"`
	Origin       string `json:"origin"`
	Repeatable   bool   `json:"repeatable"`
	Limit        int    `json:"limit_milliseconds"`
	PromptTokens int    `json:"prompt_tokens"`
	Prefix       string `json:"prefix,omitempty"`
	PrefixTokens int    `json:"prefix_tokens,omitempty"`
	Pieces       int    `json:"pieces"`
}

func (callers *Callers) question(kind Kind, node *NodeProcess) (Question, Entry) {
	repeatable := callers.random.Float64() >= callers.Once
	question := Question{ID: hatch.NewInquiryID(), Service: kind.Service, Origin: "origin-" + strconv.Itoa(callers.number%50), Repeatable: repeatable,
		Limit: 15_000, PromptTokens: kind.LeastTokens + callers.random.IntN(kind.MostTokens-kind.LeastTokens),
		Prefix: kind.Service + "-" + strconv.Itoa(callers.random.IntN(kind.Prefixes)), PrefixTokens: kind.PrefixTokens,
		Pieces: kind.LeastPieces + callers.random.IntN(kind.MostPieces-kind.LeastPieces)}
	return question, Entry{Inquiry: question.ID, Courier: node.Node.Name, Service: kind.Service, Repeatable: repeatable, Asked: question.Pieces}
}

// Send sends one inquiry and writes down its reply, word for word. A reply
// that breaks off without a final line is noted without one.
//
// Example:
//
//	reply := callers.Send(lifetime, address, question, entry)
func (callers *Callers) Send(lifetime context.Context, address string, question Question, entry Entry) Entry {
	began := time.Now()
	sent := entry
	sent.Kind = Sent
	callers.fleet.Book.Note(sent)
	entry.Kind = Replied
	lifetime, end := context.WithTimeout(lifetime, time.Duration(question.Limit)*time.Millisecond+5*time.Second)
	defer end()
	status, failure := callers.read(lifetime, address, question, &entry)
	entry.Status = status
	entry.Took = time.Since(began)
	if failure != nil && entry.Final == "" {
		entry.Cause = failure.Error()
	}
	callers.fleet.Book.Note(entry)
	return entry
}

func (callers *Callers) read(lifetime context.Context, address string, question Question, entry *Entry) (int, error) {
	body, failure := json.Marshal(question)
	if failure != nil {
		return 0, trouble.Wrap(trouble.Malformed, failure)
	}
	outbound, failure := http.NewRequestWithContext(lifetime, http.MethodPost, "http://"+address+"/v1/inquiries", bytes.NewReader(body))
	if failure != nil {
		return 0, trouble.Wrap(trouble.Malformed, failure)
	}
	inbound, failure := callers.client.Do(outbound)
	if failure != nil {
		return 0, trouble.Wrap(trouble.Unreachable, failure)
	}
	defer func() { _ = inbound.Body.Close() }()
	lines := bufio.NewScanner(inbound.Body)
	for lines.Scan() {
		var line hatch.ReplyLine
		if failure := json.Unmarshal(lines.Bytes(), &line); failure != nil {
			return inbound.StatusCode, trouble.Wrap(trouble.Garbage, failure)
		}
		if line.Final != "" {
			entry.Final, entry.Pieces, entry.Cause = string(line.Final), line.Pieces, string(line.Type)
			return inbound.StatusCode, nil
		}
		entry.Texts = append(entry.Texts, strconv.Itoa(line.Piece)+"|"+line.Text)
	}
	return inbound.StatusCode, trouble.Wrap(trouble.Unreachable, lines.Err())
}
