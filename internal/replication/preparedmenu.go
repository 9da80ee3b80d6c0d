package replication

import "seamloom.example/seamloom/internal/config"

// PreparedConfiguration is what an edit makes of one version of the configuration,
// checked.
type PreparedConfiguration struct {
	prepared bool
	base     Version
	text     []byte
	err      error
}

// LargeConfiguration is the size from which a configuration is not edited and checked in
// the changes' turn: claims would wait for it.
const LargeConfiguration = 64 << 10

// PrepareConfiguration edits and checks one version of the configuration. A sound edit
// makes a sound text of a sound one, and needs no check of the whole.
func PrepareConfiguration(base Version, text []byte, edit func(text []byte) ([]byte, error), sound bool) PreparedConfiguration {
	edited, err := edit(text)
	if err == nil && !sound {
		_, err = config.Check(edited)
	}
	return PreparedConfiguration{prepared: true, base: base, text: edited, err: err}
}
