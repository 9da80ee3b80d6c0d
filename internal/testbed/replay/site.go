package replay

import "time"

// Site is a deployment: its places, machines, model servers, kinds of requests and
// bounds.
type Site struct {
	Region string
	Zones  []string
	// Plain is how many machines without a disk stand in each zone, beside one with a disk.
	Plain    int
	Services []ServiceShape
	Classes  []Class
	Terms    Terms
	// Clients is how many clients each zone has; Rate the requests a second of all of them.
	Clients int
	Rate    float64
	// ListLag and ListRate are those of the list of servers.
	ListLag  time.Duration
	ListRate float64
}

// ServiceShape is a service and its model servers: how many in each zone, and how many
// of all begin as readers of prompts.
type ServiceShape struct {
	Name    string
	PerZone int
	Readers int
	Engine  Shape
}

// Class is a kind of request.
type Class struct {
	Name      string
	Service   string
	Share     float64
	Aim       time.Duration
	Deadline  time.Duration
	Pause     time.Duration
	Resumable bool
	// Plain requests are answered whole; Repeatable tells which of these may run again.
	Plain       bool
	Idempotent  bool
	MaxAttempts int
	Priority    int
	Retries     int
	// Shared are the parts that requests have in common, from the widest: how many there
	// are, and of how many tokens.
	Shared     []SharedPart
	OwnTokens  int
	MostTokens int
	BodyBytes  int
}

// SharedPart is a layer of prompt parts shared between requests.
type SharedPart struct{ Things, Tokens int }

// SmallSite is a light deployment close to the users' small ones: three zones, a
// machine with a disk and one without in each, two services.
func SmallSite() Site {
	e := Shape{
		Slots: 24, Queue: 48, Connections: 200, Step: 3100 * time.Microsecond, StepPerSlot: 100 * time.Microsecond, TokensPerMillisecond: 57,
		Chunk: 4096, Block: 16, Capacity: 290_000, TokenBytes: 18_432, LinkMegabits: 550_000, Setup: 3300 * time.Microsecond,
		HandleLifetime: 5 * time.Second, Switch: 1500 * time.Millisecond, ReportLag: 100 * time.Millisecond,
		Cold: 3 * time.Second, ColdPerSecond: 12, Idle: 15 * time.Second,
	}
	till := Shape{
		Slots:                8,
		Queue:                24,
		Connections:          120,
		Step:                 4 * time.Millisecond,
		TokensPerMillisecond: 57,
		Chunk:                1,
		Block:                16,
		Capacity:             4096,
		Plain:                5,
		Cold:                 3 * time.Second,
		ColdPerSecond:        12,
		Idle:                 8 * time.Second,
	}
	return Site{
		Region: "coast", Zones: []string{"quay-hall", "hill-hall", "mill-hall"}, Plain: 1, Terms: UsualTerms(), Clients: 6, Rate: 20,
		ListLag: 800 * time.Millisecond, ListRate: 40,
		Services: []ServiceShape{{
			Name:    "desk",
			PerZone: 2,
			Readers: 2,
			Engine:  e,
		}, {Name: "annexe", PerZone: 1, Readers: 1, Engine: e}, {Name: "till", PerZone: 1, Engine: till}},
		Classes: []Class{
			{
				Name:        "verdict",
				Service:     "desk",
				Share:       0.45,
				Aim:         400 * time.Millisecond,
				Deadline:    3 * time.Second,
				Pause:       250 * time.Millisecond,
				Resumable:   true,
				MaxAttempts: 2,
				Priority:    0,
				Retries:     1,
				Shared:      []SharedPart{{4, 2520}, {40, 3780}},
				OwnTokens:   2890,
				MostTokens:  8,
				BodyBytes:   18_000,
			},
			{
				Name:        "chat",
				Service:     "desk",
				Share:       0.55,
				Aim:         500 * time.Millisecond,
				Deadline:    8 * time.Second,
				Pause:       250 * time.Millisecond,
				MaxAttempts: 2,
				Priority:    1,
				Retries:     1,
				Shared:      []SharedPart{{40, 119}, {80, 79}},
				OwnTokens:   628,
				MostTokens:  40,
				BodyBytes:   1700,
			},
			{
				Name:        "purchase",
				Service:     "till",
				Share:       0.1,
				Plain:       true,
				Aim:         300 * time.Millisecond,
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
				Aim:         300 * time.Millisecond,
				Deadline:    2 * time.Second,
				MaxAttempts: 3,
				Priority:    2,
				Retries:     2,
				BodyBytes:   100,
			},
		},
	}
}

// repeats tells whether a request of the kind may run more than once.
func (c Class) repeats() bool { return c.Resumable || c.Idempotent }

// shapeOf finds a service of the site.
func (s Site) shapeOf(service string) ServiceShape {
	for _, shape := range s.Services {
		if shape.Name == service {
			return shape
		}
	}
	return ServiceShape{}
}

// classOf finds a kind of request.
func (s Site) classOf(name string) Class {
	for _, class := range s.Classes {
		if class.Name == name {
			return class
		}
	}
	return Class{}
}
