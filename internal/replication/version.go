package replication

import "strconv"

// Version orders the states of the replicated state: by epoch, then by number. It never
// goes back.
type Version struct {
	Epoch  uint64 `msgpack:"epoch" json:"epoch"`
	Number uint64 `msgpack:"number" json:"number"`
}

// Before tells whether the version is older than the other.
func (v Version) Before(other Version) bool {
	if v.Epoch != other.Epoch {
		return v.Epoch < other.Epoch
	}
	return v.Number < other.Number
}

// String writes the version as operators see it.
func (v Version) String() string {
	return strconv.FormatUint(v.Epoch, 10) + "." + strconv.FormatUint(v.Number, 10)
}
