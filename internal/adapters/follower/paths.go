package follower

// The paths of the messages that nodes send to expediters.
const (
	NewsPath   = "/hotline/news"
	ClaimPath  = "/hotline/claim"
	OrdersPath = "/hotline/orders"
	RelayPath  = "/hotline/relay"
	PassPath   = "/hotline/pass"
	CrumbsPath = "/hotline/crumbs"
	HelloPath  = "/hotline/hello"
)
