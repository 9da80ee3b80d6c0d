package wire

// The paths of the messages between seamloom's own processes.
const (
	UpdatesPath     = "/hotline/news"
	ClaimPath       = "/hotline/claim"
	OrdersPath      = "/hotline/orders"
	RelayPath       = "/hotline/relay"
	ForwardPath     = "/hotline/pass"
	CountsPath      = "/hotline/counts"
	QuotaPath       = "/hotline/quota"
	RecordsPath     = "/hotline/crumbs"
	HelloPath       = "/hotline/hello"
	IncarnationPath = "/hotline/incarnation"
	PreparePath     = "/hotline/keeper/prepare"
	AcceptPath      = "/hotline/keeper/accept"
	RenewLeasePath  = "/hotline/keeper/confirm"
	ReplicatePath   = "/hotline/larder/replicate"
	InstallPath     = "/hotline/larder/install"
	RefreshPath     = "/hotline/larder/refresh"
)
