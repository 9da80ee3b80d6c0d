package wire

import (
	"bytes"
	"math/rand/v2"
	"testing"

	"seamloom.example/seamloom/internal/replication"
)

// TestDeltasReproduceTheContent edits large contents at random. Each delta must reproduce the edited content
// byte for byte, must contain at most 600 bytes, and must not fit a base of the same version with different content.
func TestDeltasReproduceTheContent(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	base := replication.Section{Version: replication.Version{Epoch: 1, Number: 1}, Content: bytes.Repeat([]byte("0123456789abcdef"), 2000)}
	for number := range uint64(200) {
		at, removed := random.IntN(len(base.Content)), random.IntN(200)
		end := min(at+removed, len(base.Content))
		content := append(append(bytes.Clone(base.Content[:at]),
			bytes.Repeat([]byte{byte(random.IntN(256))}, random.IntN(300))...), base.Content[end:]...)
		target := replication.Section{Version: replication.Version{Epoch: 1, Number: number + 2}, Content: content}
		delta := NewDelta(base, target)
		applied, fits := delta.Apply(base)
		if !fits || !bytes.Equal(applied.Content, target.Content) || applied.Version != target.Version {
			t.Fatalf("edit %d at %d: fits %v; got %d bytes, want the content of %d bytes",
				number, at, fits, len(applied.Content), len(target.Content))
		}
		if len(delta.Middle) > 600 {
			t.Fatalf("edit %d: the delta has %d bytes, want at most 600", number, len(delta.Middle))
		}
		// A delta for an edit at the start may have no prefix and then also replaces the byte that is inserted here.
		if other := (replication.Section{Version: base.Version, Content: append([]byte("x"), base.Content...)}); at > 0 {
			if _, fits := delta.Apply(other); fits {
				t.Fatalf("edit %d: the delta fits a base with different content", number)
			}
		}
		base = target
	}
}
