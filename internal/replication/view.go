package replication

// View is one committed state, never altered once it is shown.
type View struct {
	Version  Version
	Sections map[string]Section
}

// VersionOf is the version that a section had its last change in.
func (v *View) VersionOf(section string) Version { return v.Sections[section].Version }

// State decodes the view.
func (v *View) State() (*State, error) { return ReadState(v.Sections) }
