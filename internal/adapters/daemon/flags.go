// Package daemon contains the code that the commands of all node kinds share: reading settings from a file and
// from command-line flags, logging in JSON, handling signals, limiting memory and serving HTTP.
package daemon

import (
	"io"
	"strings"
	"time"

	"github.com/charmbracelet/log"
	"github.com/spf13/cobra"
	"github.com/spf13/pflag"
	"go.uber.org/multierr"

	"seamloom.example/seamloom/internal/adapters/settings"
	"seamloom.example/seamloom/internal/failure"
	"seamloom.example/seamloom/internal/membership"
)

// Flags holds the command-line flags of one command by which settings are set, and their values.
type Flags struct {
	kind    membership.NodeKind
	command *cobra.Command
	file    string
	values  settings.Settings
	// seeds and withheld are comma-separated lists.
	seeds    string
	withheld string
}

// AddFlags adds the settings flags for a kind of node to a command.
func AddFlags(command *cobra.Command, kind membership.NodeKind) *Flags {
	flags := &Flags{kind: kind, command: command}
	defaults := settings.Defaults(kind)
	set := command.Flags()
	set.StringVar(&flags.file, "settings", "", "settings file (JSON); flags override its values")
	set.StringVar(&flags.values.Name, "name", "", "unique name of this node")
	set.StringVar(&flags.values.Address, "address", "", "IP address and port to listen on, such as 127.0.0.1:7101")
	set.StringVar(&flags.values.Zone, "district", "", "zone in which this node runs")
	set.StringVar(&flags.seeds, "seeds", "",
		"comma-separated addresses of the first controllers: three to form a core, one to three to join one")
	set.StringVar(&flags.values.Platform, "platform", "", "address of the platform that provides the lists of servers and nodes")
	set.StringVar(&flags.values.LogLevel, "log-level", defaults.LogLevel, "debug, info, warn or error")
	set.StringVar(&flags.withheld, "withhold-flags", "",
		"for tests: comma-separated feature flags that this node reports as unsupported")
	set.IntVar(&flags.values.MaxMemoryMegabytes, "most-memory-megabytes", 0,
		"memory that the process may use, in megabytes; 0: no limit")
	set.DurationVar(&flags.values.Grace, "grace", defaults.Grace, "how long running requests may continue after SIGTERM")
	set.SetNormalizeFunc(func(_ *pflag.FlagSet, name string) pflag.NormalizedName {
		if name == "drain" {
			// The first releases called this flag drain.
			name = "grace"
		}
		return pflag.NormalizedName(name)
	})
	if kind == membership.Controller {
		set.BoolVar(&flags.values.Bootstrap, "bootstrap", defaults.Bootstrap,
			"whether a controller with an empty disk may form the first core with the other seeds")
		set.DurationVar(&flags.values.AcknowledgeWait, "acknowledge-wait", defaults.AcknowledgeWait,
			"how long a committed change waits for unresponsive routers; 0: until their leases expire")
		set.DurationVar(&flags.values.CatchUp, "catch-up", defaults.CatchUp,
			"how long a lost machine with a disk still counts as lost after it has returned; the core's timeouts are derived from this value")
		set.DurationVar(&flags.values.RetireAfter, "retire-after", defaults.RetireAfter,
			"how long a node may be unresponsive before it is removed from the list of members; 0: only operators remove nodes")
		set.StringVar(&flags.values.ControlAddress, "control-address", "", "additional address to listen on for operators")
		set.StringVar(&flags.values.DataFolder, "data-folder", "", "folder in which all files are stored")
		set.IntVar(&flags.values.ToleratedLosses, "borne-losses", defaults.ToleratedLosses,
			"number of machines with a disk that may be lost at the same time")
		set.IntVar(&flags.values.FlagSettleMilliseconds, "flag-settle-milliseconds", defaults.FlagSettleMilliseconds,
			"how long the members must stay unchanged before a feature flag is enabled")
	} else {
		set.DurationVar(&flags.values.ApplyWithin, "apply-within", defaults.ApplyWithin,
			"maximum time between the acknowledgement of a change and its application on this router")
		set.DurationVar(&flags.values.ServeWithoutLease, "serve-without-hold", defaults.ServeWithoutLease,
			"how long the router continues to admit requests after its last lease expired")
		set.StringVar(&flags.values.CallsAddress, "calls-address", "", "additional address to listen on for opaque calls")
		set.StringVar(&flags.values.ReadyAddress, "ready-address", "", "additional address to listen on for readiness checks")
		set.StringVar(&flags.values.Market, "market", defaults.Market,
			"how servers are chosen: pair (the auction), or least_loaded for comparison")
		set.IntVar(&flags.values.MaxRequests, "most-inquiries", defaults.MaxRequests, "maximum number of requests in flight")
	}
	return flags
}

// File returns the path of the settings file, or the empty string if the flags name none.
func (f *Flags) File() string { return f.file }

// Read returns the settings of the file, overridden by the flags that were set. The error
// combines all errors in the file and in the resulting settings.
func (f *Flags) Read() (settings.Settings, error) {
	result := settings.Defaults(f.kind)
	var errs error
	if f.file != "" {
		errs = result.ReadFile(f.file)
	}
	changed := f.command.Flags().Changed
	textSettings := map[string][2]*string{"name": {&result.Name, &f.values.Name}, "address": {&result.Address, &f.values.Address},
		"district": {&result.Zone, &f.values.Zone}, "platform": {&result.Platform, &f.values.Platform},
		"log-level": {&result.LogLevel, &f.values.LogLevel}, "data-folder": {&result.DataFolder, &f.values.DataFolder},
		"market": {&result.Market, &f.values.Market}, "calls-address": {&result.CallsAddress, &f.values.CallsAddress},
		"ready-address": {&result.ReadyAddress, &f.values.ReadyAddress}, "control-address": {&result.ControlAddress, &f.values.ControlAddress}}
	for name, pair := range textSettings {
		if changed(name) {
			*pair[0] = *pair[1]
		}
	}
	durationSettings := map[string][2]*time.Duration{"acknowledge-wait": {&result.AcknowledgeWait, &f.values.AcknowledgeWait},
		"serve-without-hold": {&result.ServeWithoutLease, &f.values.ServeWithoutLease}, "grace": {&result.Grace, &f.values.Grace},
		"retire-after": {&result.RetireAfter, &f.values.RetireAfter}, "catch-up": {&result.CatchUp, &f.values.CatchUp},
		"apply-within": {&result.ApplyWithin, &f.values.ApplyWithin}}
	for name, pair := range durationSettings {
		if changed(name) {
			*pair[0] = *pair[1]
		}
	}
	if changed("bootstrap") {
		result.Bootstrap = f.values.Bootstrap
	}
	if changed("most-inquiries") {
		result.MaxRequests = f.values.MaxRequests
	}
	if changed("most-memory-megabytes") {
		result.MaxMemoryMegabytes = f.values.MaxMemoryMegabytes
	}
	if changed("borne-losses") {
		result.ToleratedLosses = f.values.ToleratedLosses
	}
	if changed("flag-settle-milliseconds") {
		result.FlagSettleMilliseconds = f.values.FlagSettleMilliseconds
	}
	if changed("seeds") {
		result.Seeds = strings.Split(f.seeds, ",")
	}
	if changed("withhold-flags") {
		result.WithheldFlags = strings.Split(f.withheld, ",")
	}
	return result, multierr.Append(errs, result.Check())
}

// Logger returns a logger that writes JSON lines with the name of the node to target. A level that cannot
// be parsed means info.
func Logger(target io.Writer, level, node string) *log.Logger {
	parsed, err := log.ParseLevel(level)
	if err != nil {
		parsed = log.InfoLevel
	}
	logger := log.NewWithOptions(target, log.Options{Formatter: log.JSONFormatter, ReportTimestamp: true, Level: parsed,
		TimeFormat: "2006-01-02T15:04:05.000Z07:00"})
	return logger.With("node", node)
}

// PrintErrors writes each error of a combined error on its own line.
func PrintErrors(target io.Writer, errs error) {
	for _, err := range multierr.Errors(errs) {
		_, _ = io.WriteString(target, err.Error()+"\n")
	}
}

// ExitCode returns the exit code of a program that failed to start: 1 for failures of the environment,
// such as an address in use or a failing disk, and 2 for invalid arguments and settings.
func ExitCode(err error) int {
	switch failure.CodeOf(err) {
	case failure.Disk, failure.Unreachable, failure.Damaged:
		return 1
	}
	return 2
}
