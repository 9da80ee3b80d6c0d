package controlplane

import (
	"context"
	"testing"

	"github.com/vmihailenco/msgpack/v5"

	"seamloom.example/seamloom/internal/adapters/osruntime"
	"seamloom.example/seamloom/internal/codec"
	"seamloom.example/seamloom/internal/failure"
	"seamloom.example/seamloom/internal/replication"
	"seamloom.example/seamloom/internal/wire"
)

// FuzzMessages gives a primary messages that may be anything, on every path: no
// panic, and a typed answer.
func FuzzMessages(fuzzing *testing.F) {
	// Its process has ended, so that no message waits for others.
	ended, end := context.WithCancel(context.Background())
	end()
	lone := &core{nodes: map[string]*Controller{}, storages: map[string]*memoryStorage{}}
	keeping := &memoryStorage{files: map[string][]byte{}}
	node, _, err := Open(osruntime.New(ended, osruntime.NewClock()), lone, keeping, &memoryStorage{files: map[string][]byte{}}, Options{Name: "a", Address: "a", Fresh: "disk-a"}, func(string, ...any) {})
	if err != nil {
		fuzzing.Fatal(err)
	}
	paths := []string{wire.HelloPath, wire.PreparePath, wire.AcceptPath, wire.ConfirmPath, wire.ReplicatePath, wire.InstallPath, wire.RefreshPath, wire.UpdatesPath, wire.ClaimPath, wire.OrdersPath}
	for number := range paths {
		for _, seed := range []any{replication.Hello{}, wire.WitnessRequest{To: "disk-a", Epoch: 1}, wire.ReplicateRequest{To: "disk-a"}, wire.UpdateRequest{}, []codec.Record{{}}} {
			body, err := msgpack.Marshal(seed)
			if err != nil {
				fuzzing.Fatal(err)
			}
			fuzzing.Add(number, body)
		}
	}
	fuzzing.Fuzz(func(t *testing.T, number int, body []byte) {
		path := paths[max(number, -number)%len(paths)]
		if _, err := node.Handlers().Handle(path, body); err != nil && failure.CodeOf(err) == failure.Unsorted {
			t.Fatalf("%s %x: an untyped failure: %v", path, body, err)
		}
	})
}
