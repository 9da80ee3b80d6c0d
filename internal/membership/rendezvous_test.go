package membership

import (
	"fmt"
	"slices"
	"sort"
	"strconv"
	"testing"
)

// TestRankedWeighsAsItIsDefined compares the order with one that weighs the names
// anew for each comparison, and the heaviest with its first.
func TestRankedWeighsAsItIsDefined(t *testing.T) {
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
			if got := Ranked(key, names); !slices.Equal(got, want) {
				t.Fatalf("%q of %d: %v, want %v", key, count, got, want)
			}
			first := ""
			if count > 0 {
				first = want[0]
			}
			if got := Heaviest(key, slices.Values(names)); got != first {
				t.Fatalf("%q of %d: the heaviest is %q, want %q", key, count, got, first)
			}
		}
	}
}

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

func ExampleRanked() {
	fmt.Println(Ranked("server/a", []string{"courier-1", "courier-2", "courier-3"}))
	// Output:
	// [courier-3 courier-1 courier-2]
}
