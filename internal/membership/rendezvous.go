package membership

import (
	"hash"
	"hash/fnv"
	"iter"
	"sort"
)

// Weight is the rendezvous weight of a name for a key (highest random weight hashing):
// FNV-1a of both, mixed. Nodes of all releases must weigh alike, or they would disagree on
// who is responsible.
func Weight(key, name string) uint64 {
	digest := fnv.New64a()
	_, _ = digest.Write([]byte(key))
	_, _ = digest.Write([]byte{0})
	_, _ = digest.Write([]byte(name))
	return finish(digest.Sum64())
}

// finish mixes the sum's bits (the finalizer of MurmurHash3): FNV alone gives similar names
// similar sums.
func finish(sum uint64) uint64 {
	sum ^= sum >> 33
	sum *= 0xff51afd7ed558ccd
	sum ^= sum >> 33
	sum *= 0xc4ceb9fe1a85ec53
	return sum ^ sum>>33
}

// Weigher weighs many names for one key, which it digests once. Its weights are those of
// the function Weight.
type Weigher struct{ keyed hash.Cloner }

// NewWeigher digests the key.
func NewWeigher(key string) Weigher {
	digest := fnv.New64a()
	_, _ = digest.Write([]byte(key))
	_, _ = digest.Write([]byte{0})
	return Weigher{keyed: digest.(hash.Cloner)}
}

// Weight is the rendezvous weight of a name for the key.
func (w Weigher) Weight(name string) uint64 {
	cloned, err := w.keyed.Clone()
	if err != nil {
		// A digest in memory has nothing that could fail.
		panic("membership: " + err.Error())
	}
	digest := cloned.(hash.Hash64)
	_, _ = digest.Write([]byte(name))
	return finish(digest.Sum64())
}

// Ranked orders the names by their weight for the key, heaviest first. The caller's slice
// stays as it is.
func Ranked(key string, names []string) []string {
	ranked := append([]string(nil), names...)
	weights := make([]uint64, len(ranked))
	for position, name := range ranked {
		weights[position] = Weight(key, name)
	}
	sort.Sort(byWeight{ranked, weights})
	return ranked
}

// byWeight sorts names, heaviest first, and equal ones by their name.
type byWeight struct {
	names   []string
	weights []uint64
}

// Len counts the names.
func (b byWeight) Len() int { return len(b.names) }

// Less tells whether one name comes before another.
func (b byWeight) Less(left, right int) bool {
	if b.weights[left] != b.weights[right] {
		return b.weights[left] > b.weights[right]
	}
	return b.names[left] < b.names[right]
}

// Swap exchanges two names.
func (b byWeight) Swap(left, right int) {
	b.names[left], b.names[right] = b.names[right], b.names[left]
	b.weights[left], b.weights[right] = b.weights[right], b.weights[left]
}

// Heaviest is the name that Ranked puts first, or nothing if there is none.
func Heaviest(key string, names iter.Seq[string]) string {
	heaviest, most := "", uint64(0)
	for name := range names {
		if weight := Weight(key, name); heaviest == "" || weight > most || (weight == most && name < heaviest) {
			heaviest, most = name, weight
		}
	}
	return heaviest
}

// Neighbours names the few others, at most count, that a node knows and watches.
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
