package roster

import (
	"hash/fnv"
	"sort"
)

// Weight is the rendezvous weight of a name for a key.
//
// Example:
//
//	roster.Weight("server/stove-1", "courier-2")
func Weight(key, name string) uint64 {
	digest := fnv.New64a()
	_, _ = digest.Write([]byte(key))
	_, _ = digest.Write([]byte{0})
	_, _ = digest.Write([]byte(name))
	return finish(digest.Sum64())
}

// finish spreads near sums: FNV alone leaves near names with near ones.
func finish(sum uint64) uint64 {
	sum ^= sum >> 33
	sum *= 0xff51afd7ed558ccd
	sum ^= sum >> 33
	sum *= 0xc4ceb9fe1a85ec53
	return sum ^ sum>>33
}

// Ranked orders the names by their weight for the key, heaviest first.
//
// Example:
//
//	neighbours := roster.Ranked("courier-1", names)[:3]
func Ranked(key string, names []string) []string {
	ranked := append([]string(nil), names...)
	sort.Slice(ranked, func(left, right int) bool {
		leftWeight, rightWeight := Weight(key, ranked[left]), Weight(key, ranked[right])
		if leftWeight != rightWeight {
			return leftWeight > rightWeight
		}
		return ranked[left] < ranked[right]
	})
	return ranked
}

// Neighbours names the small set of others that a node knows and watches.
//
// Example:
//
//	roster.Neighbours("courier-1", names, 3)
func Neighbours(self string, names []string, count int) []string {
	var others []string
	for _, name := range names {
		if name != self {
			others = append(others, name)
		}
	}
	ranked := Ranked(self, others)
	if len(ranked) > count {
		ranked = ranked[:count]
	}
	return ranked
}
