package replay

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"
)

// serverFixture is a pool of model servers and the directory that lists them.
type serverFixture struct {
	events    *EventLog
	pool      *ServerPool
	directory *Directory
	site      Site
}

func startServerFixture(t *testing.T, site Site) *serverFixture {
	t.Helper()
	addresses, testPorts, err := reserveAddresses()
	if err != nil {
		t.Fatal(err)
	}
	events := &EventLog{}
	pool, err := startServerPool(events, site, 1, func() string { return addresses.nextAddress() + ":" + testPorts.server })
	if err != nil {
		t.Fatal(err)
	}
	directory, err := startDirectory(events, pool, site, addresses.nextAddress()+":"+testPorts.list)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		directory.close()
		pool.close()
		_ = addresses.reserved.Close()
	})
	return &serverFixture{events, pool, directory, site}
}

// inPhase returns a server in the given phase, nil if there is none.
func (f *serverFixture) inPhase(phase string) *modelServer {
	for _, server := range f.pool.all() {
		if server.currentPhase() == phase {
			return server
		}
	}
	return nil
}

// send sends a request to a server, and returns the response and its body.
func (f *serverFixture) send(t *testing.T, server *modelServer, attemptID string, extra map[string]string) (*http.Response, string) {
	t.Helper()
	outbound, _ := http.NewRequest(http.MethodPost, "http://"+server.Address+"/chat/1", strings.NewReader("{}"))
	outbound.Header = http.Header{
		headerAttempt:  {attemptID},
		headerModel:    {modelName},
		headerTokens:   {"900,20"},
		headerParts:    {"a:500,b:400"},
		headerDeadline: {"3000"},
	}
	for name, value := range extra {
		outbound.Header.Set(name, value)
	}
	response, err := http.DefaultClient.Do(outbound)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	body, _ := io.ReadAll(response.Body)
	return response, string(body)
}

// prefill prefills a prompt on a server, and returns the location of its KV cache: address and handle.
func (f *serverFixture) prefill(t *testing.T, server *modelServer, attemptID string) string {
	t.Helper()
	response, body := f.send(t, server, attemptID, map[string]string{headerWorkPhase: phasePrefill})
	var page struct {
		PrefillHandle string
		TokenCount    int
	}
	if response.StatusCode != http.StatusOK || json.Unmarshal([]byte(body), &page) != nil || page.TokenCount != 900 {
		t.Fatalf("the prefill got status %d and body %q, want 200 and 900 tokens", response.StatusCode, body)
	}
	return server.Address + "/" + page.PrefillHandle
}

// TestHandlesAreTakenOnce prefills prompts on one server and decodes them on another. A handle that
// was taken, was freed or has expired cannot be taken.
func TestHandlesAreTakenOnce(t *testing.T) {
	fixture := startServerFixture(t, SmallSite())
	prefillServer, decodeServer := fixture.inPhase(phasePrefill), fixture.inPhase(phaseDecode)
	source := fixture.prefill(t, prefillServer, "t1")
	response, body := fixture.send(t, decodeServer, "t1", map[string]string{headerSource: source})
	if response.StatusCode != http.StatusOK || response.Header.Get(headerSeal) == "" ||
		response.Header.Get(headerAttempt) != "t1" || !strings.HasPrefix(body,
		"id: ") {
		t.Fatalf("got status %d, headers %v and body %q, want a sealed stream for attempt t1", response.StatusCode, response.Header, body)
	}
	if repeated, _ := fixture.send(t, decodeServer, "t1", map[string]string{headerSource: source}); repeated.StatusCode !=
		http.StatusServiceUnavailable || repeated.Header.Get(headerNotRun) == "" {
		t.Errorf("got status %d for a handle that was taken before, want 503 and the not-executed header", repeated.StatusCode)
	}
	source = fixture.prefill(t, prefillServer, "t2")
	freeRequest, _ := http.NewRequest(http.MethodDelete,
		"http://"+prefillServer.Address+pathHandle+source[strings.Index(source, "/")+1:], nil)
	if freed, err := http.DefaultClient.Do(freeRequest); err != nil || freed.StatusCode != http.StatusOK {
		t.Errorf("freeing the handle failed: %v", err)
	}
	if afterFree, _ := fixture.send(t, decodeServer, "t2", map[string]string{headerSource: source}); afterFree.StatusCode !=
		http.StatusServiceUnavailable {
		t.Errorf("got status %d for a freed handle, want 503", afterFree.StatusCode)
	}
	prefillServer.setMisbehaviour(func(m *misbehaviour) { m.handlesExpire = true })
	source = fixture.prefill(t, prefillServer, "t3")
	if afterExpiry, _ := fixture.send(t, decodeServer, "t3", map[string]string{headerSource: source}); afterExpiry.StatusCode !=
		http.StatusServiceUnavailable {
		t.Errorf("got status %d for an expired handle, want 503", afterExpiry.StatusCode)
	}
}

// TestRequestsForAnotherServerAreMisdirected sends requests that expect another server, phase or
// revision, and requests that a server accepts or rejects for other reasons.
func TestRequestsForAnotherServerAreMisdirected(t *testing.T) {
	fixture := startServerFixture(t, SmallSite())
	prefillServer, decodeServer := fixture.inPhase(phasePrefill), fixture.inPhase(phaseDecode)
	for name, extra := range map[string]map[string]string{
		"another server":   {headerTarget: "i-other"},
		"another phase":    {headerWorkPhase: phasePrefill},
		"another revision": {headerExpected: "9"},
	} {
		response, _ := fixture.send(t, decodeServer, name, extra)
		if response.StatusCode != http.StatusMisdirectedRequest || response.Header.Get(headerServer) != decodeServer.ID {
			t.Errorf("%s: got status %d, want 421 with the ID of the server", name, response.StatusCode)
		}
	}
	if decode, _ := fixture.send(t, prefillServer, "whole", nil); decode.StatusCode != http.StatusMisdirectedRequest {
		t.Errorf("got status %d for a decode request on a prefill server, want 421", decode.StatusCode)
	}
	if anonymous, _ := fixture.send(t, decodeServer, "", nil); anonymous.StatusCode != http.StatusBadRequest {
		t.Errorf("got status %d for a request without an attempt ID, want 400", anonymous.StatusCode)
	}
	if resumed, body := fixture.send(t, decodeServer, "resumed", map[string]string{headerLastEvent: "2"}); resumed.StatusCode !=
		http.StatusOK || !strings.Contains(body,
		"/3-") {
		t.Errorf("got status %d and body %q for a resumed stream, want 200 and events from token 3", resumed.StatusCode, body)
	}
}

// TestOrdersChangeThePhase sends invalid and conflicting orders to a server, then one that changes it
// to the prefill phase.
func TestOrdersChangeThePhase(t *testing.T) {
	site := SmallSite()
	for position := range site.Services {
		site.Services[position].Engine.PhaseSwitch = 50 * time.Millisecond
	}
	fixture := startServerFixture(t, site)
	server := fixture.inPhase(phaseDecode)
	order := func(body string) int {
		response, err := http.Post("http://"+server.Address+pathOrder, "application/json", bytes.NewReader([]byte(body)))
		if err != nil {
			t.Fatal(err)
		}
		return response.StatusCode
	}
	for body, want := range map[string]int{
		`{"opKind":"phase","phase":"prefill","owner":"n"}`:                                  400,
		`{"opKind":"dance","phase":"prefill","owner":"n","fenceToken":1}`:                   400,
		`{"opKind":"phase","phase":"decode","owner":"n","fenceToken":1}`:                    200,
		`{"opKind":"phase","phase":"prefill","owner":"n","fenceToken":1,"expectedCount":3}`: 409,
	} {
		if got := order(body); got != want {
			t.Errorf("%s: got status %d, want %d", body, got, want)
		}
	}
	if got := order(`{"opKind":"phase","phase":"prefill","owner":"n","fenceToken":2,"expectedCount":0}`); got != 202 {
		t.Fatalf("got status %d for the order, want 202", got)
	}
	deadline := time.Now().Add(5 * time.Second)
	for server.currentPhase() != phasePrefill {
		if time.Now().After(deadline) {
			t.Fatal("the server did not change its phase within 5 s")
		}
		sleep(server.lifetime, 5*time.Millisecond)
	}
	fixture.prefill(t, server, "t1")
}

// TestColdServersCrashAboveTheirRate sends far more requests per second than a cold server allows.
func TestColdServersCrashAboveTheirRate(t *testing.T) {
	fixture := startServerFixture(t, SmallSite())
	server, err := fixture.pool.add(fixture.site.Services[0], fixture.site.Zones[0], phaseDecode, true)
	if err != nil {
		t.Fatal(err)
	}
	crashed := false
	for number := range 80 {
		outbound, _ := http.NewRequest(http.MethodPost, "http://"+server.Address+"/chat/1", nil)
		outbound.Header.Set(headerAttempt, strconv.Itoa(number))
		outbound.Header.Set(headerTokens, "1,1")
		response, err := http.DefaultClient.Do(outbound)
		if err != nil {
			crashed = true
			break
		}
		_, _ = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
	}
	if !crashed {
		t.Error("the cold server did not crash after 80 requests")
	}
}

// TestServerListLagsAndIsPaged reads the list page by page, drains a server, and reads the list more
// often than allowed.
func TestServerListLagsAndIsPaged(t *testing.T) {
	site := SmallSite()
	site.ListLag, site.ListRate = 300*time.Millisecond, 30
	fixture := startServerFixture(t, site)
	list := func() (map[string]string, int) {
		states, token := map[string]string{}, ""
		for {
			response, err := http.Get("http://" + fixture.directory.Address + pathServers + "?pageToken=" + token)
			if err != nil {
				t.Fatal(err)
			}
			var page struct {
				Servers   []serverEntry
				NextToken *string
			}
			_ = json.NewDecoder(response.Body).Decode(&page)
			_ = response.Body.Close()
			if response.StatusCode != http.StatusOK {
				return states, response.StatusCode
			}
			for _, server := range page.Servers {
				states[server.ID] = server.State
			}
			if page.NextToken == nil {
				return states, response.StatusCode
			}
			token = *page.NextToken
		}
	}
	states, _ := list()
	if len(states) != len(fixture.pool.all()) {
		t.Fatalf("got %d listed servers, want %d", len(states), len(fixture.pool.all()))
	}
	leaving := fixture.pool.all()[0]
	began := time.Now()
	go fixture.pool.drain(leaving, time.Hour)
	for states[leaving.ID] != stateDraining {
		if time.Since(began) > 5*time.Second {
			t.Fatal("the list did not show the server draining within 5 s")
		}
		sleep(leaving.lifetime, 150*time.Millisecond)
		states, _ = list()
	}
	if took := time.Since(began); took < site.ListLag {
		t.Errorf("the list showed the server draining after %s, want no earlier than the lag", took)
	}
	shown := newRecord(fixture.events.Events(), site).shownLeaving[leaving.ID]
	if shown.IsZero() || shown.Sub(began) < site.ListLag {
		t.Errorf("the event log shows the server draining after %s, want no earlier than the lag", shown.Sub(began))
	}
	status := 0
	for range 60 {
		if _, status = list(); status == http.StatusTooManyRequests {
			break
		}
	}
	if status != http.StatusTooManyRequests {
		t.Error("no read of the list was rejected for its rate")
	}
}

// TestDuplicatedRejectionReplacesTheNextAnswer checks that a rejection for a handle that has lapsed is sent again in the
// place of the response to the next request on the connection, and that this request runs while its client waits.
func TestDuplicatedRejectionReplacesTheNextAnswer(t *testing.T) {
	fixture := startServerFixture(t, SmallSite())
	server := fixture.inPhase(phaseDecode)
	server.setMisbehaviour(func(m *misbehaviour) { m.corruptShare, m.duplicates = 1, true })
	for number := range 40 {
		connection, err := net.Dial("tcp", server.Address)
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = connection.Close() }()
		reader := bufio.NewReader(connection)
		first, second := "own-"+strconv.Itoa(number), "next-"+strconv.Itoa(number)
		rejection, err := askOn(connection, reader, first, "127.0.0.1:1/none")
		if err != nil || rejection.StatusCode != http.StatusServiceUnavailable || rejection.Header.Get(headerNotRun) == "" {
			t.Fatalf("a handle that is gone: got %+v, %v, want 503 and that the request did not run", rejection, err)
		}
		duplicate, err := askOn(connection, reader, second, "")
		if err != nil || duplicate.Header.Get(headerAttempt) != first {
			continue
		}
		if duplicate.StatusCode != http.StatusServiceUnavailable {
			t.Fatalf("got status %d a second time, want 503", duplicate.StatusCode)
		}
		server.mutex.Lock()
		defer server.mutex.Unlock()
		for !fixture.hasStarted(second) {
			server.progress.Wait()
		}
		return
	}
	t.Error("no rejection was duplicated")
}

// askOn sends a request on a connection and reads the head of the response.
func askOn(connection net.Conn, reader *bufio.Reader, attemptID, source string) (*http.Response, error) {
	outbound, _ := http.NewRequest(http.MethodPost, "http://"+connection.RemoteAddr().String()+"/chat/1", strings.NewReader("{}"))
	outbound.Header = http.Header{headerAttempt: {attemptID}, headerModel: {modelName}, headerTokens: {"10,2"}, headerParts: {"a:10"},
		headerDeadline: {"3000"}}
	if source != "" {
		outbound.Header.Set(headerSource, source)
	}
	if err := outbound.Write(connection); err != nil {
		return nil, err
	}
	return http.ReadResponse(reader, outbound)
}

// hasStarted reports whether the run of a request has started.
func (f *serverFixture) hasStarted(attemptID string) bool {
	return slices.ContainsFunc(f.events.Events(), func(event Event) bool {
		return event.Kind == RunStarted && event.AttemptID == attemptID
	})
}

// TestDuplicatedAnswerReplacesTheNextOne checks that the second request on a connection gets the
// response to the first one again.
func TestDuplicatedAnswerReplacesTheNextOne(t *testing.T) {
	fixture := startServerFixture(t, SmallSite())
	server := fixture.inPhase(phaseDecode)
	server.setMisbehaviour(func(m *misbehaviour) { m.corruptShare, m.duplicates = 1, true })
	client := &http.Client{Transport: &http.Transport{MaxConnsPerHost: 1}}
	ask := func(attemptID string) string {
		outbound, _ := http.NewRequest(http.MethodPost, "http://"+server.Address+"/chat/1", strings.NewReader("{}"))
		outbound.Header = http.Header{
			headerAttempt:  {attemptID},
			headerModel:    {modelName},
			headerTokens:   {"10,2"},
			headerParts:    {"a:10"},
			headerDeadline: {"3000"},
		}
		response, err := client.Do(outbound)
		if err != nil {
			return ""
		}
		_, _ = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
		return response.Header.Get(headerAttempt)
	}
	for number := range 40 {
		first, second := "own-"+strconv.Itoa(number), "next-"+strconv.Itoa(number)
		if ask(first) == first && ask(second) == first {
			return
		}
	}
	t.Error("no response was duplicated")
}
