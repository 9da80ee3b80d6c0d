package auction

import "seamloom.example/seamloom/internal/config"

// Ruling is what the route that matched says of a request.
type Ruling struct {
	Route     string
	Service   config.Service
	Zones     map[string]bool
	HomeFirst bool
}
