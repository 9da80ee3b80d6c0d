package fleet

import (
	"fmt"
	"slices"
	"time"
)

// checkInForce checks that no router shows an older revision than an accepted one later than
// inForceLimit after the acceptance.
func checkInForce(entries []Entry) Finding {
	finding := Finding{Checker: "an accepted configuration is in force", Limit: inForceLimit.String()}
	accepted := acceptances(entries)
	var worst time.Duration
	for _, entry := range entries {
		if entry.Kind != RevisionSeen {
			continue
		}
		finding.Checked++
		for _, acceptance := range accepted {
			// The router may have answered at any time since the request was sent, so the
			// revision counts as seen when the request was sent.
			late := entry.At.Add(-entry.Took).Sub(acceptance.At)
			if acceptance.Revision <= entry.Revision || late <= 0 {
				continue
			}
			worst = max(worst, late)
			if late > inForceLimit {
				finding.Violate(fmt.Sprintf("%s shows revision %d, %s after revision %d was accepted", entry.Router,
					entry.Revision, late, acceptance.Revision))
			}
		}
	}
	finding.setWorst(worst)
	return finding
}

// acceptances returns the entries of accepted revisions.
func acceptances(entries []Entry) []Entry {
	var accepted []Entry
	for _, entry := range entries {
		if entry.Kind == RevisionAccepted {
			accepted = append(accepted, entry)
		}
	}
	return accepted
}

// checkNeverBack checks that no router shows an older revision than it showed before.
func checkNeverBack(entries []Entry) Finding {
	finding := Finding{Checker: "configurations never go back"}
	seen := map[string]int{}
	for _, entry := range entries {
		if entry.Kind != RevisionSeen {
			continue
		}
		finding.Checked++
		if entry.Revision < seen[entry.Router] {
			finding.Violate(fmt.Sprintf("%s shows revision %d after revision %d", entry.Router, entry.Revision, seen[entry.Router]))
		}
		seen[entry.Router] = max(seen[entry.Router], entry.Revision)
	}
	return finding
}

// checkRefusedRevisions checks that a refused revision is neither in force at a router nor
// returned by a read.
func checkRefusedRevisions(entries []Entry) Finding {
	finding := Finding{Checker: "refused configurations take no effect"}
	refused := map[int]bool{}
	for _, entry := range entries {
		if entry.Kind == RevisionRefused {
			refused[entry.Revision] = true
			finding.Checked++
		}
	}
	for _, entry := range entries {
		if (entry.Kind == RevisionSeen || entry.Kind == RevisionRead) && refused[entry.Revision] {
			finding.Violate(fmt.Sprintf("%s shows revision %d, which was refused", entry.Router, entry.Revision))
		}
	}
	return finding
}

// checkReads checks that a read returns no older revision than any revision that was
// accepted before the read was sent.
func checkReads(entries []Entry) Finding {
	finding := Finding{Checker: "reads are never older than what was accepted"}
	accepted := acceptances(entries)
	for _, entry := range entries {
		if entry.Kind != RevisionRead {
			continue
		}
		finding.Checked++
		for _, acceptance := range accepted {
			if acceptance.At.Before(entry.At.Add(-entry.Took)) && entry.Revision < acceptance.Revision {
				finding.Violate(fmt.Sprintf("a read returned revision %d, but revision %d was accepted %s earlier", entry.Revision,
					acceptance.Revision, entry.At.Sub(acceptance.At)))
			}
		}
	}
	return finding
}

// ChangeSectionsKey is the record key under which entries report sections of change
// records. Like new keys, these sections may be written only once their flag is enabled.
const ChangeSectionsKey = "changes/"

// formatFlags maps each new record key or section to the feature flag that must be enabled
// before it is written.
var formatFlags = map[string]string{
	"order_v2":        "order_patience",
	"pair_v2":         "pair_price",
	ChangeSectionsKey: "change_sections",
}

// checkFormats checks that a record with a new key is seen (on a link, on a disk or at a
// server) only after the key's flag was enabled, and that every member that was known when
// the flag was enabled supported the flag. If the log has no entries on enabled flags, the
// flag counts as enabled with the first record that has the key. A member counts as
// supporting a flag before its new release starts, and as lacking the flag once the entry of
// its old release is in the log.
func checkFormats(entries []Entry) Finding {
	finding := Finding{Checker: "a new format waits for every known member"}
	lacking := map[string]map[string]bool{}
	enabled := map[string]bool{}
	recordsFlags := false
	for _, entry := range entries {
		recordsFlags = recordsFlags || entry.Kind == FlagEnabled
	}
	enable := func(flag, event string) {
		if enabled[flag] {
			return
		}
		enabled[flag] = true
		if len(lacking[flag]) > 0 {
			finding.Violate(fmt.Sprintf("%s while %d known members lack %s", event, len(lacking[flag]), flag))
		}
	}
	seen := func(key, event string) {
		flag, gated := formatFlags[key]
		if !gated {
			return
		}
		if recordsFlags && !enabled[flag] {
			finding.Violate(fmt.Sprintf("%s before %s was enabled", event, flag))
		}
		enable(flag, event)
	}
	for _, entry := range entries {
		switch entry.Kind {
		case MemberKnown:
			for _, flag := range formatFlags {
				if lacking[flag] == nil {
					lacking[flag] = map[string]bool{}
				}
				delete(lacking[flag], entry.Holder)
				if !slices.Contains(entry.Flags, flag) {
					lacking[flag][entry.Holder] = true
				}
			}
		case FlagEnabled:
			enable(entry.Cause, "enabled")
		case RecordSeen:
			finding.Checked++
			seen(entry.Cause, "a record with "+entry.Cause+" was seen "+entry.Role)
		case Commanded:
			finding.Checked++
			if entry.Cause != "" {
				seen("order_v2", entry.Server+" was commanded in the new format")
			}
		}
	}
	return finding
}
