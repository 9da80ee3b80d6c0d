package larder

import "seamloom.example/seamloom/internal/menu"

// PreparedMenu is what an edit makes of one version of the configuration,
// checked.
type PreparedMenu struct {
	made    bool
	base    Version
	text    []byte
	failure error
}

// PrepareMenu edits and checks one version of the configuration.
//
// Example:
//
//	prepared := larder.PrepareMenu(menuVersion, text, edit)
func PrepareMenu(base Version, text []byte, edit func(text []byte) ([]byte, error)) PreparedMenu {
	edited, failure := edit(text)
	if failure == nil {
		_, failure = menu.Check(edited)
	}
	return PreparedMenu{made: true, base: base, text: edited, failure: failure}
}
