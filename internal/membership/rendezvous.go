package membership

import (
	"hash"
	"hash/fnv"
	"iter"
	"sort"
)

// Weight returns the rendezvous weight of a name for a key (highest random weight hashing): the FNV-1a
// hash of both, with its bits mixed. The function must be the same in all releases, since nodes of
// different releases would otherwise select different nodes or servers.
func Weight(key, name string) uint64 {
	digest := fnv.New64a()
	_, _ = digest.Write([]byte(key))
	_, _ = digest.Write([]byte{0})
	_, _ = digest.Write([]byte(name))
	return mixBits(digest.Sum64())
}

// mixBits mixes the bits of a hash with the finalizer of MurmurHash3, since FNV alone gives similar
// hashes for similar names.
func mixBits(sum uint64) uint64 {
	sum ^= sum >> 33
	sum *= 0xff51afd7ed558ccd
	sum ^= sum >> 33
	sum *= 0xc4ceb9fe1a85ec53
	return sum ^ sum>>33
}

// Weigher computes the weights of many names for one key, and hashes the key only once. Its weights
// are those of the function Weight.
type Weigher struct{ keyed hash.Cloner }

// NewWeigher returns a Weigher for the key.
func NewWeigher(key string) Weigher {
	digest := fnv.New64a()
	_, _ = digest.Write([]byte(key))
	_, _ = digest.Write([]byte{0})
	return Weigher{keyed: digest.(hash.Cloner)}
}

// Weight returns the rendezvous weight of a name for the key.
func (w Weigher) Weight(name string) uint64 {
	cloned, err := w.keyed.Clone()
	if err != nil {
		// Cloning an FNV hash can't fail.
		panic("membership: " + err.Error())
	}
	digest := cloned.(hash.Hash64)
	_, _ = digest.Write([]byte(name))
	return mixBits(digest.Sum64())
}

// RankByWeight returns the names in the order of their weights for the key, highest first. It doesn't
// change the given slice.
func RankByWeight(key string, names []string) []string {
	ranked := append([]string(nil), names...)
	weights := make([]uint64, len(ranked))
	for position, name := range ranked {
		weights[position] = Weight(key, name)
	}
	sort.Sort(byWeight{ranked, weights})
	return ranked
}

// byWeight sorts names by their weights, highest first, and names of equal weight by name.
type byWeight struct {
	names   []string
	weights []uint64
}

// Len returns the number of names.
func (b byWeight) Len() int { return len(b.names) }

// Less reports whether the left name comes before the right one.
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

// HighestWeight returns the name that RankByWeight puts first, or an empty string if there are no names.
func HighestWeight(key string, names iter.Seq[string]) string {
	best, highest := "", uint64(0)
	for name := range names {
		if weight := Weight(key, name); best == "" || weight > highest || (weight == highest && name < best) {
			best, highest = name, weight
		}
	}
	return best
}

// NearestPeers returns at most count names other than self, in the order of rendezvous hashing with self
// as the key.
func NearestPeers(self string, names []string, count int) []string {
	var others []string
	for _, name := range names {
		if name != self {
			others = append(others, name)
		}
	}
	ranked := RankByWeight(self, others)
	if len(ranked) > count {
		ranked = ranked[:count]
	}
	return ranked
}
