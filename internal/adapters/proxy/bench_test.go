package proxy

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"seamloom.example/seamloom/internal/dataplane"
	"seamloom.example/seamloom/internal/membership"
	"seamloom.example/seamloom/internal/scheduler"
)

// serveRaw responds to calls on raw connections with as little work as possible, so that the benchmark
// measures the router. Each call gets the response, followed by the given number of events.
func serveRaw(listener net.Listener, response []byte, events int) {
	for {
		connection, err := listener.Accept()
		if err != nil {
			return
		}
		go func() {
			defer func() { _ = connection.Close() }()
			reader := bufio.NewReaderSize(connection, 64<<10)
			for {
				length := 0
				for {
					line, err := reader.ReadSlice('\n')
					if err != nil {
						return
					}
					if text, found := strings.CutPrefix(string(line), "Content-Length: "); found {
						length, _ = strconv.Atoi(strings.TrimSpace(text))
					}
					// A blank line ends the head.
					if len(line) <= 2 {
						break
					}
				}
				if _, err := reader.Discard(length); err != nil {
					return
				}
				if events == 0 {
					_, _ = connection.Write(response)
					continue
				}
				_, _ = connection.Write(response)
				for number := range events {
					_, _ = io.WriteString(connection, chunk(event(number+1)))
				}
				_, _ = io.WriteString(connection, "0\r\n\r\n")
			}
		}()
	}
}

// splitExecutor sends each call to a prefill server, and then to a decode server. Without a prefill server it
// sends the call only to the decode server.
type splitExecutor struct {
	scriptedExecutor
	prefillServer, decodeServer membership.Server
}

// Serve serves one call and panics unless the response is complete.
func (s *splitExecutor) Serve(_ *scheduler.Call, e dataplane.Exchange) {
	deadline := time.Now().Add(5 * time.Second)
	decision := scheduler.Decision{Kind: scheduler.Generate, Server: s.decodeServer, Deadline: deadline, Priority: 1}
	if s.prefillServer.Address != "" {
		outcome := e.Prefill(scheduler.Decision{Kind: scheduler.Prefill, Server: s.prefillServer, Deadline: deadline, Priority: 1})
		decision.Source = &scheduler.Source{Address: s.prefillServer.Address, Handle: outcome.Handle}
	}
	if outcome := e.Generate(&s.route, decision, func() {}); outcome.Result != scheduler.Complete {
		panic(outcome.Result)
	}
}

// benchmarkCalls measures calls with a body of bodySize bytes. The response is a stream of the given
// number of events, or a plain response if events is zero.
func benchmarkCalls(b *testing.B, withPrefill bool, events, bodySize int) {
	startServer := func(response string, events int) membership.Server {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			b.Fatal(err)
		}
		b.Cleanup(func() { _ = listener.Close() })
		go serveRaw(listener, []byte(response), events)
		return membership.Server{Name: "server", Address: listener.Addr().String()}
	}
	executor := &splitExecutor{decodeServer: startServer(streamHead("id", "Keep-Alive: timeout=9", "X-Weight: 1"), events)}
	if events == 0 {
		executor.decodeServer = startServer(responseText(200, "id", "answer", "Keep-Alive: timeout=9"), 0)
	}
	if withPrefill {
		executor.prefillServer = startServer(responseText(200, "id", `{"handle":"3fa09c41b7d5","tokens":3}`, "Keep-Alive: timeout=9"), 0)
	}
	pool := NewPool(nil)
	handler, err := NewHandler(b.Context(), DefaultProtocol(), pool, executor, time.Now)
	if err != nil {
		b.Fatal(err)
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	server := &http.Server{Handler: handler}
	go func() { _ = server.Serve(listener) }()
	b.Cleanup(func() { _ = server.Close() })
	client, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		b.Fatal(err)
	}
	request := "POST /chat/x HTTP/1.1\r\nHost: calls.example\r\nSeamloom-Call: id\r\nSeamloom-Model: m\r\n" +
		"Seamloom-Tokens: 1460,80\r\nSeamloom-Parts: 5c1e07a2:800,91bd3f06:410,e4402b7d:250\r\n" +
		"Seamloom-Limit-Milliseconds: 3000\r\nContent-Length: " + strconv.Itoa(bodySize) + "\r\n\r\n" + strings.Repeat("x", bodySize)
	reader := bufio.NewReaderSize(client, 64<<10)
	b.ReportAllocs()
	for b.Loop() {
		_, _ = io.WriteString(client, request)
		response, err := http.ReadResponse(reader, nil)
		if err != nil {
			b.Fatal(err)
		}
		if _, err := io.Copy(io.Discard, response.Body); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkStreamWithPrefillAndDecode(b *testing.B) { benchmarkCalls(b, true, 26, 1700) }
func BenchmarkShortStreamWithLongPrompt(b *testing.B) {
	benchmarkCalls(b, true, 5, 18000)
}
func BenchmarkPlainResponse(b *testing.B) { benchmarkCalls(b, false, 0, 1700) }
