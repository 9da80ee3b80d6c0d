package features

// Flag names one breaking change of a record format.
type Flag string

// The flags that this build documents. A flag never leaves this list, even
// when the code for its old format does.
const (
	// PairPrice lets pair records carry "pair_v2": the pair with its price.
	PairPrice Flag = "pair_price"
	// OrderPatience lets orders carry "order_v2": the part with the time that
	// running work is given and the cause of the change.
	OrderPatience Flag = "order_patience"
	// BackupList lets memberships name more than one backup, and more than three
	// keepers with their zones.
	BackupList Flag = "backup_list"
)
