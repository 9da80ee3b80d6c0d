package replication

import "seamloom.example/seamloom/internal/config"

// PreparedMenu is what an edit makes of one version of the configuration,
// checked.
type PreparedMenu struct {
	made    bool
	base    Version
	text    []byte
	failure error
}

// LargeMenu is the size from which a configuration is not edited and checked in
// the changes' turn: claims would wait for it.
const LargeMenu = 64 << 10

// PrepareMenu edits and checks one version of the configuration. A sound edit
// makes a sound text of a sound one, and needs no check of the whole.
func PrepareMenu(base Version, text []byte, edit func(text []byte) ([]byte, error), sound bool) PreparedMenu {
	edited, err := edit(text)
	if err == nil && !sound {
		_, err = config.Check(edited)
	}
	return PreparedMenu{made: true, base: base, text: edited, failure: err}
}
