// Command configcheck checks a proposed configuration against the fleet as it is.
// It changes nothing.
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

// The exit codes, for scripts.
const (
	fine        = 0
	failures    = 1
	wrongUse    = 2
	malformed   = 3
	unreachable = 4
	raced       = 5
	warnings    = 10
)

// report is what configcheck prints.
type report struct {
	Result  string              `json:"result"`
	Version string              `json:"checked_against,omitempty"`
	Remarks []config.Diagnostic `json:"remarks"`
	Detail  string              `json:"detail,omitempty"`
}

type checker struct {
	addresses []string
	asPatch   bool
	asJSON    bool
	expected  string
	client    *http.Client
}

func main() {
	t := &checker{client: &http.Client{Timeout: 5 * time.Second}}
	var to string
	code := fine
	root := &cobra.Command{Use: "configcheck FILE", Short: "check a proposed configuration against the fleet as it is", Args: cobra.ExactArgs(1), SilenceUsage: true, SilenceErrors: true,
		Long: "configcheck reads a whole configuration (or, with --patch, a partial one) from FILE or, with -, from standard input,\n" +
			"and checks it against the fleet: its servers and zones, the room that evacuations leave, and its members' formats.\n" +
			"Nothing is changed.\n\n" +
			"Exit codes: 0 fine, 1 errors, 2 wrong use, 3 malformed input, 4 the fleet can't be reached,\n" +
			"5 the configuration in force changed meanwhile, 10 warnings only.",
		Example: "  configcheck proposed.json --to 127.0.0.1:7101,127.0.0.1:7102\n  configcheck --patch change.json --expected 4.17 --json --to 127.0.0.1:7101",
		RunE: func(_ *cobra.Command, arguments []string) error {
			t.addresses = strings.Split(to, ",")
			var result report
			code, result = t.check(arguments[0])
			t.print(result)
			return nil
		}}
	root.Flags().StringVar(&to, "to", "127.0.0.1:7101", "addresses of expediters, with commas between")
	root.Flags().BoolVar(&t.asPatch, "patch", false, "FILE is a merge patch (RFC 7396) for the configuration in force")
	root.Flags().BoolVar(&t.asJSON, "json", false, "print JSON")
	root.Flags().StringVar(&t.expected, "expected", "", "the version that the proposal was written for")
	if err := root.Execute(); err != nil {
		_, _ = fmt.Fprintln(os.Stderr, "taster:", err)
		os.Exit(wrongUse)
	}
	os.Exit(code)
}

func (t *checker) print(result report) {
	if t.asJSON {
		if result.Remarks == nil {
			result.Remarks = []config.Diagnostic{}
		}
		encoded, _ := json.MarshalIndent(result, "", "  ")
		fmt.Println(string(encoded))
		return
	}
	for _, remark := range result.Remarks {
		fmt.Printf("%-8s %s\n", remark.Level, remark.Error.Error())
	}
	fmt.Println(strings.TrimSpace(result.Result + " " + result.Detail))
}

// status is the part of a controller's status that a tasting needs.
type status struct {
	Configuration string              `json:"configuration_version"`
	Servers       []membership.Server `json:"servers"`
	Members       map[string]struct {
		Kind       membership.NodeKind `json:"kind"`
		Running    bool                `json:"running"`
		Restricted bool                `json:"restricted"`
	} `json:"members"`
	Flags []struct {
		Name    features.Flag `json:"name"`
		Enabled bool          `json:"enabled"`
	} `json:"flags"`
}

type current struct {
	Version       string          `json:"version"`
	Configuration json.RawMessage `json:"configuration"`
}

func (t *checker) check(path string) (int, report) {
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
		return malformed, report{Result: "malformed", Detail: err.Error(), Remarks: []config.Diagnostic{{Level: config.LevelError, Error: *failure.At(failure.Malformed, "/", err.Error())}}}
	}
	var before current
	var fleet status
	if err := t.read("/v1/configuration", &before); err != nil {
		return unreachable, report{Result: "unreachable", Detail: err.Error()}
	}
	if err := t.read("/v1/status", &fleet); err != nil {
		return unreachable, report{Result: "unreachable", Detail: err.Error()}
	}
	if t.asPatch {
		if text, err = config.Merge(before.Configuration, text); err != nil {
			return malformed, report{Result: "malformed", Detail: err.Error(), Version: before.Version}
		}
	}
	inForce, _ := config.Check(before.Configuration)
	result := report{Result: "fine", Version: before.Version, Remarks: config.ValidateAgainst(text, inForce, t.facts(fleet))}
	// What was checked against must still be in force when the answer is given.
	var after current
	if err := t.read("/v1/configuration", &after); err != nil {
		return unreachable, report{Result: "unreachable", Detail: err.Error()}
	}
	if after.Version != before.Version || (t.expected != "" && t.expected != after.Version) {
		result.Result, result.Detail = "raced", "the configuration in force is "+after.Version
		return raced, result
	}
	for _, remark := range result.Remarks {
		if remark.Level == config.LevelError {
			result.Result = "errors"
			return failures, result
		}
	}
	if len(result.Remarks) > 0 {
		result.Result = "warnings"
		return warnings, result
	}
	return fine, result
}

func (t *checker) read(path string, target any) error {
	var last error = failure.New(failure.Unreachable, "no address")
	for _, address := range t.addresses {
		inbound, err := t.client.Get("http://" + address + path)
		if err != nil {
			last = failure.Wrap(failure.Unreachable, err)
			continue
		}
		err = json.NewDecoder(inbound.Body).Decode(target)
		_ = inbound.Body.Close()
		if inbound.StatusCode == http.StatusOK && err == nil {
			return nil
		}
		last = failure.New(failure.Unreachable, fmt.Sprintf("%s answers %d", address, inbound.StatusCode))
	}
	return last
}

// facts asks every listed server for its pressure.
func (t *checker) facts(fleet status) config.FleetState {
	var facts config.FleetState
	for name, member := range fleet.Members {
		if member.Kind != membership.Router {
			continue
		}
		facts.Routers++
		if member.Restricted {
			facts.Restricted = append(facts.Restricted, name)
		}
		if !member.Running {
			facts.Stopped = append(facts.Stopped, name)
		}
	}
	for _, flag := range fleet.Flags {
		if !flag.Enabled {
			facts.Blocked = append(facts.Blocked, string(flag.Name))
		}
	}
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	modelServers := modelserver.New(ctx, osruntime.New(ctx, osruntime.NewClock()), rpc.Transport(nil))
	facts.Servers = make([]config.ServerState, len(fleet.Servers))
	var asking sync.WaitGroup
	for position, server := range fleet.Servers {
		asking.Go(func() {
			known := config.ServerState{Name: server.Name, Zone: server.Zone, Leaving: server.Leaving}
			if load, err := modelServers.Load(ctx, server.Address); err == nil {
				known.Reported, known.Role, known.Active, known.Slots = true, string(load.Role), load.DecodeActive, load.DecodeSlots
				known.Leaving = known.Leaving || load.Leaving
			}
			facts.Servers[position] = known
		})
	}
	asking.Wait()
	return facts
}
