package membership

import "testing"

// TestWeigherWeighsAsWeightDoes compares the two for several keys and names.
func TestWeigherWeighsAsWeightDoes(t *testing.T) {
	for _, key := range []string{"", "server/stove-1", "one/stove-17"} {
		weigher := NewWeigher(key)
		for _, name := range []string{"", "courier-1", "stove-2", "stove-22"} {
			if weigher.Weight(name) != Weight(key, name) {
				t.Errorf("%q for %q", name, key)
			}
		}
	}
}
