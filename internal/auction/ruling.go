package auction

import "seamloom.example/seamloom/internal/config"

// RouteDecision is what the route that matched says of a request.
type RouteDecision struct {
	Route     string
	Service   config.Service
	Zones     map[string]bool
	HomeFirst bool
}
