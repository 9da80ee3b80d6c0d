package membership

import (
	"fmt"
	"slices"
	"sort"
	"strconv"
	"testing"
)

// TestRankByWeightMatchesDefinition compares RankByWeight with a simple implementation, which computes the
// weights anew in each comparison, and HighestWeight with the first name of that ranking.
func TestRankByWeightMatchesDefinition(t *testing.T) {
	for count := range 40 {
		var names []string
		for number := range count {
			names = append(names, "courier-"+strconv.Itoa(number*7%41))
		}
		for _, key := range []string{"", "parts", "server/stove-" + strconv.Itoa(count)} {
			want := slices.Clone(names)
			sort.Slice(want, func(left, right int) bool {
				leftWeight, rightWeight := Weight(key, want[left]), Weight(key, want[right])
				return leftWeight > rightWeight || (leftWeight == rightWeight && want[left] < want[right])
			})
			if got := RankByWeight(key, names); !slices.Equal(got, want) {
				t.Fatalf("RankByWeight of %d names for %q: got %v, want %v", count, key, got, want)
			}
			first := ""
			if count > 0 {
				first = want[0]
			}
			if got := HighestWeight(key, slices.Values(names)); got != first {
				t.Fatalf("HighestWeight of %d names for %q: got %q, want %q", count, key, got, first)
			}
		}
	}
}

// TestWeigherMatchesWeight compares Weigher and Weight for several keys and names.
func TestWeigherMatchesWeight(t *testing.T) {
	for _, key := range []string{"", "server/stove-1", "one/stove-17"} {
		weigher := NewWeigher(key)
		for _, name := range []string{"", "courier-1", "stove-2", "stove-22"} {
			if weigher.Weight(name) != Weight(key, name) {
				t.Errorf("weight of %q for %q: got %d, want %d", name, key, weigher.Weight(name), Weight(key, name))
			}
		}
	}
}

func ExampleRankByWeight() {
	fmt.Println(RankByWeight("server/a", []string{"courier-1", "courier-2", "courier-3"}))
	// Output:
	// [courier-3 courier-1 courier-2]
}
