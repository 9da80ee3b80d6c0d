package wire

import (
	"bytes"
	"hash/crc32"

	"seamloom.example/seamloom/internal/replication"
)

// Delta is the change of a section's content from a base version that the receiving node has. The first
// Prefix bytes and the last Suffix bytes of the base content stay, and Middle replaces the bytes between
// them.
type Delta struct {
	Base     replication.Version `msgpack:"base"`
	Version  replication.Version `msgpack:"version"`
	Prefix   int                 `msgpack:"prefix"`
	Suffix   int                 `msgpack:"suffix"`
	Middle   []byte              `msgpack:"middle"`
	Checksum uint32              `msgpack:"checksum"`
}

// MinDeltaContent is the minimum size, in bytes, of a section that is sent as a delta.
const MinDeltaContent = 256

var deltaTable = crc32.MakeTable(crc32.Castagnoli)

// NewDelta returns the delta from base to target, which it finds by comparing them from both ends.
func NewDelta(base, target replication.Section) Delta {
	least := min(len(base.Content), len(target.Content))
	prefix := 0
	// Compare whole blocks first, which is faster since large contents are mostly equal.
	for prefix+4096 <= least && bytes.Equal(base.Content[prefix:prefix+4096], target.Content[prefix:prefix+4096]) {
		prefix += 4096
	}
	for prefix < least && base.Content[prefix] == target.Content[prefix] {
		prefix++
	}
	suffix := 0
	for suffix < least-prefix && base.Content[len(base.Content)-1-suffix] == target.Content[len(target.Content)-1-suffix] {
		suffix++
	}
	return Delta{
		Base:     base.Version,
		Version:  target.Version,
		Prefix:   prefix,
		Suffix:   suffix,
		Middle:   target.Content[prefix : len(target.Content)-suffix],
		Checksum: crc32.Checksum(target.Content, deltaTable),
	}
}

// Apply returns the new section. It returns false if the delta does not fit the base: the version or the
// lengths do not match, or the result has another checksum.
func (d Delta) Apply(base replication.Section) (replication.Section, bool) {
	length := len(base.Content)
	if d.Base != base.Version || d.Prefix < 0 || d.Suffix < 0 || d.Prefix > length || d.Suffix > length-d.Prefix {
		return replication.Section{}, false
	}
	content := make([]byte, 0, d.Prefix+len(d.Middle)+d.Suffix)
	content = append(content, base.Content[:d.Prefix]...)
	content = append(content, d.Middle...)
	content = append(content, base.Content[length-d.Suffix:]...)
	return replication.Section{Version: d.Version, Content: content}, crc32.Checksum(content, deltaTable) == d.Checksum
}
