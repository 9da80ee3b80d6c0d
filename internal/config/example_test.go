package config_test

import (
	"errors"
	"fmt"

	"seamloom.example/seamloom/internal/config"
)

func ExampleCheck() {
	_, err := config.Check([]byte(`{"services":{"chat":{"tries":0}},"routes":{"all":{"order":1}}}`))
	var invalid *config.ValidationError
	if errors.As(err, &invalid) {
		for _, found := range invalid.Failures {
			fmt.Println(found.Path, found.Code)
		}
	}
	// Output:
	// /services/chat/tries out_of_range
	// /routes/all/to missing
}

func ExampleMerge() {
	current := []byte(`{"services":{"chat":{"tries":3},"old":{}}}`)
	merged, err := config.Merge(current, []byte(`{"services":{"chat":{"tries":5},"old":null}}`))
	fmt.Println(string(merged), err)
	// Output: {"services":{"chat":{"tries":5}}} <nil>
}

func ExampleRevise() {
	replace := func([]byte) ([]byte, error) { return []byte(`{"revision":4}`), nil }
	current := []byte(`{"revision":3,"evacuations":{"north":{}}}`)
	next, err := config.Revise(current, 3, replace)
	fmt.Println(string(next), err)
	// Output: {"revision":4,"evacuations":{"north":{}}} <nil>
}

func ExampleValidateAgainst() {
	fleet := config.FleetState{Servers: []config.ServerState{{Name: "a", Zone: "north"}}}
	proposed := []byte(`{"services":{"chat":{}},"routes":{"all":{"to":{}}},"evacuations":{"north":{}}}`)
	for _, diagnostic := range config.ValidateAgainst(proposed, nil, fleet) {
		fmt.Println(diagnostic.Level, diagnostic.Path, diagnostic.Code)
	}
	// Output: warning /routes/all no_servers_left
}
