package fleet

import "strconv"

// Deployment describes the size and the traffic of one user's fleet. Long requests have long
// prompts and short answers; Short requests have short prompts and long answers.
type Deployment struct {
	Name    string
	Zones   []string
	Routers int
	Servers int
	Long    Kind
	Short   Kind
}

// Kind is one kind of streamed request. A request has at least LeastTokens and fewer than
// MostTokens prompt tokens; LeastChunks and MostChunks bound the chunks of its answer in the same
// way. Its prompt starts with one of Prefixes shared prefixes of PrefixTokens tokens each.
type Kind struct {
	Service      string
	LeastTokens  int
	MostTokens   int
	PrefixTokens int
	Prefixes     int
	LeastChunks  int
	MostChunks   int
}

// Sahil is a deployment with nine servers, three controllers and seven routers.
func Sahil() Deployment {
	return Deployment{Name: "sahil", Zones: []string{"harbour", "medina", "dunes"}, Routers: 7, Servers: 9,
		Long: Kind{
			Service:      "zone-verdict",
			LeastTokens:  2500,
			MostTokens:   6000,
			PrefixTokens: 1800,
			Prefixes:     6,
			LeastChunks:  6,
			MostChunks:   16,
		},
		Short: Kind{
			Service:      "rider-chat",
			LeastTokens:  60,
			MostTokens:   300,
			PrefixTokens: 40,
			Prefixes:     2,
			LeastChunks:  20,
			MostChunks:   50,
		}}
}

// Kochloeffel is a deployment with twelve servers, three controllers and seven routers.
func Kochloeffel() Deployment {
	return Deployment{Name: "kochloeffel", Zones: []string{"nord", "mitte", "sued"}, Routers: 7, Servers: 12,
		Long: Kind{
			Service:      "pantry-check",
			LeastTokens:  1500,
			MostTokens:   5000,
			PrefixTokens: 1000,
			Prefixes:     8,
			LeastChunks:  5,
			MostChunks:   12,
		},
		Short: Kind{
			Service:      "step-rewrite",
			LeastTokens:  80,
			MostTokens:   400,
			PrefixTokens: 60,
			Prefixes:     3,
			LeastChunks:  16,
			MostChunks:   40,
		}}
}

// DeploymentNamed returns the deployment with a name, and whether there is one.
func DeploymentNamed(name string) (Deployment, bool) {
	for _, deployment := range []Deployment{Sahil(), Kochloeffel()} {
		if deployment.Name == name {
			return deployment, true
		}
	}
	return Deployment{}, false
}

// Configuration returns a revision of the deployment's configuration. Each revision has a
// route whose name contains the revision's number, so that any client can see which revision
// is in force at a router.
func (d Deployment) Configuration(revision int) string {
	return `{"services":{"` + d.Long.Service + `":{"limit_milliseconds":20000},"` + d.Short.Service +
		`":{"limit_milliseconds":20000},"edition":{}},"routes":{"edition-` + strconv.Itoa(revision) +
		`":{"order":0,"match":{"service":"edition"},"to":{"refuse":true}},"all":{"order":9,"to":{"home_first":true}}}}`
}
