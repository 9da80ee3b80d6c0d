package features

// Description tells operators what a flag changes.
type Description struct {
	Name  Flag   `json:"name"`
	Since string `json:"since"`
	Text  string `json:"description"`
}

var book = []Description{
	{Name: BackupList, Since: "0.3", Text: "charters gain the key further_backups and seats the key district: where more than one loss is to be borne, every write is synced on several backups, and keepers are more than three and spread over districts"},
	{Name: OrderPatience, Since: "0.2", Text: "part-change and drain orders gain the key order_v2: how long running work may go on, and why the order was given"},
	{Name: PairPrice, Since: "0.2", Text: "pair records gain the key pair_v2: the price at which the pair was chosen and its share for the hand-over"},
}

// Book lists the flags that this build knows, in order of name.
func Book() []Description { return append([]Description(nil), book...) }
