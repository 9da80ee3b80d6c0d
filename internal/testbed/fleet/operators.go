package fleet

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"

	"seamloom.example/seamloom/internal/failure"
	"seamloom.example/seamloom/internal/membership"
)

// Operators stand in for the operators who change a fleet's configuration. They record each
// change and its answer.
type Operators struct {
	fleet  *Fleet
	client *http.Client
}

// NewOperators returns operators for a fleet.
func NewOperators(fleet *Fleet) *Operators {
	return &Operators{
		fleet:  fleet,
		client: &http.Client{Timeout: 12 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 8}},
	}
}

// Answer is a controller's answer to an operator's call.
type Answer struct {
	Status        int             `json:"-"`
	Outcome       string          `json:"outcome"`
	Version       string          `json:"version"`
	Change        string          `json:"change"`
	Type          string          `json:"type"`
	Configuration json.RawMessage `json:"configuration"`
}

// Call sends one call to a controller and returns its answer.
func (o *Operators) Call(node *NodeProcess, method, path string, query url.Values, body string) (Answer, error) {
	outbound, err := http.NewRequest(method, "http://"+node.Node.Address+path+"?"+query.Encode(),
		bytes.NewReader([]byte(body)))
	if err != nil {
		return Answer{}, failure.Wrap(failure.Malformed, err)
	}
	inbound, err := o.client.Do(outbound)
	if err != nil {
		return Answer{}, failure.Wrap(failure.Unreachable, err)
	}
	defer func() { _ = inbound.Body.Close() }()
	content, err := io.ReadAll(inbound.Body)
	answer := Answer{Status: inbound.StatusCode}
	if err != nil || json.Unmarshal(content, &answer) != nil {
		return answer, failure.New(failure.Garbage, string(content))
	}
	return answer, nil
}

// PutRevision changes the configuration from the current revision to another one and records
// the answer. It removes the route of the current revision and adds that of the new one, and
// leaves evacuations as they are.
func (o *Operators) PutRevision(node *NodeProcess, revision int, current Answer) Answer {
	o.fleet.Events.Append(Entry{Kind: RevisionAsked, Revision: revision, Router: node.Node.Name})
	query := url.Values{"expected": {current.Version}, "change": {uuid.NewString()}}
	patch := o.fleet.Deployment.Configuration(revision)
	if before := RevisionOf(current.Configuration); before > 0 {
		patch = strings.Replace(patch, `"routes":{`, `"routes":{"edition-`+strconv.Itoa(before)+`":null,`, 1)
	}
	answer, err := o.Call(node, http.MethodPatch, "/v1/configuration", query, patch)
	entry := Entry{Kind: RevisionUnknown, Revision: revision, Router: node.Node.Name, Status: answer.Status}
	switch {
	case err == nil && answer.Outcome == "accepted":
		entry.Kind = RevisionAccepted
	case err == nil && answer.Outcome == "not_accepted":
		entry.Kind = RevisionRefused
	// A refused connection means that the change did not reach the controller.
	case err != nil && strings.Contains(err.Error(), "connection refused"):
		entry.Kind = RevisionRefused
	}
	entry.Cause = answer.Version
	o.fleet.Events.Append(entry)
	return answer
}

// ReadRevision reads the configuration and records its revision. It returns -1 if the
// configuration can't be read.
func (o *Operators) ReadRevision(node *NodeProcess) (Answer, int) {
	began := time.Now()
	answer, err := o.Call(node, http.MethodGet, "/v1/configuration", nil, "")
	if err != nil || answer.Status != http.StatusOK {
		return answer, -1
	}
	revision := RevisionOf(answer.Configuration)
	// The checkers subtract Took from At, because a read must show the changes that were accepted
	// before the read was sent; it need not show later ones.
	o.fleet.Events.Append(Entry{
		Kind:     RevisionRead,
		At:       time.Now(),
		Revision: revision,
		Router:   node.Node.Name,
		Took:     time.Since(began),
	})
	return answer, revision
}

// RevisionOf returns the revision of a configuration, or 0 if it has none.
func RevisionOf(configuration []byte) int {
	var parsed struct {
		Routes map[string]json.RawMessage `json:"routes"`
	}
	_ = json.Unmarshal(configuration, &parsed)
	// A configuration should name one revision. If it names two, the older one was left there
	// by mistake and is returned, so that the checkers see the mistake.
	oldest := 0
	for name := range parsed.Routes {
		if number, found := strings.CutPrefix(name, "edition-"); found {
			if revision, _ := strconv.Atoi(number); oldest == 0 || revision < oldest {
				oldest = revision
			}
		}
	}
	return oldest
}

// Evacuate evacuates a zone and reports whether the order was accepted. It records the order
// and the acceptance.
func (o *Operators) Evacuate(node *NodeProcess, zone string) bool {
	o.fleet.Events.Append(Entry{Kind: EvacuationAsked, Zone: zone})
	answer, err := o.orderZone(node, http.MethodPost, zone, `{"reason":"testbed"}`)
	if err == nil && answer.Outcome == "accepted" {
		o.fleet.Events.Append(Entry{Kind: Evacuated, Zone: zone})
		return true
	}
	return false
}

// Restore ends an evacuation and reports whether the order was accepted. It records the order
// but not the acceptance, because the change may take effect before the controller answers.
func (o *Operators) Restore(node *NodeProcess, zone string) bool {
	o.fleet.Events.Append(Entry{Kind: RestoreAsked, Zone: zone})
	answer, err := o.orderZone(node, http.MethodDelete, zone, "")
	return err == nil && answer.Outcome == "accepted"
}

// orderZone sends an order to evacuate or restore a zone. A controller that refuses the order
// because the order may have arrived late also closes the connection; orderZone then sends the
// order once more on a new connection, as an operator should.
func (o *Operators) orderZone(node *NodeProcess, method, zone, body string) (Answer, error) {
	path := "/v1/evacuations/" + url.PathEscape(zone)
	answer, err := o.Call(node, method, path, nil, body)
	if err == nil && answer.Type == string(failure.LateOrder) {
		return o.Call(node, method, path, nil, body)
	}
	return answer, err
}

// RecordRevisions records the revision that is in force at every running router. It sends
// each router a request for the service "edition". The refusal names the route that refused
// the request, and the route's name contains the revision.
func (o *Operators) RecordRevisions() {
	for _, node := range o.fleet.Running(membership.Router) {
		o.recordRevision(node)
	}
}

// recordRevision records the revision that is in force at one router.
func (o *Operators) recordRevision(node *NodeProcess) {
	began := time.Now()
	body := `{"id":"` + uuid.NewString() + `","service":"edition","pieces":1,"prompt_tokens":1}`
	inbound, err := probeClient.Post("http://"+node.Node.Address+"/v1/inquiries", "application/json",
		bytes.NewReader([]byte(body)))
	if err != nil {
		return
	}
	defer func() { _ = inbound.Body.Close() }()
	var line struct {
		Detail string `json:"detail"`
	}
	if inbound.StatusCode != http.StatusForbidden || json.NewDecoder(inbound.Body).Decode(&line) != nil {
		return
	}
	if number, found := strings.CutPrefix(line.Detail, "edition-"); found {
		revision, _ := strconv.Atoi(number)
		o.fleet.Events.Append(Entry{Kind: RevisionSeen, Router: node.Node.Name, Revision: revision, Took: time.Since(began)})
	}
}
