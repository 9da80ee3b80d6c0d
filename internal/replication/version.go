package replication

import "strconv"

// Version orders the states of the larder: by epoch, then by number. It never
// goes back.
type Version struct {
	Epoch  uint64 `msgpack:"epoch" json:"epoch"`
	Number uint64 `msgpack:"number" json:"number"`
}

// Before tells whether the version is older than the other.
func (version Version) Before(other Version) bool {
	if version.Epoch != other.Epoch {
		return version.Epoch < other.Epoch
	}
	return version.Number < other.Number
}

// String writes the version as operators see it.
func (version Version) String() string {
	return strconv.FormatUint(version.Epoch, 10) + "." + strconv.FormatUint(version.Number, 10)
}
