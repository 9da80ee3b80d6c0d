// Package discovery reads the platform's lists of servers and nodes over HTTP.
package discovery

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"seamloom.example/seamloom/internal/failure"
	"seamloom.example/seamloom/internal/membership"
)

// Directory asks one platform.
type Directory struct {
	client *http.Client
}

// requestTimeout is how long the platform may take to answer.
const requestTimeout = time.Second

// New makes a directory over a transport.
func New(transport http.RoundTripper) *Directory {
	return &Directory{client: &http.Client{Transport: transport}}
}

// Servers reads the server list.
func (d *Directory) Servers(ctx context.Context, address string) ([]membership.Server, error) {
	var list struct {
		Servers []membership.Server `json:"servers"`
	}
	err := d.read(ctx, "http://"+address+"/v1/servers", &list)
	return list.Servers, err
}

// Nodes reads the node list.
func (d *Directory) Nodes(ctx context.Context, address string) ([]membership.Node, error) {
	var list struct {
		Nodes []membership.Node `json:"nodes"`
	}
	err := d.read(ctx, "http://"+address+"/v1/nodes", &list)
	return list.Nodes, err
}

func (d *Directory) read(ctx context.Context, location string, target any) error {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, location, nil)
	if err != nil {
		return failure.Wrap(failure.Garbage, err)
	}
	response, err := d.client.Do(request)
	if err != nil {
		return failure.Wrap(failure.Unreachable, err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return failure.New(failure.Unreachable, "the platform answers "+strconv.Itoa(response.StatusCode))
	}
	return failure.Wrap(failure.Garbage, json.NewDecoder(io.LimitReader(response.Body, 4<<20)).Decode(target))
}
