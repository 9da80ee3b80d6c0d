package replay

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"
)

// bench is a pool of model servers and a list over them.
type bench struct {
	events    *EventLog
	pool      *ServerPool
	directory *Directory
	site      Site
}

func startBench(t *testing.T, site Site) *bench {
	t.Helper()
	addresses, p, err := takeAddresses()
	if err != nil {
		t.Fatal(err)
	}
	events := &EventLog{}
	pool, err := startServerPool(events, site, 1, func() string { return addresses.address() + ":" + p.server })
	if err != nil {
		t.Fatal(err)
	}
	directory, err := startDirectory(events, pool, site, addresses.address()+":"+p.list)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		directory.close()
		pool.close()
		_ = addresses.reserved.Close()
	})
	return &bench{events, pool, directory, site}
}

// playing finds a server by the part that it plays.
func (b *bench) playing(phase string) *modelServer {
	for _, server := range b.pool.all() {
		if server.playing() == phase {
			return server
		}
	}
	return nil
}

// ask sends a request to a server, and gives the answer with its body.
func (b *bench) ask(t *testing.T, server *modelServer, tr string, extra map[string]string) (*http.Response, string) {
	t.Helper()
	outbound, _ := http.NewRequest(http.MethodPost, "http://"+server.Address+"/chat/1", strings.NewReader("{}"))
	outbound.Header = http.Header{
		headerAttempt:  {tr},
		headerModel:    {modelName},
		headerTokens:   {"900,20"},
		headerParts:    {"a:500,b:400"},
		headerDeadline: {"3000"},
	}
	for name, value := range extra {
		outbound.Header.Set(name, value)
	}
	a, err := http.DefaultClient.Do(outbound)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = a.Body.Close() }()
	body, _ := io.ReadAll(a.Body)
	return a, string(body)
}

// read has a prompt read, and gives where its memory waits.
func (b *bench) read(t *testing.T, server *modelServer, tr string) string {
	t.Helper()
	a, body := b.ask(t, server, tr, map[string]string{headerStage: phasePrefill})
	var page struct {
		PrefillHandle string
		TokenCount    int
	}
	if a.StatusCode != http.StatusOK || json.Unmarshal([]byte(body), &page) != nil || page.TokenCount != 900 {
		t.Fatalf("reading: %d %s", a.StatusCode, body)
	}
	return server.Address + "/" + page.PrefillHandle
}

// TestHandlesAreTakenOnce reads a prompt at one server and has it answered at another.
func TestHandlesAreTakenOnce(t *testing.T) {
	b := startBench(t, SmallSite())
	reader, maker := b.playing(phasePrefill), b.playing(phaseDecode)
	source := b.read(t, reader, "t1")
	a, body := b.ask(t, maker, "t1", map[string]string{headerSource: source})
	if a.StatusCode != http.StatusOK || a.Header.Get(headerSeal) == "" || a.Header.Get(headerAttempt) != "t1" || !strings.HasPrefix(body,
		"id: ") {
		t.Fatalf("%d %v %s", a.StatusCode, a.Header, body)
	}
	if an, _ := b.ask(t, maker, "t1", map[string]string{headerSource: source}); an.StatusCode != http.StatusServiceUnavailable || an.Header.Get(headerNotRun) == "" {
		t.Errorf("a handle was taken twice: %d", an.StatusCode)
	}
	source = b.read(t, reader, "t2")
	freed, _ := http.NewRequest(http.MethodDelete,
		"http://"+reader.Address+pathHandle+source[strings.Index(source, "/")+1:], nil)
	if ans, err := http.DefaultClient.Do(freed); err != nil || ans.StatusCode != http.StatusOK {
		t.Errorf("freeing: %v", err)
	}
	if aAnswer, _ := b.ask(t, maker, "t2", map[string]string{headerSource: source}); aAnswer.StatusCode != http.StatusServiceUnavailable {
		t.Errorf("a freed handle was taken: %d", aAnswer.StatusCode)
	}
	reader.misbehave(func(m *misbehaviour) { m.lapses = true })
	source = b.read(t, reader, "t3")
	if answer, _ := b.ask(t, maker, "t3", map[string]string{headerSource: source}); answer.StatusCode != http.StatusServiceUnavailable {
		t.Errorf("a handle that lapsed was taken: %d", answer.StatusCode)
	}
}

// TestWhatIsMeantForAnotherServerIsTurnedAway asks for another life, another part and
// other weights.
func TestWhatIsMeantForAnotherServerIsTurnedAway(t *testing.T) {
	b := startBench(t, SmallSite())
	reader, maker := b.playing(phasePrefill), b.playing(phaseDecode)
	for name, extra := range map[string]map[string]string{
		"another life":  {headerTarget: "i-other"},
		"another part":  {headerStage: phasePrefill},
		"other weights": {headerExpected: "9"},
	} {
		a, _ := b.ask(t, maker, name, extra)
		if a.StatusCode != http.StatusMisdirectedRequest || a.Header.Get(headerServer) != maker.ID {
			t.Errorf("%s: %d", name, a.StatusCode)
		}
	}
	if an, _ := b.ask(t, reader, "whole", nil); an.StatusCode != http.StatusMisdirectedRequest {
		t.Errorf("a reader took a whole request: %d", an.StatusCode)
	}
	if ans, _ := b.ask(t, maker, "", nil); ans.StatusCode != http.StatusBadRequest {
		t.Errorf("a request without an id: %d", ans.StatusCode)
	}
	if aAnswer, body := b.ask(t, maker, "resumed", map[string]string{headerLastEvent: "2"}); aAnswer.StatusCode != http.StatusOK || !strings.Contains(body,
		"/3-") {
		t.Errorf("a resumed stream: %d %s", aAnswer.StatusCode, body)
	}
}

// TestOrdersChangeTheStage orders a server to read prompts.
func TestOrdersChangeTheStage(t *testing.T) {
	site := SmallSite()
	for position := range site.Services {
		site.Services[position].Engine.Switch = 50 * time.Millisecond
	}
	b := startBench(t, site)
	maker := b.playing(phaseDecode)
	order := func(body string) int {
		a, err := http.Post("http://"+maker.Address+pathOrder, "application/json", bytes.NewReader([]byte(body)))
		if err != nil {
			t.Fatal(err)
		}
		return a.StatusCode
	}
	for body, status := range map[string]int{
		`{"opKind":"phase","phase":"prefill","owner":"n"}`:                                  400,
		`{"opKind":"dance","phase":"prefill","owner":"n","fenceToken":1}`:                   400,
		`{"opKind":"phase","phase":"decode","owner":"n","fenceToken":1}`:                    200,
		`{"opKind":"phase","phase":"prefill","owner":"n","fenceToken":1,"expectedCount":3}`: 409,
	} {
		if given := order(body); given != status {
			t.Errorf("%s: %d", body, given)
		}
	}
	if given := order(`{"opKind":"phase","phase":"prefill","owner":"n","fenceToken":2,"expectedCount":0}`); given != 202 {
		t.Fatalf("the order was answered %d", given)
	}
	deadline := time.Now().Add(5 * time.Second)
	for maker.playing() != phasePrefill {
		if time.Now().After(deadline) {
			t.Fatal("the server never changed its part")
		}
		sleep(maker.lifetime, 5*time.Millisecond)
	}
	b.read(t, maker, "t1")
}

// TestColdServersFallOver sends well above a cold server's rate.
func TestColdServersFallOver(t *testing.T) {
	b := startBench(t, SmallSite())
	server, err := b.pool.add(b.site.Services[0], b.site.Zones[0], phaseDecode, true)
	if err != nil {
		t.Fatal(err)
	}
	fell := false
	for number := range 80 {
		outbound, _ := http.NewRequest(http.MethodPost, "http://"+server.Address+"/chat/1", nil)
		outbound.Header.Set(headerAttempt, strconv.Itoa(number))
		outbound.Header.Set(headerTokens, "1,1")
		a, err := http.DefaultClient.Do(outbound)
		if err != nil {
			fell = true
			break
		}
		_, _ = io.Copy(io.Discard, a.Body)
		_ = a.Body.Close()
	}
	if !fell {
		t.Error("the server bore eighty requests while it was cold")
	}
}

// TestTheListIsLateAndHasPages reads the list page by page, lets a server leave, and asks
// more often than is allowed.
func TestTheListIsLateAndHasPages(t *testing.T) {
	site := SmallSite()
	site.ListLag, site.ListRate = 300*time.Millisecond, 30
	b := startBench(t, site)
	list := func() (map[string]string, int) {
		states, token := map[string]string{}, ""
		for {
			a, err := http.Get("http://" + b.directory.Address + pathServers + "?pageToken=" + token)
			if err != nil {
				t.Fatal(err)
			}
			var page struct {
				Servers   []serverPage
				NextToken *string
			}
			_ = json.NewDecoder(a.Body).Decode(&page)
			_ = a.Body.Close()
			if a.StatusCode != http.StatusOK {
				return states, a.StatusCode
			}
			for _, server := range page.Servers {
				states[server.ID] = server.State
			}
			if page.NextToken == nil {
				return states, a.StatusCode
			}
			token = *page.NextToken
		}
	}
	states, _ := list()
	if len(states) != len(b.pool.all()) {
		t.Fatalf("%d servers are listed of %d", len(states), len(b.pool.all()))
	}
	leaving := b.pool.all()[0]
	began := time.Now()
	go b.pool.drain(leaving, time.Hour)
	for states[leaving.ID] != stateDraining {
		if time.Since(began) > 5*time.Second {
			t.Fatal("the list never shows the server leaving")
		}
		sleep(leaving.lifetime, 150*time.Millisecond)
		states, _ = list()
	}
	if took := time.Since(began); took < site.ListLag {
		t.Errorf("the list showed it after %s", took)
	}
	shown := newRecord(b.events.Events(), site).shown[leaving.ID]
	if shown.IsZero() || shown.Sub(began) < site.ListLag {
		t.Errorf("the book says that it was shown after %s", shown.Sub(began))
	}
	status := 0
	for range 60 {
		if _, status = list(); status == http.StatusTooManyRequests {
			break
		}
	}
	if status != http.StatusTooManyRequests {
		t.Error("no reading was above the rate")
	}
}

// TestAnExtraAnswerComesInThePlaceOfTheNext wants the second request on a connection to get
// the first one's answer again.
func TestAnExtraAnswerComesInThePlaceOfTheNext(t *testing.T) {
	b := startBench(t, SmallSite())
	maker := b.playing(phaseDecode)
	maker.misbehave(func(m *misbehaviour) { m.spoils, m.late = 1, true })
	c := &http.Client{Transport: &http.Transport{MaxConnsPerHost: 1}}
	ask := func(tr string) string {
		outbound, _ := http.NewRequest(http.MethodPost, "http://"+maker.Address+"/chat/1", strings.NewReader("{}"))
		outbound.Header = http.Header{
			headerAttempt:  {tr},
			headerModel:    {modelName},
			headerTokens:   {"10,2"},
			headerParts:    {"a:10"},
			headerDeadline: {"3000"},
		}
		a, err := c.Do(outbound)
		if err != nil {
			return ""
		}
		_, _ = io.Copy(io.Discard, a.Body)
		_ = a.Body.Close()
		return a.Header.Get(headerAttempt)
	}
	for number := range 40 {
		own, other := "own-"+strconv.Itoa(number), "next-"+strconv.Itoa(number)
		if ask(own) == own && ask(other) == own {
			return
		}
	}
	t.Error("no extra answer came")
}
