package larder

// ChangeNote remembers a configuration change by its id, so that an operator
// whose change had an unknown outcome can find out.
type ChangeNote struct {
	ID      string  `msgpack:"id" json:"id"`
	Version Version `msgpack:"version" json:"version"`
	// Digest tells the same change sent again from another under its id.
	Digest string `msgpack:"digest" json:"digest"`
}

// MostChangeNotes bounds how many changes are remembered.
const MostChangeNotes = 256
