package wire

import (
	"bytes"
	"math/rand/v2"
	"testing"

	"seamloom.example/seamloom/internal/replication"
)

// TestDeltasGiveTheVeryContent edits large contents at random and wants each
// back, byte for byte, and no delta to fit another base.
func TestDeltasGiveTheVeryContent(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	base := replication.Section{Version: replication.Version{Epoch: 1, Number: 1}, Content: bytes.Repeat([]byte("0123456789abcdef"), 2000)}
	for number := range uint64(200) {
		at, gone := random.IntN(len(base.Content)), random.IntN(200)
		end := min(at+gone, len(base.Content))
		content := append(append(bytes.Clone(base.Content[:at]), bytes.Repeat([]byte{byte(random.IntN(256))}, random.IntN(300))...), base.Content[end:]...)
		target := replication.Section{Version: replication.Version{Epoch: 1, Number: number + 2}, Content: content}
		delta := NewDelta(base, target)
		made, fits := delta.Apply(base)
		if !fits || !bytes.Equal(made.Content, target.Content) || made.Version != target.Version {
			t.Fatalf("edit %d at %d: fits %v, %d bytes of %d", number, at, fits, len(made.Content), len(target.Content))
		}
		if len(delta.Middle) > 600 {
			t.Fatalf("edit %d sends %d bytes", number, len(delta.Middle))
		}
		if other := (replication.Section{Version: base.Version, Content: append([]byte("x"), base.Content...)}); at > 0 {
			if _, fits := delta.Apply(other); fits {
				t.Fatalf("edit %d fits another content", number)
			}
		}
		base = target
	}
}
