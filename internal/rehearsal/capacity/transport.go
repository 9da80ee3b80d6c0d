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

	"seamloom.example/seamloom/internal/adapters/modelserver"
	"seamloom.example/seamloom/internal/adapters/rpc"
	"seamloom.example/seamloom/internal/failure"
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
	circuit, err := listener.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &countedCircuit{Conn: circuit, bytes: &listener.bytes}, nil
}

type countedCircuit struct {
	net.Conn
	bytes *atomic.Int64
}

// Read reads and counts.
func (circuit *countedCircuit) Read(content []byte) (int, error) {
	count, err := circuit.Conn.Read(content)
	circuit.bytes.Add(int64(count))
	return count, err
}

// Write writes and counts.
func (circuit *countedCircuit) Write(content []byte) (int, error) {
	count, err := circuit.Conn.Write(content)
	circuit.bytes.Add(int64(count))
	return count, err
}

// counted serves a handler on loopback and counts its bytes.
func counted(handler http.Handler) (address string, bytes *atomic.Int64, end func(), err error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", nil, nil, failure.Wrap(failure.Unreachable, err)
	}
	circuits := &countedCircuits{Listener: listener}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = server.Serve(circuits) }()
	return listener.Addr().String(), &circuits.bytes, func() { _ = server.Close() }, nil
}

// repeated does something so many times and notes what both ends together used of the
// processor, and what went over the wire.
func repeated(note Note, of string, count int, bytes *atomic.Int64, act func() error) error {
	if err := act(); err != nil {
		return err
	}
	before, used := bytes.Load(), processTime()
	for range count {
		if err := act(); err != nil {
			return err
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
	answer, err := msgpack.Marshal(map[string]any{"servers": ServersOf(1100), "loads": loadsForCalls(1100)})
	if err != nil {
		return failure.Wrap(failure.Garbage, err)
	}
	answer = answer[:min(len(answer), sizes[Bytes])]
	address, bytes, end, err := counted(rpc.Answerer(func([]byte) ([]byte, error) { return answer, nil }))
	if err != nil {
		return err
	}
	defer end()
	caller := rpc.NewCaller(nil)
	return repeated(note, "a message", 300, bytes, func() error {
		_, err := caller.CallRaw(context.Background(), address, "/hotline/news", question, time.Second)
		return err
	})
}

// measureReport is one load report read from a server. It does not depend on how many
// there are; the dimension is there for the sum.
func measureReport(sizes Sized, note Note) error {
	load := loadOf(0)
	content, err := json.Marshal(modelserver.LoadReport{Server: load.Server, Incarnation: load.Incarnation, Part: string(load.Part), AgeMilliseconds: 3_600_000, PrefillQueueTokens: 1200, PrefillRate: load.PrefillRate,
		PrefillRoom: load.PrefillRoom, DecodeSlots: load.DecodeSlots, PieceTimeMicroseconds: 8000, MemoryFree: load.MemoryFree, MemoryTotal: load.MemoryTotal, LinkRate: load.LinkRate, Prefixes: load.Prefixes})
	if err != nil {
		return failure.Wrap(failure.Garbage, err)
	}
	address, bytes, end, err := counted(http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
		writer.Header().Set("Content-Type", "application/json")
		_, _ = writer.Write(content)
	}))
	if err != nil {
		return err
	}
	defer end()
	client := &http.Client{Transport: rpc.Transport(nil)}
	// So many as there are servers, each some times.
	return repeated(note, "a report", max(200, sizes[Servers]), bytes, func() error {
		inbound, err := client.Get("http://" + address + "/v1/load")
		if err != nil {
			return failure.Wrap(failure.Unreachable, err)
		}
		defer func() { _ = inbound.Body.Close() }()
		var report modelserver.LoadReport
		err = json.NewDecoder(inbound.Body).Decode(&report)
		_, _ = io.Copy(io.Discard, inbound.Body)
		return failure.Wrap(failure.Garbage, err)
	})
}
