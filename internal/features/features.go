// Package features defines the feature flags, following the section "Feature flags" of the paper
// on uninterrupted upgrades. Each build supports a list of flags; the replicated state holds
// the list of enabled flags. A node writes a new record format only if the flag of the format is
// enabled, and reads every format that its build supports. Package codec applies flags to records;
// package replication enables a flag once all recorded members support it, and never
// disables a flag. A node whose build lacks an enabled flag is restricted: it keeps running but
// neither leads nor writes.
package features

import "sort"

// Flag names one breaking change of a record format.
type Flag string

// The flags that this build supports. A flag is never removed from this list, even when the code
// for the old format is removed: an enabled flag must be in the list of every later build (paper,
// "When to get rid of old data support").
const (
	// PairPrice allows the key "pair_v2" in pair records: the pair with its price.
	PairPrice Flag = "pair_price"
	// OrderGracePeriod allows the key "order_v2" in order records: the role together with the grace
	// period of running work and the cause of the change.
	OrderGracePeriod Flag = "order_patience"
	// BackupList allows memberships with more than one backup, and with more than three
	// witnesses and their zones.
	BackupList Flag = "backup_list"
	// ChangeSections allows the records of accepted changes to be stored in sections "changes/N" of
	// bounded size, instead of one section that grows with the number of changes.
	ChangeSections Flag = "change_sections"
	// Tenants allows a configuration with tenants. The flag need not be enabled for that: a configuration with
	// tenants is accepted while every recorded member supports the flag, because the first configuration arrives
	// before any flag is enabled.
	Tenants Flag = "tenants"
)

// Description explains to operators what a flag changes, as the section "From an operator point
// of view" of the paper requires.
type Description struct {
	Name Flag `json:"name"`
	// Since is the release that introduced the flag.
	Since string `json:"since"`
	Text  string `json:"description"`
}

// descriptions is sorted by name. The texts are shown to operators.
var descriptions = []Description{
	{
		Name:  BackupList,
		Since: "0.3",
		Text: "memberships gain the key further_backups and members the key district: to tolerate the loss of more than one " +
			"member, every write is synced on several backups, and more than three witnesses are spread over zones",
	},
	{
		Name:  ChangeSections,
		Since: "0.4",
		Text: "records of accepted changes are stored in sections changes/N of 64 records in addition to the single section " +
			"changes, so that a change sends and stores only the newest records, and 32,768 records are kept instead of 8,192",
	},
	{
		Name:  OrderGracePeriod,
		Since: "0.2",
		Text: "orders to change a server's role or to drain it gain the key order_v2: how long running work may continue, " +
			"and why the order was given",
	},
	{
		Name:  PairPrice,
		Since: "0.2",
		Text:  "pair records gain the key pair_v2: the price at which the pair was selected and the part of it that is the KV transfer",
	},
	{
		Name:  Tenants,
		Since: "0.5",
		Text: "configurations gain the key tenants and routes of calls the key public: calls carry an API key, and its tenant is " +
			"passed on to servers; such a configuration is accepted once every recorded member supports the flag",
	},
}

// Descriptions returns the descriptions of all flags that this build supports, sorted by name.
func Descriptions() []Description { return append([]Description(nil), descriptions...) }

// List is a sorted set of flags: those that a build supports, or those that are enabled.
type List []Flag

// Supported returns the flags that this build supports, without the withheld ones. Tests withhold
// flags by a setting, so that a node of this build acts as one of an older release.
func Supported(withheld List) List {
	supported := List{}
	for _, description := range descriptions {
		if !withheld.Has(description.Name) {
			supported = append(supported, description.Name)
		}
	}
	return supported
}

// Has reports whether the flag is in the list.
func (l List) Has(flag Flag) bool {
	for _, entry := range l {
		if entry == flag {
			return true
		}
	}
	return false
}

// Missing returns the wanted flags that are not in the list.
func (l List) Missing(wanted List) List {
	var lacking List
	for _, flag := range wanted {
		if !l.Has(flag) {
			lacking = append(lacking, flag)
		}
	}
	return lacking
}

// With returns a new list that also has the given flags.
func (l List) With(flags ...Flag) List {
	joined := append(List(nil), l...)
	for _, flag := range flags {
		if !joined.Has(flag) {
			joined = append(joined, flag)
		}
	}
	sort.Slice(joined, func(left, right int) bool { return joined[left] < joined[right] })
	return joined
}
