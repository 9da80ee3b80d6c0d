package simulation

import (
	"strings"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"seamloom.example/seamloom/internal/codec"
	"seamloom.example/seamloom/internal/features"
	"seamloom.example/seamloom/internal/replication"
	"seamloom.example/seamloom/internal/testbed/fleet"
	"seamloom.example/seamloom/internal/wire"
)

// The taps read the records that are sent over the network and written to disks. They add each
// feature key, each enabled flag and the first section of changes to the event log, when it first
// appears.

// tapRecord adds a record's feature keys to the event log, each only once for the record's kind and
// the place; where says where the record was seen.
func (w *World) tapRecord(record codec.Record, where string) {
	for key := range record.Features {
		seenKey := string(record.Kind) + "/" + key + "/" + where
		if w.seenKeys[seenKey] {
			continue
		}
		w.seenKeys[seenKey] = true
		w.Events.Append(fleet.Entry{Kind: fleet.RecordSeen, Cause: key, Role: where, Holder: record.Writer})
	}
}

// tapMessage reads the records of a message between nodes.
func (w *World) tapMessage(path string, body []byte) {
	if path != wire.RecordsPath {
		return
	}
	var records []codec.Record
	if msgpack.Unmarshal(body, &records) == nil {
		for _, record := range records {
			w.tapRecord(record, "on a wire")
		}
	}
}

// tapFile reads a stored version from its file, in which the storage adapter puts eight bytes before
// the content. It reads one record of each section of claims.
func (w *World) tapFile(path string, framed []byte) {
	var batch replication.Batch
	if !strings.HasPrefix(path, "larder/") || len(framed) < 8 || msgpack.Unmarshal(framed[8:], &batch) != nil {
		return
	}
	state, err := replication.ReadState(batch.Sections)
	if err != nil {
		return
	}
	for _, flag := range state.Flags.Enabled {
		if seenKey := "flag/" + string(flag); !w.seenKeys[seenKey] {
			w.seenKeys[seenKey] = true
			w.Events.Append(fleet.Entry{Kind: fleet.FlagEnabled, Cause: string(flag)})
			w.encounter("a flag enabled")
		}
	}
	for section := range batch.Sections {
		if strings.HasPrefix(section, replication.ChangesPrefix) && !w.seenKeys[fleet.ChangeSectionsKey] {
			w.seenKeys[fleet.ChangeSectionsKey] = true
			w.Events.Append(fleet.Entry{Kind: fleet.RecordSeen, Cause: fleet.ChangeSectionsKey, Role: "on a disk"})
		}
	}
	for _, record := range state.Orders.Records {
		w.tapRecord(record, "on a disk")
	}
	for _, claims := range state.Claims {
		for _, record := range claims {
			w.tapRecord(record, "on a disk")
			break
		}
	}
}

// recordMember adds the features that a member's release can read to the event log.
func (w *World) recordMember(m *machine) {
	var flags []string
	for _, flag := range features.Supported(m.withheld) {
		flags = append(flags, string(flag))
	}
	w.Events.Append(fleet.Entry{Kind: fleet.MemberKnown, Holder: m.name, Flags: flags})
}

// recordOldMember records the features of a member of an older release once the primary has
// answered the member, because the primary records the member only then.
func (w *World) recordOldMember(m *machine, process *incarnation, lastUpdate func() time.Time) {
	process.Go(func() {
		for lastUpdate().IsZero() {
			process.NewCond().Wait(5*time.Millisecond, never)
		}
		w.recordMember(m)
	})
}
