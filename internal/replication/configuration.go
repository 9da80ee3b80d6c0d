package replication

import (
	"bytes"
	"slices"
	"strings"

	"seamloom.example/seamloom/internal/config"
	"seamloom.example/seamloom/internal/failure"
	"seamloom.example/seamloom/internal/features"
)

// PreparedConfiguration is the checked result of an edit of one version of the configuration. In
// the zero value nothing is prepared.
type PreparedConfiguration struct {
	prepared bool
	base     Version
	text     []byte
	// needs holds the flags that every recorded member must support to read the text.
	needs features.List
	err   error
}

// LargeConfiguration is the size in bytes from which a configuration is edited and checked before
// its change is submitted: claims would have to wait if that were done while the changes run.
const LargeConfiguration = 64 << 10

// PrepareConfiguration edits one version of the configuration and checks the result. An edit for
// which keepsValid is set turns every valid text into a valid one, so that the result needs no
// check.
func PrepareConfiguration(
	base Version,
	text []byte,
	edit func(text []byte) ([]byte, error),
	keepsValid bool,
) PreparedConfiguration {
	edited, err := edit(text)
	var needs features.List
	if err == nil && !keepsValid {
		var checked *config.Configuration
		checked, err = config.Check(edited)
		needs = neededFlags(checked)
	}
	return PreparedConfiguration{prepared: true, base: base, text: edited, needs: needs, err: err}
}

// neededFlags returns the flags that a node must support to read a configuration.
func neededFlags(configuration *config.Configuration) features.List {
	if configuration == nil || configuration.Tenants == nil {
		return nil
	}
	return features.List{features.Tenants}
}

// checkReadable requires every recorded member to support the flags that the next configuration
// needs and the present one does not: a member that can't read the next configuration would keep
// using the older one. A flag that the present configuration also needs is not required, because a
// member without that flag can't read the present configuration either. The error has the code
// NotSupported.
func (s *State) checkReadable(needs features.List) error {
	for _, flag := range needs {
		if lacking := s.MembersWithout(flag); len(lacking) > 0 {
			if present, err := config.Check(s.Configuration); err == nil && neededFlags(present).Has(flag) {
				continue
			}
			slices.Sort(lacking)
			return failure.New(failure.NotSupported,
				"members without "+string(flag)+": "+strings.Join(lacking, ", ")+"; retry when they are upgraded or retired")
		}
	}
	return nil
}

// ChangeConfiguration replaces the text of the configuration by the result of edit. A prepared
// result is used as it is if the configuration still has the version for which it was prepared, so
// that a large configuration is not checked while the changes run. Otherwise the change applies edit
// to the present text, unless a prepared result exists and the present text is large.
//
// Codes: VersionConflict when an expected version is given and is not the present one;
// ConfigurationMoved when a large configuration has changed since the edit was prepared; Duplicate
// when another change was accepted under the id; Busy while the change records are full;
// NotSupported while a recorded member can't read the text; and the codes of the edit and of the
// check.
func ChangeConfiguration(
	id, digest string,
	expected *Version,
	prepared PreparedConfiguration,
	edit func(text []byte) ([]byte, error),
) Change {
	return func(state *State, version, configurationVersion Version) error {
		if accepted, found := state.Changes.Find(id); found {
			if accepted.Digest == digest {
				// A repetition of the accepted change, which a link may deliver twice, is
				// reported as accepted, too.
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
			// The edit changes nothing.
			return nil
		}
		inSections := state.Flags.Enabled.Has(features.ChangeSections)
		if id != "" && state.Changes.full(inSections) {
			return failure.New(failure.Busy, "too many changes were accepted recently; retry later")
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
