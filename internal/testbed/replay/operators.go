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
	// versions holds all valid versions that were sent, sent the pages with their content, both by
	// revision. current is the newest version that is known to be in force.
	sent         map[int]map[string]any
	versions     map[int]Version
	current      Version
	lastRevision int
	// watched are the routes that probes use.
	watched map[string]RouteRule
}

func newOperators(day *Day, seed uint64) *Operators {
	return &Operators{
		day:      day,
		random:   rand.New(rand.NewPCG(seed, 11)),
		sent:     map[int]map[string]any{},
		versions: map[int]Version{},
		watched:  map[string]RouteRule{},
		client:   &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, CheckRedirect: followRedirects},
	}
}

// followRedirects follows up to two redirects.
func followRedirects(_ *http.Request, before []*http.Request) error {
	if len(before) > 2 {
		return http.ErrUseLastResponse
	}
	return nil
}

// outcome is the result of a call by the operators.
type outcome string

const (
	acknowledged outcome = "acknowledged"
	refused      outcome = "refused"
	unclear      outcome = "unclear"
)

// callResult is the response to a call.
type callResult struct {
	outcome outcome
	status  int
	body    []byte
	// node is the control plane address of the machine that responded.
	node string
}

// call sends a call to random machines that serve the control plane, and repeats it until the outcome
// is clear or the lifetime ends. A call counts as refused at once if the status is 400, 409, 412, 413
// or 422, and after the third response with another 4xx status, except 408 and 429.
func (o *Operators) call(lifetime context.Context, method, path string, header http.Header, body []byte) callResult {
	delay, otherRefusals, ambiguous := 50*time.Millisecond, 0, false
	for lifetime.Err() == nil {
		reply, _ := o.callOnce(lifetime, method, path, header, body)
		// If the outcome of an earlier call was ambiguous, a change that is refused now may be in
		// force.
		refusal := refused
		if ambiguous {
			refusal = unclear
		}
		switch status := reply.status; {
		case status/100 == 2:
			reply.outcome = acknowledged
			return reply
		case status == 400, status == 409, status == 412, status == 413, status == 422:
			reply.outcome = refusal
			return reply
		case status/100 == 4 && status != 408 && status != 429:
			if otherRefusals++; otherRefusals == 3 {
				reply.outcome = refusal
				return reply
			}
		default:
			ambiguous = true
		}
		if !sleep(lifetime, delay) {
			break
		}
		delay = min(2*delay, 600*time.Millisecond)
	}
	return callResult{outcome: unclear}
}

// callOnce sends a call to one machine.
func (o *Operators) callOnce(lifetime context.Context, method, path string, header http.Header, body []byte) (callResult, error) {
	node := o.pickNode()
	if node == "" {
		return callResult{}, errNoMachine
	}
	deadline, cancel := context.WithTimeout(lifetime, time.Second+time.Duration(len(body)>>16)*100*time.Millisecond)
	defer cancel()
	outbound, err := http.NewRequestWithContext(deadline, method, "http://"+node+path, bytes.NewReader(body))
	if err != nil {
		return callResult{}, err
	}
	if header != nil {
		outbound.Header = header.Clone()
	}
	inbound, err := o.client.Do(outbound)
	if err != nil {
		return callResult{}, err
	}
	defer func() { _ = inbound.Body.Close() }()
	content, err := io.ReadAll(inbound.Body)
	if err != nil {
		return callResult{}, err
	}
	return callResult{status: inbound.StatusCode, body: content, node: inbound.Request.URL.Host}, nil
}

// pickNode returns the address of a random machine that serves the control plane, from a list that
// is a seed lag old. It returns an empty string if the list is empty.
func (o *Operators) pickNode() string {
	nodes := o.day.controlAddresses(o.day.Site.Terms.SeedLag)
	o.mutex.Lock()
	defer o.mutex.Unlock()
	if len(nodes) == 0 {
		return ""
	}
	return nodes[o.random.IntN(len(nodes))]
}

// newestKnown returns the newest version that the operators know to be in force.
func (o *Operators) newestKnown() Version {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return o.current
}

// draft copies a version under a new revision number.
func (o *Operators) draft(base Version) Version {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.lastRevision = max(o.lastRevision, base.Revision) + 1 + o.random.IntN(3)
	return base.Next(o.lastRevision)
}

// watch adds a route to the routes that probes use.
func (o *Operators) watch(route string, rule RouteRule) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.watched[route] = rule
}

// watchedRoutes returns a copy of the routes that probes use.
func (o *Operators) watchedRoutes() map[string]RouteRule {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	list := make(map[string]RouteRule, len(o.watched))
	for route, rule := range o.watched {
		list[route] = rule
	}
	return list
}

// propose sends the version next, which is based on the version base, and repeats the call until the
// outcome is clear. If asPatch is set, propose sends only the difference. If invalidate is not nil,
// propose sends the body that invalidate returns. The argument invalid means that the control plane
// must refuse the change.
func (o *Operators) propose(
	lifetime context.Context,
	base, next Version,
	asPatch, invalid bool,
	invalidate func(page map[string]any) []byte,
) callResult {
	page := next.page(o.day.Site)
	o.mutex.Lock()
	if !invalid {
		o.sent[next.Revision], o.versions[next.Revision] = page, next
	}
	o.mutex.Unlock()
	path, content := pathReplace, page
	if asPatch {
		path, content = pathAmend, base.patch(o.day.Site, next)
	}
	body, _ := json.Marshal(content)
	if invalidate != nil {
		body = invalidate(content)
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
	header := http.Header{headerBaseRevision: {strconv.Itoa(base.Revision)}, "Content-Type": {"application/json"}}
	reply := o.call(lifetime, http.MethodPost, path, header, body)
	o.day.Events.Append(Event{
		Kind:     ChangeClosed,
		Change:   change,
		Revision: next.Revision,
		Base:     base.Revision,
		Invalid:  invalid,
		Status:   reply.status,
		Cause:    string(reply.outcome),
		Version:  &next,
	})
	if reply.outcome == acknowledged && !invalid {
		o.mutex.Lock()
		if next.Revision > o.current.Revision {
			o.current = next
		}
		o.mutex.Unlock()
	}
	return reply
}

// read reads the newest configuration, and retries until it succeeds or the lifetime ends. It returns
// the revision and the text, or false without a configuration.
func (o *Operators) read(lifetime context.Context) (int, []byte, bool) {
	reply := o.call(lifetime, http.MethodGet, pathRead, nil, nil)
	var page struct {
		Revision int `json:"revision"`
	}
	if reply.outcome != acknowledged || json.Unmarshal(reply.body, &page) != nil {
		return 0, nil, false
	}
	return page.Revision, reply.body, true
}

// resync reads which revision is in force and makes that version the current one, if the operators
// sent it. It is called after a change was refused or had an unclear outcome.
func (o *Operators) resync(lifetime context.Context) {
	revision, _, received := o.read(lifetime)
	o.mutex.Lock()
	defer o.mutex.Unlock()
	if version, known := o.versions[revision]; received && known {
		o.current = version
	}
}

// readBack reads the configuration repeatedly for the contact time at the end of the day, and
// records the last result.
func (o *Operators) readBack(lifetime context.Context) {
	deadline, cancel := context.WithTimeout(lifetime, o.day.Site.Terms.Contact+5*time.Second)
	defer cancel()
	last := Event{Kind: ReadBack, Cause: "no response"}
	began := time.Now()
	for deadline.Err() == nil && time.Since(began) < o.day.Site.Terms.Contact {
		if revision, text, received := o.read(deadline); received {
			o.mutex.Lock()
			sent := o.sent[revision]
			o.mutex.Unlock()
			last.Revision, last.Complete, last.Cause, last.At = revision, sent != nil && samePage(sent, text), "", time.Now()
			if !last.Complete {
				last.Cause = string(text[:min(len(text), 600)])
			}
		}
		sleep(deadline, 300*time.Millisecond)
	}
	o.day.Events.Append(last)
}

// evacuate asks the control plane to send no more requests to a zone's servers.
func (o *Operators) evacuate(lifetime context.Context, zone string) bool {
	o.day.Events.Append(Event{Kind: EvacuationSent, Zone: zone})
	if o.call(lifetime, http.MethodPost, pathEvacuate+zone, nil, nil).outcome != acknowledged {
		return false
	}
	o.day.Events.Append(Event{Kind: Evacuated, Zone: zone})
	return true
}

// endEvacuation ends the evacuation of a zone.
func (o *Operators) endEvacuation(lifetime context.Context, zone string) bool {
	o.day.Events.Append(Event{Kind: EvacuationEnded, Zone: zone})
	return o.call(lifetime, http.MethodPost, pathTakeBack+zone, nil, nil).outcome == acknowledged
}
