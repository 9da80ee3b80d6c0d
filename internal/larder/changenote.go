package larder

// ChangeNote remembers a configuration change by its id, so that an operator
// whose change had an unknown outcome can find out.
type ChangeNote struct {
	ID      string  `msgpack:"id" json:"id"`
	Version Version `msgpack:"version" json:"version"`
}

// MostChangeNotes bounds how many changes are remembered.
const MostChangeNotes = 256
