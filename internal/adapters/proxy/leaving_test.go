package proxy

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"seamloom.example/seamloom/internal/membership"
)

// TestRestingConnectionsEndWhenTheNodeLeaves has one client rest and one wait for its
// answer when the node's leaving was noticed: the first finds its connection closed, the
// second has its answer.
func TestRestingConnectionsEndWhenTheNodeLeaves(t *testing.T) {
	arrived, a := make(chan struct{}), make(chan struct{})
	s := newStandin(t, func(connection *callerConnection, inbound *http.Request) bool {
		id := inbound.Header.Get("Seamloom-Call")
		if id == "slow" {
			close(arrived)
			<-a
		}
		connection.say(whole(200, id, "x"))
		return true
	})
	sc := &scripted{decide: once(func() membership.Server { return s.server })}
	frontend, address, _ := openFrontend(t, sc, time.Now)
	dial := func(id string) (net.Conn, *bufio.Reader) {
		client, err := net.Dial("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = client.Close() })
		_, _ = io.WriteString(client, "GET /x HTTP/1.1\r\nHost: h\r\nSeamloom-Call: "+id+"\r\n\r\n")
		return client, bufio.NewReader(client)
	}
	resting, restingReader := dial("quick")
	inbound, err := http.ReadResponse(restingReader, nil)
	if err != nil {
		t.Fatal(err)
	}
	_, _ = io.ReadAll(inbound.Body)
	_, busyReader := dial("slow")
	<-arrived
	until(t, "one rests", func() bool {
		frontend.mutex.Lock()
		defer frontend.mutex.Unlock()
		for _, known := range frontend.connections {
			known.mutex.Lock()
			idle := known.state == http.StateIdle
			known.mutex.Unlock()
			if idle {
				return true
			}
		}
		return false
	})
	frontend.DismissIdle()
	_ = resting.SetReadDeadline(time.Now().Add(5 * time.Second))
	if _, err := restingReader.ReadByte(); err == nil || strings.Contains(err.Error(), "timeout") {
		t.Errorf("the resting connection is kept: %v", err)
	}
	close(a)
	inbound, err = http.ReadResponse(busyReader, nil)
	if err != nil || inbound.StatusCode != http.StatusOK {
		t.Fatalf("the call under way: %v", err)
	}
}
