package wire

import (
	"bytes"
	"hash/crc32"

	"seamloom.example/seamloom/internal/replication"
)

// Delta is the change of a section's content from a base version that the node has: Prefix
// and Suffix bytes of the base stay, Middle replaces what is between them.
type Delta struct {
	Base     replication.Version `msgpack:"base"`
	Version  replication.Version `msgpack:"version"`
	Prefix   int                 `msgpack:"prefix"`
	Suffix   int                 `msgpack:"suffix"`
	Middle   []byte              `msgpack:"middle"`
	Checksum uint32              `msgpack:"checksum"`
}

// MinDeltaContent is the size in bytes from which a section is worth a delta.
const MinDeltaContent = 256

var deltaTable = crc32.MakeTable(crc32.Castagnoli)

// NewDelta is the delta that turns base into target: it compares them from both ends.
func NewDelta(base, target replication.Section) Delta {
	least := min(len(base.Content), len(target.Content))
	prefix := 0
	// Blocks first: a large content is mostly the same.
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

// Apply gives the new section; false means that the delta does not fit the base, by its
// version, its lengths or the checksum of the result.
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
