package replay

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/google/uuid"
)

// Operators change the configuration and evacuate zones.
type Operators struct {
	day    *Day
	client *http.Client

	mutex  sync.Mutex
	random *rand.Rand
	// revisions are all that were ever sent, by their revision; current is the newest that
	// is known to be in force.
	sent     map[int]map[string]any
	versions map[int]Version
	current  Version
	numbers  int
	// watched are the routes that probes ask for.
	watched map[string]RouteRule
}

func newOperators(day *Day, seed uint64) *Operators {
	return &Operators{
		day:      day,
		random:   rand.New(rand.NewPCG(seed, 11)),
		sent:     map[int]map[string]any{},
		versions: map[int]Version{},
		watched:  map[string]RouteRule{},
		client:   &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, CheckRedirect: follow},
	}
}

// follow goes where a 307 sends a caller, twice.
func follow(_ *http.Request, before []*http.Request) error {
	if len(before) > 2 {
		return http.ErrUseLastResponse
	}
	return nil
}

// outcome is how a call of the operators ended.
type outcome string

const (
	acknowledged outcome = "acknowledged"
	refused      outcome = "refused"
	unclear      outcome = "unclear"
)

// answer is what came back for one call.
type answer struct {
	outcome outcome
	status  int
	body    []byte
	// node is the address that gave it.
	node string
}

// call sends one and the same call until it has a clear answer, to any machine that
// serves control.
func (o *Operators) call(lifetime context.Context, method, path string, header http.Header, body []byte) answer {
	rest, others, hazy := 50*time.Millisecond, 0, false
	for lifetime.Err() == nil {
		given, _ := o.once(lifetime, method, path, header, body)
		// What is refused after a sending without a clear answer may yet be in force.
		refusal := refused
		if hazy {
			refusal = unclear
		}
		switch status := given.status; {
		case status/100 == 2:
			given.outcome = acknowledged
			return given
		case status == 400, status == 409, status == 412, status == 413, status == 422:
			given.outcome = refusal
			return given
		case status/100 == 4 && status != 408 && status != 429:
			if others++; others == 3 {
				given.outcome = refusal
				return given
			}
		default:
			hazy = true
		}
		if !sleep(lifetime, rest) {
			break
		}
		rest = min(2*rest, 600*time.Millisecond)
	}
	return answer{outcome: unclear}
}

func (o *Operators) once(lifetime context.Context, method, path string, header http.Header, body []byte) (answer, error) {
	node := o.pick()
	if node == "" {
		return answer{}, errNoMachine
	}
	patience, end := context.WithTimeout(lifetime, time.Second+time.Duration(len(body)>>16)*100*time.Millisecond)
	defer end()
	outbound, err := http.NewRequestWithContext(patience, method, "http://"+node+path, bytes.NewReader(body))
	if err != nil {
		return answer{}, err
	}
	if header != nil {
		outbound.Header = header.Clone()
	}
	inbound, err := o.client.Do(outbound)
	if err != nil {
		return answer{}, err
	}
	defer func() { _ = inbound.Body.Close() }()
	read, err := io.ReadAll(inbound.Body)
	if err != nil {
		return answer{}, err
	}
	return answer{status: inbound.StatusCode, body: read, node: inbound.Request.URL.Host}, nil
}

// pick draws a machine that serves control, from a list that is some time late.
func (o *Operators) pick() string {
	nodes := o.day.controls(o.day.Site.Terms.SeedLag)
	o.mutex.Lock()
	defer o.mutex.Unlock()
	if len(nodes) == 0 {
		return ""
	}
	return nodes[o.random.IntN(len(nodes))]
}

// known is the revision that the operators believe to be in force.
func (o *Operators) known() Version {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return o.current
}

// draft makes the next revision over another, with a number of its own.
func (o *Operators) draft(base Version) Version {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.numbers = max(o.numbers, base.Revision) + 1 + o.random.IntN(3)
	return base.Next(o.numbers)
}

// watch has the probes ask for a route from now on.
func (o *Operators) watch(route string, rule RouteRule) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.watched[route] = rule
}

func (o *Operators) watchList() map[string]RouteRule {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	list := make(map[string]RouteRule, len(o.watched))
	for route, rule := range o.watched {
		list[route] = rule
	}
	return list
}

// propose sends a revision over another until it has a clear answer.
func (o *Operators) propose(
	lifetime context.Context,
	base, next Version,
	amends, invalid bool,
	spoil func(page map[string]any) []byte,
) answer {
	page := next.page(o.day.Site)
	o.mutex.Lock()
	if !invalid {
		o.sent[next.Revision], o.versions[next.Revision] = page, next
	}
	o.mutex.Unlock()
	path, text := pathReplace, page
	if amends {
		path, text = pathAmend, base.patch(o.day.Site, next)
	}
	body, _ := json.Marshal(text)
	if spoil != nil {
		body = spoil(text)
	}
	change := uuid.NewString()[:8]
	o.day.Events.Append(Event{
		Kind:     ChangeSent,
		Change:   change,
		Revision: next.Revision,
		Base:     base.Revision,
		Invalid:  invalid,
		Version:  &next,
	})
	header := http.Header{headerBase: {strconv.Itoa(base.Revision)}, "Content-Type": {"application/json"}}
	given := o.call(lifetime, http.MethodPost, path, header, body)
	o.day.Events.Append(Event{
		Kind:     ChangeClosed,
		Change:   change,
		Revision: next.Revision,
		Base:     base.Revision,
		Invalid:  invalid,
		Status:   given.status,
		Cause:    string(given.outcome),
		Version:  &next,
	})
	if given.outcome == acknowledged && !invalid {
		o.mutex.Lock()
		if next.Revision > o.current.Revision {
			o.current = next
		}
		o.mutex.Unlock()
	}
	return given
}

// read asks for the newest configuration until it comes.
func (o *Operators) read(lifetime context.Context) (int, []byte, bool) {
	given := o.call(lifetime, http.MethodGet, pathRead, nil, nil)
	var page struct {
		Revision int `json:"revision"`
	}
	if given.outcome != acknowledged || json.Unmarshal(given.body, &page) != nil {
		return 0, nil, false
	}
	return page.Revision, given.body, true
}

// resync reads which revision is in force, after a change that was refused or not clearly
// answered.
func (o *Operators) resync(lifetime context.Context) {
	revision, _, came := o.read(lifetime)
	o.mutex.Lock()
	defer o.mutex.Unlock()
	if version, known := o.versions[revision]; came && known {
		o.current = version
	}
}

// readBack reads the configuration at the end of the day, again and again for the time
// of contact, and notes what came last.
func (o *Operators) readBack(lifetime context.Context) {
	asking, end := context.WithTimeout(lifetime, o.day.Site.Terms.Contact+5*time.Second)
	defer end()
	last := Event{Kind: ReadBack, Cause: "nothing came"}
	began := time.Now()
	for asking.Err() == nil && time.Since(began) < o.day.Site.Terms.Contact {
		if revision, text, came := o.read(asking); came {
			o.mutex.Lock()
			sent := o.sent[revision]
			o.mutex.Unlock()
			last.Revision, last.Complete, last.Cause, last.At = revision, sent != nil && samePage(sent, text), "", time.Now()
			if !last.Complete {
				last.Cause = string(text[:min(len(text), 600)])
			}
		}
		sleep(asking, 300*time.Millisecond)
	}
	o.day.Events.Append(last)
}

// evacuate asks that nothing more be sent to a zone's servers; takeBack ends that.
func (o *Operators) evacuate(lifetime context.Context, zone string) bool {
	o.day.Events.Append(Event{Kind: EvacuateSent, Zone: zone})
	if o.call(lifetime, http.MethodPost, pathEvacuate+zone, nil, nil).outcome != acknowledged {
		return false
	}
	o.day.Events.Append(Event{Kind: Evacuated, Zone: zone})
	return true
}

func (o *Operators) takeBack(lifetime context.Context, zone string) bool {
	o.day.Events.Append(Event{Kind: TakenBack, Zone: zone})
	return o.call(lifetime, http.MethodPost, pathTakeBack+zone, nil, nil).outcome == acknowledged
}
