// Command configcheck validates a proposed configuration against the current state of the
// fleet. It changes nothing.
package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"

	"github.com/spf13/cobra"
	"github.com/valyala/fastjson"

	"seamloom.example/seamloom/internal/adapters/modelserver"
	"seamloom.example/seamloom/internal/adapters/osruntime"
	"seamloom.example/seamloom/internal/adapters/rpc"
	"seamloom.example/seamloom/internal/config"
	"seamloom.example/seamloom/internal/failure"
	"seamloom.example/seamloom/internal/features"
	"seamloom.example/seamloom/internal/membership"
)

// The exit codes. Scripts use them to distinguish the results.
const (
	exitFine        = 0
	exitErrors      = 1
	exitUsage       = 2
	exitMalformed   = 3
	exitUnreachable = 4
	// exitRaced means that the configuration in force changed during the check, or is not the expected one.
	exitRaced    = 5
	exitWarnings = 10
)

// report is the result that configcheck prints.
type report struct {
	Result      string              `json:"result"`
	Version     string              `json:"checked_against,omitempty"`
	Diagnostics []config.Diagnostic `json:"remarks"`
	Detail      string              `json:"detail,omitempty"`
}

// checker holds the options of the command line and the HTTP client to the controllers.
type checker struct {
	addresses []string
	asPatch   bool
	asJSON    bool
	expected  string
	client    *http.Client
}

func main() {
	c := &checker{client: &http.Client{Timeout: 5 * time.Second}}
	var to string
	code := exitFine
	root := &cobra.Command{Use: "configcheck FILE", Short: "validate a proposed configuration against the current state of the fleet",
		Args: cobra.ExactArgs(1), SilenceUsage: true, SilenceErrors: true,
		Long: "configcheck reads a complete configuration (or, with --patch, a merge patch) from FILE or, with -, from standard input.\n" +
			"It validates the configuration against the fleet: its servers and zones, the capacity that remains after evacuations,\n" +
			"and the feature flags of its members. It changes nothing.\n\n" +
			"Exit codes: 0 fine, 1 errors, 2 invalid arguments, 3 malformed input, 4 the fleet can't be reached,\n" +
			"5 the configuration in force changed during the check or is not the one of --expected, 10 warnings only.",
		Example: "  configcheck proposed.json --to 127.0.0.1:7101,127.0.0.1:7102\n" +
			"  configcheck --patch change.json --expected 4.17 --json --to 127.0.0.1:7101",
		RunE: func(_ *cobra.Command, arguments []string) error {
			c.addresses = strings.Split(to, ",")
			var result report
			code, result = c.check(arguments[0])
			c.print(result)
			return nil
		}}
	root.Flags().StringVar(&to, "to", "127.0.0.1:7101", "comma-separated addresses of controllers")
	root.Flags().BoolVar(&c.asPatch, "patch", false, "FILE is a merge patch (RFC 7396) for the configuration in force")
	root.Flags().BoolVar(&c.asJSON, "json", false, "print JSON")
	root.Flags().StringVar(&c.expected, "expected", "", "the version in force for which the proposal was written")
	if err := root.Execute(); err != nil {
		_, _ = fmt.Fprintln(os.Stderr, "configcheck:", err)
		os.Exit(exitUsage)
	}
	os.Exit(code)
}

// print writes the report as text or as JSON.
func (c *checker) print(result report) {
	if c.asJSON {
		if result.Diagnostics == nil {
			result.Diagnostics = []config.Diagnostic{}
		}
		encoded, _ := json.MarshalIndent(result, "", "  ")
		fmt.Println(string(encoded))
		return
	}
	for _, diagnostic := range result.Diagnostics {
		fmt.Printf("%-8s %s\n", diagnostic.Level, diagnostic.Error.Error())
	}
	fmt.Println(strings.TrimSpace(result.Result + " " + result.Detail))
}

// fleetStatus is the part of a controller's status that the validation needs.
type fleetStatus struct {
	ConfigurationVersion string              `json:"configuration_version"`
	Servers              []membership.Server `json:"servers"`
	Members              map[string]struct {
		Kind       membership.NodeKind `json:"kind"`
		Running    bool                `json:"running"`
		Restricted bool                `json:"restricted"`
	} `json:"members"`
	Flags []struct {
		Name    features.Flag `json:"name"`
		Enabled bool          `json:"enabled"`
	} `json:"flags"`
}

// versionedConfiguration is a configuration with its version.
type versionedConfiguration struct {
	Version       string          `json:"version"`
	Configuration json.RawMessage `json:"configuration"`
}

// check validates the configuration or patch in a file and returns the exit code and the report.
func (c *checker) check(path string) (int, report) {
	var text []byte
	var err error
	if path == "-" {
		text, err = io.ReadAll(os.Stdin)
	} else {
		text, err = os.ReadFile(path)
	}
	if err == nil && fastjson.ValidateBytes(text) != nil {
		err = errors.New(config.SyntaxDetail(text))
	}
	if err != nil {
		return exitMalformed, report{Result: "malformed", Detail: err.Error(),
			Diagnostics: []config.Diagnostic{{Level: config.LevelError, Error: *failure.At(failure.Malformed, "/", err.Error())}}}
	}
	var before versionedConfiguration
	var fleet fleetStatus
	if err := c.read("/v1/configuration", &before); err != nil {
		return exitUnreachable, report{Result: "unreachable", Detail: err.Error()}
	}
	if err := c.read("/v1/status", &fleet); err != nil {
		return exitUnreachable, report{Result: "unreachable", Detail: err.Error()}
	}
	if c.asPatch {
		if text, err = config.Merge(before.Configuration, text); err != nil {
			return exitMalformed, report{Result: "malformed", Detail: err.Error(), Version: before.Version}
		}
	}
	inForce, _ := config.Check(before.Configuration)
	result := report{Result: "fine", Version: before.Version, Diagnostics: config.ValidateAgainst(text, inForce, c.fleetState(fleet))}
	// The report is valid only if the configuration that it was compared with is still in force.
	var after versionedConfiguration
	if err := c.read("/v1/configuration", &after); err != nil {
		return exitUnreachable, report{Result: "unreachable", Detail: err.Error()}
	}
	if after.Version != before.Version || (c.expected != "" && c.expected != after.Version) {
		result.Result, result.Detail = "raced", "the configuration in force is "+after.Version
		return exitRaced, result
	}
	for _, diagnostic := range result.Diagnostics {
		if diagnostic.Level == config.LevelError {
			result.Result = "errors"
			return exitErrors, result
		}
	}
	if len(result.Diagnostics) > 0 {
		result.Result = "warnings"
		return exitWarnings, result
	}
	return exitFine, result
}

// read sends a GET request to the controllers in order until one responds with status 200 and valid JSON, and
// decodes that response into target.
func (c *checker) read(path string, target any) error {
	var lastErr error = failure.New(failure.Unreachable, "no controller address was given")
	for _, address := range c.addresses {
		response, err := c.client.Get("http://" + address + path)
		if err != nil {
			lastErr = failure.Wrap(failure.Unreachable, err)
			continue
		}
		err = json.NewDecoder(response.Body).Decode(target)
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK && err == nil {
			return nil
		}
		lastErr = failure.New(failure.Unreachable, fmt.Sprintf(
			"%s responded with status %d, want status 200 and valid JSON", address, response.StatusCode))
	}
	return lastErr
}

// fleetState converts the fleet's status to the form that the validation needs, and reads the load of every listed
// server.
func (c *checker) fleetState(fleet fleetStatus) config.FleetState {
	var fleetState config.FleetState
	for name, member := range fleet.Members {
		if member.Kind != membership.Router {
			continue
		}
		fleetState.Routers++
		if member.Restricted {
			fleetState.Restricted = append(fleetState.Restricted, name)
		}
		if !member.Running {
			fleetState.Stopped = append(fleetState.Stopped, name)
		}
	}
	for _, flag := range fleet.Flags {
		if !flag.Enabled {
			fleetState.Blocked = append(fleetState.Blocked, string(flag.Name))
		}
	}
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	modelServers := modelserver.New(ctx, osruntime.New(ctx, osruntime.NewClock()), rpc.Transport(nil))
	fleetState.Servers = make([]config.ServerState, len(fleet.Servers))
	var polls sync.WaitGroup
	for position, server := range fleet.Servers {
		polls.Go(func() {
			state := config.ServerState{Name: server.Name, Zone: server.Zone, Leaving: server.Leaving}
			if load, err := modelServers.Load(ctx, server.Address); err == nil {
				state.Reported, state.Role, state.Active, state.Slots = true, string(load.Role), load.DecodeActive, load.DecodeSlots
				state.Leaving = state.Leaving || load.Leaving
			}
			fleetState.Servers[position] = state
		})
	}
	polls.Wait()
	return fleetState
}
