package pass

import "seamloom.example/seamloom/internal/menu"

// Ruling is what the route that matched says of an inquiry.
type Ruling struct {
	Route     string
	Service   menu.Service
	Districts map[string]bool
	HomeFirst bool
}
