package router

import (
	"context"

	"seamloom.example/seamloom/internal/adapters/modelserver"
	"seamloom.example/seamloom/internal/adapters/ports"
	"seamloom.example/seamloom/internal/auction"
	"seamloom.example/seamloom/internal/dataplane"
)

// commanding has servers commanded by a platform's own orders, if there are any.
func commanding(kitchen *modelserver.ModelServer, orders ports.Orders) dataplane.ModelServer {
	if orders == nil {
		return kitchen
	}
	return &orderly{ModelServer: kitchen, orders: orders}
}

// orderly is a client to model servers whose parts are ordered in a platform's way.
type orderly struct {
	*modelserver.ModelServer
	orders ports.Orders
}

// Command has a server take a part. One that is late is worse than none: it ends
// with the duty's hold.
func (o *orderly) Command(decision auction.Decision, may func() bool) error {
	return o.Within(decision, func(lifetime context.Context) error { return o.orders.Order(lifetime, decision, may) })
}
