package replication

import (
	"bytes"
	"slices"
	"strings"

	"seamloom.example/seamloom/internal/config"
	"seamloom.example/seamloom/internal/failure"
	"seamloom.example/seamloom/internal/features"
)

// PreparedConfiguration is what an edit made of one version of the configuration, checked.
// The zero value means that nothing was prepared.
type PreparedConfiguration struct {
	prepared bool
	base     Version
	text     []byte
	// needs are the flags that every recorded member must support to read the text.
	needs features.List
	err   error
}

// LargeConfiguration is the size in bytes from which a configuration is not edited and
// checked between the other changes: claims would wait for it.
const LargeConfiguration = 64 << 10

// PrepareConfiguration edits and checks one version of the configuration. A sound edit
// makes a sound text of a sound one, and needs no check of the whole.
func PrepareConfiguration(
	base Version,
	text []byte,
	edit func(text []byte) ([]byte, error),
	sound bool,
) PreparedConfiguration {
	edited, err := edit(text)
	var needs features.List
	if err == nil && !sound {
		var checked *config.Configuration
		checked, err = config.Check(edited)
		needs = neededFlags(checked)
	}
	return PreparedConfiguration{prepared: true, base: base, text: edited, needs: needs, err: err}
}

// neededFlags are the flags that a node must support to read a configuration.
func neededFlags(configuration *config.Configuration) features.List {
	if configuration == nil || configuration.Tenants == nil {
		return nil
	}
	return features.List{features.Tenants}
}

// checkReadable wants every recorded member to support the flags that the next configuration needs and the
// present one does not: one that can't read it would go on by its older one. A member that can't read the
// present one is no reason to refuse the next. The error has the code NotSupported.
func (s *State) checkReadable(needs features.List) error {
	for _, flag := range needs {
		if lacking := s.Lacking(flag); len(lacking) > 0 {
			if present, err := config.Check(s.Configuration); err == nil && neededFlags(present).Has(flag) {
				continue
			}
			slices.Sort(lacking)
			return failure.New(failure.NotSupported, "members without "+string(flag)+": "+strings.Join(lacking, ", ")+"; ask again when they are upgraded or retired")
		}
	}
	return nil
}

// ChangeConfiguration replaces the configuration's text by what edit makes of it. An edit
// that was prepared for the version it meets is not made again, so that a large
// configuration is not checked between the other changes.
//
// The codes: VersionConflict when an expected version is given and is not the current one;
// ConfigurationMoved when a large configuration is no longer at the version the edit was prepared for;
// Duplicate when another change was accepted under the id; Busy when there are
// MaxChangeRecords; NotSupported while a recorded member can't read the text; and those of the edit
// and of the check.
func ChangeConfiguration(
	id, digest string,
	expected *Version,
	prepared PreparedConfiguration,
	edit func(text []byte) ([]byte, error),
) Change {
	return func(state *State, version, configurationVersion Version) error {
		if accepted, found := state.Changes.Find(id); found {
			if accepted.Digest == digest {
				// The same change again, as a link may bring it twice: it was
				// accepted, and saying anything else would be wrong.
				return nil
			}
			return failure.New(failure.Duplicate,
				"another change with the id "+id+" was accepted as version "+accepted.Version.String())
		}
		if expected != nil && *expected != configurationVersion {
			return failure.New(failure.VersionConflict, configurationVersion.String())
		}
		if !prepared.prepared || prepared.base != configurationVersion {
			if prepared.prepared && len(state.Configuration) >= LargeConfiguration {
				return failure.New(failure.ConfigurationMoved, configurationVersion.String())
			}
			prepared = PrepareConfiguration(configurationVersion, state.Configuration, edit, false)
		}
		if prepared.err != nil {
			return prepared.err
		}
		if err := state.checkReadable(prepared.needs); err != nil {
			return err
		}
		if id == "" && bytes.Equal(prepared.text, state.Configuration) {
			// The configuration is as wanted already.
			return nil
		}
		inSections := state.Flags.Enabled.Has(features.ChangeSections)
		if id != "" && state.Changes.full(inSections) {
			return failure.New(failure.Busy, "too many changes were accepted lately; ask again")
		}
		state.Configuration = prepared.text
		state.MarkDirty(ConfigurationSection)
		if id != "" {
			record := ChangeRecord{ID: id, Version: version, Digest: digest, At: state.changeTime()}
			state.MarkDirty(state.Changes.add(record, inSections))
		}
		return nil
	}
}
