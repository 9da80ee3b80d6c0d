package hatch

import (
	"seamloom.example/seamloom/internal/recipe"
	"seamloom.example/seamloom/internal/rota"
)

// OrdersQuestion gives orders under the parts duty.
type OrdersQuestion struct {
	Duty   rota.Duty      `msgpack:"duty"`
	Orders []recipe.Order `msgpack:"orders"`
	// Supported is the writer's own list.
	Supported recipe.List `msgpack:"supported"`
}
