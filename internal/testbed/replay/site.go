package replay

import "time"

// Site is a deployment: its zones, machines, model servers, classes of requests and time limits.
type Site struct {
	Region string
	Zones  []string
	// PlainMachines is the number of machines without a disk in each zone. Each zone also has one
	// machine with a disk.
	PlainMachines int
	Services      []ServiceConfig
	Classes       []Class
	Terms         Terms
	// Clients is the number of clients in each zone. Rate is the number of requests per second of all
	// clients together if the shares of the classes add up to 1.
	Clients int
	Rate    float64
	// ListLag is how old the returned list of servers is, ListRate the number of reads of the list
	// per second that the platform allows.
	ListLag  time.Duration
	ListRate float64
}

// ServiceConfig is a service and its model servers. PerZone is the number of servers in each zone,
// PrefillServers the total number of servers, over all zones, that start in the prefill phase.
type ServiceConfig struct {
	Name           string
	PerZone        int
	PrefillServers int
	Engine         EngineConfig
}

// Class is a class of requests. Its rate is Share times the rate of the site. Target is the time
// limit for the first event, TokenGap the longest time between two events, and Deadline the time
// limit of the whole request. MaxAttempts is the largest number of servers that may run a request,
// and Retries the number of times that its client retries.
type Class struct {
	Name      string
	Service   string
	Share     float64
	Target    time.Duration
	Deadline  time.Duration
	TokenGap  time.Duration
	Resumable bool
	// Plain requests get a single response instead of a stream. Idempotent requests may run more
	// than once.
	Plain       bool
	Idempotent  bool
	MaxAttempts int
	Priority    int
	Retries     int
	// Shared are the prompt parts that requests have in common, the most widely shared first. OwnTokens
	// is the mean length of the part that only one request has.
	Shared    []SharedPart
	OwnTokens int
	MaxTokens int
	BodyBytes int
}

// SharedPart is a part of the prompt that requests have in common. Variants is the number of different texts
// of this part, Tokens the length of each.
type SharedPart struct{ Variants, Tokens int }

// SmallSite returns a small deployment, similar to the users' small deployments. It has three services
// and three zones; each zone has one machine with a disk and one without.
func SmallSite() Site {
	modelEngine := EngineConfig{
		Slots: 24, Queue: 48, Connections: 200, Step: 3100 * time.Microsecond, StepPerSlot: 100 * time.Microsecond, TokensPerMillisecond: 57,
		Chunk: 4096, Block: 16, Capacity: 290_000, TokenBytes: 18_432, LinkMegabits: 550_000, TransferSetup: 3300 * time.Microsecond,
		HandleLifetime: 5 * time.Second, PhaseSwitch: 1500 * time.Millisecond, ReportLag: 100 * time.Millisecond,
		ColdStart: 3 * time.Second, ColdPerSecond: 12, ConnectionIdle: 15 * time.Second,
	}
	plainEngine := EngineConfig{
		Slots:                8,
		Queue:                24,
		Connections:          120,
		Step:                 4 * time.Millisecond,
		TokensPerMillisecond: 57,
		Chunk:                1,
		Block:                16,
		Capacity:             4096,
		PlainSteps:           5,
		ColdStart:            3 * time.Second,
		ColdPerSecond:        12,
		ConnectionIdle:       8 * time.Second,
	}
	return Site{
		Region: "coast", Zones: []string{"quay-hall", "hill-hall", "mill-hall"}, PlainMachines: 1, Terms: UsualTerms(), Clients: 6, Rate: 20,
		ListLag: 800 * time.Millisecond, ListRate: 40,
		Services: []ServiceConfig{{
			Name:           "desk",
			PerZone:        2,
			PrefillServers: 2,
			Engine:         modelEngine,
		}, {Name: "annexe", PerZone: 1, PrefillServers: 1, Engine: modelEngine}, {Name: "till", PerZone: 1, Engine: plainEngine}},
		Classes: []Class{
			{
				Name:        "verdict",
				Service:     "desk",
				Share:       0.45,
				Target:      400 * time.Millisecond,
				Deadline:    3 * time.Second,
				TokenGap:    250 * time.Millisecond,
				Resumable:   true,
				MaxAttempts: 2,
				Priority:    0,
				Retries:     1,
				Shared:      []SharedPart{{4, 2520}, {40, 3780}},
				OwnTokens:   2890,
				MaxTokens:   8,
				BodyBytes:   18_000,
			},
			{
				Name:        "chat",
				Service:     "desk",
				Share:       0.55,
				Target:      500 * time.Millisecond,
				Deadline:    8 * time.Second,
				TokenGap:    250 * time.Millisecond,
				MaxAttempts: 2,
				Priority:    1,
				Retries:     1,
				Shared:      []SharedPart{{40, 119}, {80, 79}},
				OwnTokens:   628,
				MaxTokens:   40,
				BodyBytes:   1700,
			},
			{
				Name:        "purchase",
				Service:     "till",
				Share:       0.1,
				Plain:       true,
				Target:      300 * time.Millisecond,
				Deadline:    2 * time.Second,
				MaxAttempts: 2,
				Priority:    0,
				Retries:     1,
				BodyBytes:   900,
			},
			{
				Name:        "stock",
				Service:     "till",
				Share:       0.1,
				Plain:       true,
				Idempotent:  true,
				Target:      300 * time.Millisecond,
				Deadline:    2 * time.Second,
				MaxAttempts: 3,
				Priority:    2,
				Retries:     2,
				BodyBytes:   100,
			},
		},
	}
}

// mayRepeat reports whether a request of the class may run more than once.
func (c Class) mayRepeat() bool { return c.Resumable || c.Idempotent }

// serviceConfig returns the service with a name, or an empty one if there is none.
func (s Site) serviceConfig(name string) ServiceConfig {
	for _, service := range s.Services {
		if service.Name == name {
			return service
		}
	}
	return ServiceConfig{}
}

// classOf returns the class of requests with a name, or an empty one if there is none.
func (s Site) classOf(name string) Class {
	for _, class := range s.Classes {
		if class.Name == name {
			return class
		}
	}
	return Class{}
}
