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

// FuzzMessages sends arbitrary messages to every path of a controller, and expects no panic and no
// untyped error.
func FuzzMessages(fuzzing *testing.F) {
	// The runtime has already ended, so that no handler waits.
	ended, end := context.WithCancel(context.Background())
	end()
	single := &core{nodes: map[string]*Controller{}, copyStorages: map[string]*memoryStorage{}}
	witnessStorage := &memoryStorage{files: map[string][]byte{}}
	node, _, err := Open(osruntime.New(ended, osruntime.NewClock()), single, witnessStorage,
		&memoryStorage{files: map[string][]byte{}}, Options{Name: "a", Address: "a", NewIdentity: "disk-a"}, func(string, ...any) {})
	if err != nil {
		fuzzing.Fatal(err)
	}
	paths := []string{
		wire.HelloPath,
		wire.PreparePath,
		wire.AcceptPath,
		wire.RenewLeasePath,
		wire.ReplicatePath,
		wire.InstallPath,
		wire.RefreshPath,
		wire.UpdatesPath,
		wire.ClaimPath,
		wire.OrdersPath,
	}
	for number := range paths {
		for _, seed := range []any{
			replication.Hello{},
			wire.WitnessRequest{To: "disk-a", Epoch: 1},
			wire.ReplicateRequest{To: "disk-a"},
			wire.UpdateRequest{},
			[]codec.Record{{}},
		} {
			body, err := msgpack.Marshal(seed)
			if err != nil {
				fuzzing.Fatal(err)
			}
			fuzzing.Add(number, body)
		}
	}
	fuzzing.Fuzz(func(t *testing.T, number int, body []byte) {
		path := paths[max(number, -number)%len(paths)]
		if _, err := node.Handlers().Handle(path, body); err != nil && failure.CodeOf(err) == failure.Unclassified {
			t.Fatalf("%s %x: untyped error: %v", path, body, err)
		}
	})
}
