package simulation

// RequiredEncounters are the encounters that the simulated days together must contain. An
// encounter is a situation in which a rule could be broken; days without these situations
// show nothing about the rules.
var RequiredEncounters = []string{
	"a router killed with a claim in flight",
	"a router killed with requests in flight",
	"an ID sent again after a refusal",
	"an ID sent again after a broken connection",
	"an ID sent again after its final reply",
	"a forwarded request delivered twice",
	"an order delivered twice to a server",
	"an order withheld after its dial",
	"a server's reply lost after the work was done",
	"replies in progress at an evacuation",
	"replies in progress at a leaving server",
	"replies in progress at a server's crash",
	"a client disconnected",
	"a change with an unknown outcome",
	"a call between nodes delivered twice",
	"a primary killed while it held the lease",
	"a frozen primary resumed",
	"a primary handed over its leadership",
	"a frozen router resumed with requests in flight and an expired lease",
	"a disk lost",
	"a damaged file was read",
	"a power loss with renames not synced",
	"the power fails before a write",
	"the power fails before a rename",
	"the power fails before a directory sync",
	"the power fails before a removal",
	"a core machine replaced",
	"a flag enabled",
	"a fleet started while the platform was down",
	"a node restarted as an older release",
	"a node restarted as a newer release",
}
