package replication

// View is one committed state, never altered once it is shown.
type View struct {
	Version  Version
	Sections map[string]Section
}

// VersionOf is the version that a drawer had its last change in.
func (view *View) VersionOf(section string) Version { return view.Sections[section].Version }

// State decodes the view.
func (view *View) State() (*State, error) { return ReadState(view.Sections) }
