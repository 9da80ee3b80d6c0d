package membership

import (
	"hash"
	"hash/fnv"
)

// Weigher weighs many names for one key, which it digests once.
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
		panic("roster: " + err.Error())
	}
	digest := cloned.(hash.Hash64)
	_, _ = digest.Write([]byte(name))
	return finish(digest.Sum64())
}
