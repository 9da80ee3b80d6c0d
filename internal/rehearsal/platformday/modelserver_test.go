package platformday

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
	book      *Book
	pool      *ServerPool
	directory *Directory
	site      Site
}

func startBench(test *testing.T, site Site) *bench {
	test.Helper()
	addresses, ports, failure := takeAddresses()
	if failure != nil {
		test.Fatal(failure)
	}
	book := &Book{}
	pool, failure := startServerPool(book, site, 1, func() string { return addresses.address() + ":" + ports.server })
	if failure != nil {
		test.Fatal(failure)
	}
	directory, failure := startDirectory(book, pool, site, addresses.address()+":"+ports.list)
	if failure != nil {
		test.Fatal(failure)
	}
	test.Cleanup(func() {
		directory.close()
		pool.close()
		_ = addresses.held.Close()
	})
	return &bench{book, pool, directory, site}
}

// playing finds a server by the part that it plays.
func (bench *bench) playing(phase string) *modelServer {
	for _, server := range bench.pool.all() {
		if server.playing() == phase {
			return server
		}
	}
	return nil
}

// ask sends a request to a server, and gives the answer with its body.
func (bench *bench) ask(test *testing.T, server *modelServer, try string, extra map[string]string) (*http.Response, string) {
	test.Helper()
	outbound, _ := http.NewRequest(http.MethodPost, "http://"+server.Address+"/chat/1", strings.NewReader("{}"))
	outbound.Header = http.Header{headerTry: {try}, headerModel: {modelName}, headerTokens: {"900,20"}, headerParts: {"a:500,b:400"}, headerDeadline: {"3000"}}
	for name, value := range extra {
		outbound.Header.Set(name, value)
	}
	answer, failure := http.DefaultClient.Do(outbound)
	if failure != nil {
		test.Fatal(failure)
	}
	defer func() { _ = answer.Body.Close() }()
	body, _ := io.ReadAll(answer.Body)
	return answer, string(body)
}

// read has a prompt read, and gives where its memory waits.
func (bench *bench) read(test *testing.T, server *modelServer, try string) string {
	test.Helper()
	answer, body := bench.ask(test, server, try, map[string]string{headerStage: stagePrefill})
	var page struct {
		PrefillHandle string
		TokenCount    int
	}
	if answer.StatusCode != http.StatusOK || json.Unmarshal([]byte(body), &page) != nil || page.TokenCount != 900 {
		test.Fatalf("reading: %d %s", answer.StatusCode, body)
	}
	return server.Address + "/" + page.PrefillHandle
}

// TestHandlesAreTakenOnce reads a prompt at one server and has it answered at another.
func TestHandlesAreTakenOnce(test *testing.T) {
	bench := startBench(test, SmallSite())
	reader, maker := bench.playing(stagePrefill), bench.playing(stageDecode)
	source := bench.read(test, reader, "t1")
	answer, body := bench.ask(test, maker, "t1", map[string]string{headerSource: source})
	if answer.StatusCode != http.StatusOK || answer.Header.Get(headerSeal) == "" || answer.Header.Get(headerTry) != "t1" || !strings.HasPrefix(body, "id: ") {
		test.Fatalf("%d %v %s", answer.StatusCode, answer.Header, body)
	}
	if answer, _ := bench.ask(test, maker, "t1", map[string]string{headerSource: source}); answer.StatusCode != http.StatusServiceUnavailable || answer.Header.Get(headerNotRun) == "" {
		test.Errorf("a handle was taken twice: %d", answer.StatusCode)
	}
	source = bench.read(test, reader, "t2")
	freed, _ := http.NewRequest(http.MethodDelete, "http://"+reader.Address+pathHandle+source[strings.Index(source, "/")+1:], nil)
	if answer, failure := http.DefaultClient.Do(freed); failure != nil || answer.StatusCode != http.StatusOK {
		test.Errorf("freeing: %v", failure)
	}
	if answer, _ := bench.ask(test, maker, "t2", map[string]string{headerSource: source}); answer.StatusCode != http.StatusServiceUnavailable {
		test.Errorf("a freed handle was taken: %d", answer.StatusCode)
	}
	reader.misbehave(func(misbehaviour *misbehaviour) { misbehaviour.lapses = true })
	source = bench.read(test, reader, "t3")
	if answer, _ := bench.ask(test, maker, "t3", map[string]string{headerSource: source}); answer.StatusCode != http.StatusServiceUnavailable {
		test.Errorf("a handle that lapsed was taken: %d", answer.StatusCode)
	}
}

// TestWhatIsMeantForAnotherServerIsTurnedAway asks for another life, another part and
// other weights.
func TestWhatIsMeantForAnotherServerIsTurnedAway(test *testing.T) {
	bench := startBench(test, SmallSite())
	reader, maker := bench.playing(stagePrefill), bench.playing(stageDecode)
	for name, extra := range map[string]map[string]string{"another life": {headerTarget: "i-other"}, "another part": {headerStage: stagePrefill}, "other weights": {headerExpected: "9"}} {
		answer, _ := bench.ask(test, maker, name, extra)
		if answer.StatusCode != http.StatusMisdirectedRequest || answer.Header.Get(headerServer) != maker.ID {
			test.Errorf("%s: %d", name, answer.StatusCode)
		}
	}
	if answer, _ := bench.ask(test, reader, "whole", nil); answer.StatusCode != http.StatusMisdirectedRequest {
		test.Errorf("a reader took a whole request: %d", answer.StatusCode)
	}
	if answer, _ := bench.ask(test, maker, "", nil); answer.StatusCode != http.StatusBadRequest {
		test.Errorf("a request without an id: %d", answer.StatusCode)
	}
	if answer, body := bench.ask(test, maker, "resumed", map[string]string{headerLastEvent: "2"}); answer.StatusCode != http.StatusOK || !strings.Contains(body, "/3-") {
		test.Errorf("a resumed stream: %d %s", answer.StatusCode, body)
	}
}

// TestOrdersChangeTheStage orders a server to read prompts.
func TestOrdersChangeTheStage(test *testing.T) {
	site := SmallSite()
	for position := range site.Services {
		site.Services[position].Engine.Switch = 50 * time.Millisecond
	}
	bench := startBench(test, site)
	maker := bench.playing(stageDecode)
	order := func(body string) int {
		answer, failure := http.Post("http://"+maker.Address+pathOrder, "application/json", bytes.NewReader([]byte(body)))
		if failure != nil {
			test.Fatal(failure)
		}
		return answer.StatusCode
	}
	for body, status := range map[string]int{
		`{"opKind":"phase","phase":"prefill","owner":"n"}`:                                  400,
		`{"opKind":"dance","phase":"prefill","owner":"n","fenceToken":1}`:                   400,
		`{"opKind":"phase","phase":"decode","owner":"n","fenceToken":1}`:                    200,
		`{"opKind":"phase","phase":"prefill","owner":"n","fenceToken":1,"expectedCount":3}`: 409,
	} {
		if given := order(body); given != status {
			test.Errorf("%s: %d", body, given)
		}
	}
	if given := order(`{"opKind":"phase","phase":"prefill","owner":"n","fenceToken":2,"expectedCount":0}`); given != 202 {
		test.Fatalf("the order was answered %d", given)
	}
	deadline := time.Now().Add(5 * time.Second)
	for maker.playing() != stagePrefill {
		if time.Now().After(deadline) {
			test.Fatal("the server never changed its part")
		}
		pause(maker.lifetime, 5*time.Millisecond)
	}
	bench.read(test, maker, "t1")
}

// TestColdServersFallOver sends well above a cold server's rate.
func TestColdServersFallOver(test *testing.T) {
	bench := startBench(test, SmallSite())
	server, failure := bench.pool.add(bench.site.Services[0], bench.site.Zones[0], stageDecode, true)
	if failure != nil {
		test.Fatal(failure)
	}
	fell := false
	for number := range 80 {
		outbound, _ := http.NewRequest(http.MethodPost, "http://"+server.Address+"/chat/1", nil)
		outbound.Header.Set(headerTry, strconv.Itoa(number))
		outbound.Header.Set(headerTokens, "1,1")
		answer, failure := http.DefaultClient.Do(outbound)
		if failure != nil {
			fell = true
			break
		}
		_, _ = io.Copy(io.Discard, answer.Body)
		_ = answer.Body.Close()
	}
	if !fell {
		test.Error("the server bore eighty requests while it was cold")
	}
}

// TestTheListIsLateAndHasPages reads the list page by page, lets a server leave, and asks
// more often than is allowed.
func TestTheListIsLateAndHasPages(test *testing.T) {
	site := SmallSite()
	site.ListLag, site.ListRate = 300*time.Millisecond, 30
	bench := startBench(test, site)
	list := func() (map[string]string, int) {
		states, token := map[string]string{}, ""
		for {
			answer, failure := http.Get("http://" + bench.directory.Address + pathServers + "?pageToken=" + token)
			if failure != nil {
				test.Fatal(failure)
			}
			var page struct {
				Servers   []serverPage
				NextToken *string
			}
			_ = json.NewDecoder(answer.Body).Decode(&page)
			_ = answer.Body.Close()
			if answer.StatusCode != http.StatusOK {
				return states, answer.StatusCode
			}
			for _, server := range page.Servers {
				states[server.ID] = server.State
			}
			if page.NextToken == nil {
				return states, answer.StatusCode
			}
			token = *page.NextToken
		}
	}
	states, _ := list()
	if len(states) != len(bench.pool.all()) {
		test.Fatalf("%d servers are listed of %d", len(states), len(bench.pool.all()))
	}
	leaving := bench.pool.all()[0]
	began := time.Now()
	go bench.pool.drain(leaving, time.Hour)
	for states[leaving.ID] != stateDraining {
		if time.Since(began) > 5*time.Second {
			test.Fatal("the list never shows the server leaving")
		}
		pause(leaving.lifetime, 150*time.Millisecond)
		states, _ = list()
	}
	if took := time.Since(began); took < site.ListLag {
		test.Errorf("the list showed it after %s", took)
	}
	shown := newRecord(bench.book.Events(), site).shown[leaving.ID]
	if shown.IsZero() || shown.Sub(began) < site.ListLag {
		test.Errorf("the book says that it was shown after %s", shown.Sub(began))
	}
	status := 0
	for range 60 {
		if _, status = list(); status == http.StatusTooManyRequests {
			break
		}
	}
	if status != http.StatusTooManyRequests {
		test.Error("no reading was above the rate")
	}
}

// TestAnExtraAnswerComesInThePlaceOfTheNext wants the second request on a circuit to get
// the first one's answer again.
func TestAnExtraAnswerComesInThePlaceOfTheNext(test *testing.T) {
	bench := startBench(test, SmallSite())
	maker := bench.playing(stageDecode)
	maker.misbehave(func(misbehaviour *misbehaviour) { misbehaviour.spoils, misbehaviour.late = 1, true })
	client := &http.Client{Transport: &http.Transport{MaxConnsPerHost: 1}}
	ask := func(try string) string {
		outbound, _ := http.NewRequest(http.MethodPost, "http://"+maker.Address+"/chat/1", strings.NewReader("{}"))
		outbound.Header = http.Header{headerTry: {try}, headerModel: {modelName}, headerTokens: {"10,2"}, headerParts: {"a:10"}, headerDeadline: {"3000"}}
		answer, failure := client.Do(outbound)
		if failure != nil {
			return ""
		}
		_, _ = io.Copy(io.Discard, answer.Body)
		_ = answer.Body.Close()
		return answer.Header.Get(headerTry)
	}
	for number := range 40 {
		own, other := "own-"+strconv.Itoa(number), "next-"+strconv.Itoa(number)
		if ask(own) == own && ask(other) == own {
			return
		}
	}
	test.Error("no extra answer came")
}
