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

// scan answers calls on raw connections with as little work as possible, so that what is
// measured is the router.
func scan(listener net.Listener, a []byte, chunks int) {
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
					l, err := reader.ReadSlice('\n')
					if err != nil {
						return
					}
					if text, found := strings.CutPrefix(string(l), "Content-Length: "); found {
						length, _ = strconv.Atoi(strings.TrimSpace(text))
					}
					if len(l) <= 2 {
						break
					}
				}
				if _, err := reader.Discard(length); err != nil {
					return
				}
				if chunks == 0 {
					_, _ = connection.Write(a)
					continue
				}
				_, _ = connection.Write(a)
				for piece := range chunks {
					_, _ = io.WriteString(connection, chunk(event(piece+1)))
				}
				_, _ = io.WriteString(connection, "0\r\n\r\n")
			}
		}()
	}
}

// halves is a conduct that has each call read at one server and run at another.
type halves struct {
	scripted
	reader, runner membership.Server
}

// Serve reads and runs.
func (h *halves) Serve(_ *scheduler.Call, e dataplane.Exchange) {
	ends := time.Now().Add(5 * time.Second)
	decision := scheduler.Decision{Kind: scheduler.Generate, Server: h.runner, Deadline: ends, Priority: 1}
	if h.reader.Address != "" {
		outcome := e.Read(scheduler.Decision{Kind: scheduler.Prefill, Server: h.reader, Deadline: ends, Priority: 1})
		decision.Source = &scheduler.Source{Address: h.reader.Address, Handle: outcome.Handle}
	}
	if outcome := e.Run(&h.route, decision, func() {}); outcome.Result != scheduler.Complete {
		panic(outcome.Result)
	}
}

func benchmarkCalls(b *testing.B, read bool, chunks, size int) {
	open := func(a string, pieces int) membership.Server {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			b.Fatal(err)
		}
		b.Cleanup(func() { _ = listener.Close() })
		go scan(listener, []byte(a), pieces)
		return membership.Server{Name: "life", Address: listener.Addr().String()}
	}
	conduct := &halves{runner: open(stream("id", "Keep-Alive: timeout=9", "X-Weight: 1"), chunks)}
	if chunks == 0 {
		conduct.runner = open(whole(200, "id", "answer", "Keep-Alive: timeout=9"), 0)
	}
	if read {
		conduct.reader = open(whole(200, "id", `{"handle":"3fa09c41b7d5","tokens":3}`, "Keep-Alive: timeout=9"), 0)
	}
	connections := NewPool(nil)
	handler, err := NewHandler(b.Context(), DefaultProtocol(), connections, conduct, time.Now)
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
	request := "POST /chat/x HTTP/1.1\r\nHost: calls.example\r\nSeamloom-Call: id\r\nSeamloom-Model: m\r\nSeamloom-Tokens: 1460,80\r\nSeamloom-Parts: 5c1e07a2:800,91bd3f06:410,e4402b7d:250\r\n" +
		"Seamloom-Limit-Milliseconds: 3000\r\nContent-Length: " + strconv.Itoa(size) + "\r\n\r\n" + strings.Repeat("x", size)
	reader := bufio.NewReaderSize(client, 64<<10)
	b.ReportAllocs()
	for b.Loop() {
		_, _ = io.WriteString(client, request)
		inbound, err := http.ReadResponse(reader, nil)
		if err != nil {
			b.Fatal(err)
		}
		if _, err := io.Copy(io.Discard, inbound.Body); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkAStreamInTwoHalves(b *testing.B) { benchmarkCalls(b, true, 26, 1700) }
func BenchmarkAShortStreamWithALongPrompt(b *testing.B) {
	benchmarkCalls(b, true, 5, 18000)
}
func BenchmarkAWholeAnswer(b *testing.B) { benchmarkCalls(b, false, 0, 1700) }
