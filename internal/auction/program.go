package auction

import (
	"time"

	"seamloom.example/seamloom/internal/config"
	"seamloom.example/seamloom/internal/failure"
	"seamloom.example/seamloom/internal/membership"
)

// Program is a configuration compiled for the request's path: for each service
// the steps of its routes, in order. It is never altered; a new configuration
// is a new program.
type Program struct {
	epoch       uint64
	number      uint64
	services    map[string]*compiledService
	evacuations map[string]bool
}

type compiledService struct {
	service config.Service
	steps   []step
}

type step struct {
	code   opcode
	text   string
	number int
	next   int
	ruling *Ruling
}

// Compile makes the program of a configuration.
func Compile(configuration *config.Configuration, epoch, number uint64) *Program {
	program := &Program{epoch: epoch, number: number, services: map[string]*compiledService{}, evacuations: map[string]bool{}}
	for zone := range configuration.Evacuations {
		program.evacuations[zone] = true
	}
	for name, service := range configuration.Services {
		program.services[name] = &compiledService{service: service}
	}
	for _, route := range configuration.Routes {
		if route.Calls != nil {
			continue
		}
		if route.Match.Service != "" {
			program.services[route.Match.Service].add(route)
			continue
		}
		for _, compiled := range program.services {
			compiled.add(route)
		}
	}
	return program
}

func (c *compiledService) add(route config.Route) {
	first := len(c.steps)
	need := func(wanted bool, code opcode, text string, number int) {
		if wanted {
			c.steps = append(c.steps, step{code: code, text: text, number: number})
		}
	}
	match := route.Match
	need(match.Zone != "", needZone, match.Zone, 0)
	need(match.Client != "", needClient, match.Client, 0)
	need(match.Prefix != "", needPrefix, match.Prefix, 0)
	need(match.PromptTokensAtLeast > 0, needAtLeast, "", match.PromptTokensAtLeast)
	need(match.PromptTokensBelow > 0, needBelow, "", match.PromptTokensBelow)
	ruling := &Ruling{Route: route.Name, Service: c.service, HomeFirst: route.To.HomeFirst}
	code := actSend
	if route.To.Refuse {
		code = actRefuse
	}
	if len(route.To.Zones) > 0 {
		ruling.Zones = map[string]bool{}
		for _, zone := range route.To.Zones {
			ruling.Zones[zone] = true
		}
	}
	c.steps = append(c.steps, step{code: code, ruling: ruling})
	for position := first; position < len(c.steps); position++ {
		c.steps[position].next = len(c.steps)
	}
}

// Rule interprets the program for one request that arrived in a zone.
func (p *Program) Rule(request *Request, zone string) (*Ruling, *failure.Error) {
	compiled, found := p.services[request.Service]
	if !found {
		return nil, failure.New(failure.UnknownService, request.Service)
	}
	if request.PromptTokens > compiled.service.MaxPromptTokens {
		return nil, failure.At(failure.OutOfRange, "/prompt_tokens", "the service takes fewer tokens")
	}
	if request.Chunks > compiled.service.MaxChunks {
		return nil, failure.At(failure.OutOfRange, "/pieces", "the service makes fewer pieces")
	}
	for position := 0; position < len(compiled.steps); {
		s := &compiled.steps[position]
		holds := true
		switch s.code {
		case needZone:
			holds = zone == s.text
		case needClient:
			holds = request.Client == s.text
		case needPrefix:
			holds = request.Prefix == s.text
		case needAtLeast:
			holds = request.PromptTokens >= s.number
		case needBelow:
			holds = request.PromptTokens < s.number
		case actRefuse:
			return s.ruling, failure.New(failure.RouteRefuses, s.ruling.Route)
		case actSend:
			return s.ruling, nil
		}
		if holds {
			position++
		} else {
			position = s.next
		}
	}
	return nil, failure.New(failure.NoRoute, "no route matches the inquiry")
}

// Allows tells whether work may go to a server under the ruling.
func (p *Program) Allows(ruling *Ruling, server membership.Server) bool {
	return !p.evacuations[server.Zone] && (ruling.Zones == nil || ruling.Zones[server.Zone])
}

// limit is the latest moment of a request that came now.
func (r *Ruling) limit(now, asked time.Time) time.Time {
	latest := now.Add(r.Service.Limit)
	if asked.IsZero() || asked.After(latest) {
		return latest
	}
	return asked
}
