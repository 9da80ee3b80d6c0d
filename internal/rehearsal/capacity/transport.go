package capacity

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"seamloom.example/seamloom/internal/adapters/hotline"
	"seamloom.example/seamloom/internal/adapters/stove"
	"seamloom.example/seamloom/internal/trouble"
)

const everyRole = "every node"

func transportActivities() []Activity {
	return []Activity{
		{Role: everyRole, Name: "a hotline message over loopback", Dimensions: []Dimension{Bytes}, Measure: measureMessage},
		{Role: everyRole, Name: "a report read over loopback", Dimensions: []Dimension{Servers}, Measure: measureReport},
	}
}

// countedCircuits counts what goes both ways over the circuits that it takes.
type countedCircuits struct {
	net.Listener
	bytes atomic.Int64
}

// Accept takes a circuit.
func (listener *countedCircuits) Accept() (net.Conn, error) {
	circuit, failure := listener.Listener.Accept()
	if failure != nil {
		return nil, failure
	}
	return &countedCircuit{Conn: circuit, bytes: &listener.bytes}, nil
}

type countedCircuit struct {
	net.Conn
	bytes *atomic.Int64
}

// Read reads and counts.
func (circuit *countedCircuit) Read(content []byte) (int, error) {
	count, failure := circuit.Conn.Read(content)
	circuit.bytes.Add(int64(count))
	return count, failure
}

// Write writes and counts.
func (circuit *countedCircuit) Write(content []byte) (int, error) {
	count, failure := circuit.Conn.Write(content)
	circuit.bytes.Add(int64(count))
	return count, failure
}

// counted serves a handler on loopback and counts its bytes.
func counted(handler http.Handler) (address string, bytes *atomic.Int64, end func(), failure error) {
	listener, failure := net.Listen("tcp", "127.0.0.1:0")
	if failure != nil {
		return "", nil, nil, trouble.Wrap(trouble.Unreachable, failure)
	}
	circuits := &countedCircuits{Listener: listener}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = server.Serve(circuits) }()
	return listener.Addr().String(), &circuits.bytes, func() { _ = server.Close() }, nil
}

// repeated does something so many times and notes what both ends together used of the
// processor, and what went over the wire.
func repeated(note Note, of string, count int, bytes *atomic.Int64, act func() error) error {
	if failure := act(); failure != nil {
		return failure
	}
	before, used := bytes.Load(), processTime()
	for range count {
		if failure := act(); failure != nil {
			return failure
		}
	}
	note("processor time "+of+", both ends", "us", float64((processTime()-used).Microseconds())/float64(count))
	note("bytes over the wire", "B", float64(bytes.Load()-before)/float64(count))
	return nil
}

// measureMessage is one message with an answer of the size, out of a list of servers
// with their reports.
func measureMessage(sizes Sized, note Note) error {
	question := make([]byte, 400)
	answer, failure := msgpack.Marshal(map[string]any{"servers": ServersOf(1100), "loads": loadsForCalls(1100)})
	if failure != nil {
		return trouble.Wrap(trouble.Garbage, failure)
	}
	answer = answer[:min(len(answer), sizes[Bytes])]
	address, bytes, end, failure := counted(hotline.Answerer(func([]byte) ([]byte, error) { return answer, nil }))
	if failure != nil {
		return failure
	}
	defer end()
	caller := hotline.NewCaller(nil)
	return repeated(note, "a message", 300, bytes, func() error {
		_, failure := caller.CallRaw(context.Background(), address, "/hotline/news", question, time.Second)
		return failure
	})
}

// measureReport is one load report read from a server. It does not depend on how many
// there are; the dimension is there for the sum.
func measureReport(sizes Sized, note Note) error {
	load := loadOf(0)
	content, failure := json.Marshal(stove.LoadReport{Server: load.Server, Incarnation: load.Incarnation, Part: string(load.Part), AgeMilliseconds: 3_600_000, PrefillQueueTokens: 1200, PrefillRate: load.PrefillRate,
		PrefillRoom: load.PrefillRoom, DecodeSlots: load.DecodeSlots, PieceTimeMicroseconds: 8000, MemoryFree: load.MemoryFree, MemoryTotal: load.MemoryTotal, LinkRate: load.LinkRate, Prefixes: load.Prefixes})
	if failure != nil {
		return trouble.Wrap(trouble.Garbage, failure)
	}
	address, bytes, end, failure := counted(http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
		writer.Header().Set("Content-Type", "application/json")
		_, _ = writer.Write(content)
	}))
	if failure != nil {
		return failure
	}
	defer end()
	client := &http.Client{Transport: hotline.Transport(nil)}
	// So many as there are servers, each some times.
	return repeated(note, "a report", max(200, sizes[Servers]), bytes, func() error {
		inbound, failure := client.Get("http://" + address + "/v1/load")
		if failure != nil {
			return trouble.Wrap(trouble.Unreachable, failure)
		}
		defer func() { _ = inbound.Body.Close() }()
		var report stove.LoadReport
		failure = json.NewDecoder(inbound.Body).Decode(&report)
		_, _ = io.Copy(io.Discard, inbound.Body)
		return trouble.Wrap(trouble.Garbage, failure)
	})
}
