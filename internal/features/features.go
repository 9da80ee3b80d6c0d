// Package features owns the feature flags, after the section "Feature flags" of the paper
// on uninterrupted upgrades. Each build supports a list of flags; the replicated state holds
// the list of those enabled. A node writes a new format only under its enabled flag, and
// reads every format that its build supports. Package codec applies flags to records;
// package replication enables a flag once all recorded members support it, and never
// disables one. A node that lacks an enabled flag is restricted: it runs, and leads and
// writes nothing.
package features

import "sort"

// Flag names one breaking change of a record format.
type Flag string

// The flags that this build documents. A flag never leaves this list, even when the code
// for its old format does: an enabled flag must be in every later build's list (paper,
// "When to get rid of old data support").
const (
	// PairPrice lets pair records carry "pair_v2": the pair with its price.
	PairPrice Flag = "pair_price"
	// OrderPatience lets orders carry "order_v2": the part with the grace period of
	// running work and the cause of the change.
	OrderPatience Flag = "order_patience"
	// BackupList lets memberships name more than one backup, and more than three
	// witnesses with their zones.
	BackupList Flag = "backup_list"
	// ChangeSections lets the records of accepted changes lie in sections "changes/N" of a bounded
	// size, in the place of one section that grows with their number.
	ChangeSections Flag = "change_sections"
	// Tenants lets a configuration have tenants. It need not be enabled for that: such a configuration is
	// accepted while every recorded member supports it, since the first one comes before flags are enabled.
	Tenants Flag = "tenants"
)

// Description tells operators what a flag changes, as the section "From an operator point
// of view" asks.
type Description struct {
	Name Flag `json:"name"`
	// Since is the release that brought the flag.
	Since string `json:"since"`
	Text  string `json:"description"`
}

// descriptions is in order of name. The texts are part of the operators' interface.
var descriptions = []Description{
	{
		Name:  BackupList,
		Since: "0.3",
		Text: "charters gain the key further_backups and seats the key district: where more than one loss is to be borne, " +
			"every write is synced on several backups, and keepers are more than three and spread over districts",
	},
	{
		Name:  ChangeSections,
		Since: "0.4",
		Text: "records of accepted changes lie in sections changes/N of 64 records beside the one section changes, " +
			"so that a change sends and stores the newest ones only, and 32,768 are kept in the place of 8,192",
	},
	{
		Name:  OrderPatience,
		Since: "0.2",
		Text: "part-change and drain orders gain the key order_v2: how long running work may go on, " +
			"and why the order was given",
	},
	{
		Name:  PairPrice,
		Since: "0.2",
		Text:  "pair records gain the key pair_v2: the price at which the pair was chosen and its share for the hand-over",
	},
	{
		Name:  Tenants,
		Since: "0.5",
		Text: "configurations gain the key tenants and routes of calls the key public: calls show a key, and servers are told " +
			"its tenant; such a configuration is accepted as soon as no recorded member lacks the flag",
	},
}

// Descriptions lists the flags that this build knows, in order of name.
func Descriptions() []Description { return append([]Description(nil), descriptions...) }

// List is a sorted set of flags: what a build supports, or what is enabled.
type List []Flag

// Supported is this build's list, less the flags that are withheld by a test
// setting so that an older release can be run beside a newer one.
func Supported(withheld List) List {
	supported := List{}
	for _, description := range descriptions {
		if !withheld.Has(description.Name) {
			supported = append(supported, description.Name)
		}
	}
	return supported
}

// Has tells whether the flag is in the list.
func (l List) Has(flag Flag) bool {
	for _, entry := range l {
		if entry == flag {
			return true
		}
	}
	return false
}

// Lacks lists the wanted flags that are not in the list.
func (l List) Lacks(wanted List) List {
	var lacking List
	for _, flag := range wanted {
		if !l.Has(flag) {
			lacking = append(lacking, flag)
		}
	}
	return lacking
}

// With is a new list that has the flags as well.
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
