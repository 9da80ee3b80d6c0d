// Package settings reads the settings of one process from a JSON file and checks them. Package daemon
// can also set them from command-line flags, and package platform from the platform's settings file.
// Packages router and controller start processes with the checked settings.
package settings

import (
	"net/netip"
	"os"
	"reflect"
	"regexp"
	"slices"
	"strconv"
	"time"

	"github.com/valyala/fastjson"
	"go.uber.org/multierr"

	"seamloom.example/seamloom/internal/failure"
	"seamloom.example/seamloom/internal/features"
	"seamloom.example/seamloom/internal/membership"
	"seamloom.example/seamloom/internal/replication"
)

// Settings are the settings of one process. Those listed in reloadable can change while the
// process runs; all others need a restart. The comment of each field contains the setting's
// key in the file in parentheses, its effect, and its default if it has one.
type Settings struct {
	// Kind is the kind of the process. The program sets it; the file has no key for it.
	Kind membership.NodeKind
	// Name (name) is the node's unique name, of at most 64 characters.
	Name string
	// Address (address) is the IP address and port at which other nodes reach the process.
	Address string
	// Zone (district) is the zone in which the process runs.
	Zone string
	// Seeds (seeds) are the addresses of the first controllers: three to form a core,
	// one to three to join a core.
	Seeds []string
	// Neighbours (neighbours) are addresses of other processes that may know the core, such as another
	// process on the same machine; none by default. The process asks them for the core when no seed
	// knows the core. Neighbours do not count as seeds.
	Neighbours []string
	// Platform (platform) is the address of the platform, which provides the lists of servers and nodes.
	Platform string
	// DataFolder (data_folder) is the folder in which a controller stores its files; other kinds have none.
	DataFolder string
	// EarlierDataFolders (earlier_data_folders) are the folders in which earlier releases stored a
	// controller's files; none by default. A controller whose DataFolder contains no data moves the
	// data from there when it starts.
	EarlierDataFolders []string
	// LogLevel (log_level) is debug, info, warn or error; default info.
	LogLevel string
	// Market (market) is how a router chooses servers: pair (the auction of package auction) or
	// least_loaded, for comparison; default pair.
	Market string
	// MaxRequests (most_inquiries) limits a router's requests in flight; default 512.
	MaxRequests int
	// FlagSettleMilliseconds (flag_settle_milliseconds) is how long the members must
	// stay unchanged before a feature flag is enabled; default 5000.
	FlagSettleMilliseconds int
	// MaxMemoryMegabytes (most_memory_megabytes) is how much memory the process may use;
	// zero, the default: no limit.
	MaxMemoryMegabytes int
	// ToleratedLosses (borne_losses) is how many machines with a disk may be lost at
	// once: 1, 2 or 3; default 1.
	ToleratedLosses int
	// WithheldFlags (withhold_flags) are feature flags that this process reports as
	// unsupported; for tests.
	WithheldFlags []string
	// Detours (detours) map an address to the address that is dialled instead of it; tests use
	// them to put faulty relays between nodes.
	Detours map[string]string
	// Bootstrap (bootstrap) allows a controller with a blank disk to form the first core with
	// the other seeds; default true. If false, it only joins an existing core.
	Bootstrap bool
	// AcknowledgeWait (acknowledge_wait) is how long a committed change waits for unresponsive
	// routers; zero, the default: until their leases have expired.
	AcknowledgeWait time.Duration
	// ServeWithoutLease (serve_without_hold) is how long a router continues to admit requests
	// after its last lease has expired; zero, the default: not at all.
	ServeWithoutLease time.Duration
	// CallsAddress (calls_address), ReadyAddress (ready_address) and ControlAddress
	// (control_address) are additional addresses to listen on. A router has the first two, for
	// opaque calls and for readiness checks; a controller or redirector has the third, for
	// operators. Empty, the default: the process does not listen on the additional address.
	CallsAddress   string
	ReadyAddress   string
	ControlAddress string
	// RetireAfter (retire_after) is how long a member may be unresponsive before it is removed
	// from the list of members; zero, the default: only operators remove members.
	RetireAfter time.Duration
	// ApplyWithin (apply_within) is the maximum time between the acknowledgement of a change
	// and its application on a router that can reach the core. This limits how long a router
	// relies on a primary that does not respond. Default 2s, at least 500ms.
	ApplyWithin time.Duration
	// CatchUp (catch_up) is how long a lost machine with a disk still counts as lost after it
	// has returned or its replacement has started. The core's timeouts are derived from it.
	// Default replication.DefaultCatchUp, at least 500ms.
	CatchUp time.Duration
	// Grace (grace) is how long requests in flight may continue after the process was asked to
	// terminate; default DefaultGrace.
	Grace time.Duration
}

// DefaultGrace is the default of Settings.Grace.
const DefaultGrace = 20 * time.Second

// defaultApplyWithin is the maximum that seamloom's requirements allow. minApplyWithin leaves
// time for one request and its response.
const (
	defaultApplyWithin = 2 * time.Second
	minApplyWithin     = 500 * time.Millisecond
)

// minCatchUp is the smallest value that is accepted for Settings.CatchUp. This value does not guarantee
// that a core is complete again before a second loss: a lease and an election together already take
// longer, so that replication.Timing.Margin is negative.
const minCatchUp = 500 * time.Millisecond

// Defaults returns the settings that apply where neither the file nor the flags set a value.
func Defaults(kind membership.NodeKind) Settings {
	return Settings{
		Kind:                   kind,
		LogLevel:               "info",
		Market:                 "pair",
		MaxRequests:            512,
		FlagSettleMilliseconds: 5000,
		ToleratedLosses:        1,
		Bootstrap:              true,
		CatchUp:                replication.DefaultCatchUp,
		ApplyWithin:            defaultApplyWithin,
		Grace:                  DefaultGrace,
	}
}

// ReadFile replaces the settings that a JSON file sets. Its error contains all errors in the file.
func (s *Settings) ReadFile(path string) error {
	text, err := os.ReadFile(path)
	if err != nil {
		return failure.At(failure.Missing, "settings file", err.Error())
	}
	root, err := fastjson.ParseBytes(text)
	if err != nil {
		return failure.At(failure.Malformed, path, err.Error())
	}
	object, err := root.Object()
	if err != nil {
		return failure.At(failure.WrongType, path, "must be an object")
	}
	var errs error
	object.Visit(func(key []byte, value *fastjson.Value) {
		errs = multierr.Append(errs, s.readField(string(key), value))
	})
	return errs
}

// readField sets the field that belongs to a key of the file.
func (s *Settings) readField(name string, value *fastjson.Value) error {
	switch target := s.fields()[name].(type) {
	case *string:
		return readText(target, name, value)
	case *int:
		return readNumber(target, name, value)
	case *time.Duration:
		return readDuration(target, name, value)
	case *bool:
		return readBoolean(target, name, value)
	case *[]string:
		return readTexts(target, name, value)
	case *map[string]string:
		return readAddresses(target, name, value)
	}
	return failure.At(failure.UnknownField, name, "no such setting")
}

// fields returns pointers to the fields, by their keys in the file.
func (s *Settings) fields() map[string]any {
	return map[string]any{
		"name":                     &s.Name,
		"address":                  &s.Address,
		"district":                 &s.Zone,
		"seeds":                    &s.Seeds,
		"neighbours":               &s.Neighbours,
		"platform":                 &s.Platform,
		"data_folder":              &s.DataFolder,
		"earlier_data_folders":     &s.EarlierDataFolders,
		"log_level":                &s.LogLevel,
		"market":                   &s.Market,
		"most_inquiries":           &s.MaxRequests,
		"flag_settle_milliseconds": &s.FlagSettleMilliseconds,
		"most_memory_megabytes":    &s.MaxMemoryMegabytes,
		"borne_losses":             &s.ToleratedLosses,
		"withhold_flags":           &s.WithheldFlags,
		"detours":                  &s.Detours,
		"bootstrap":                &s.Bootstrap,
		"acknowledge_wait":         &s.AcknowledgeWait,
		"serve_without_hold":       &s.ServeWithoutLease,
		"calls_address":            &s.CallsAddress,
		"ready_address":            &s.ReadyAddress,
		"control_address":          &s.ControlAddress,
		"retire_after":             &s.RetireAfter,
		"apply_within":             &s.ApplyWithin,
		"catch_up":                 &s.CatchUp,
		"grace":                    &s.Grace,
	}
}

func readText(target *string, name string, value *fastjson.Value) error {
	text, err := value.StringBytes()
	if err != nil {
		return failure.At(failure.WrongType, name, "must be a string")
	}
	*target = string(text)
	return nil
}

func readNumber(target *int, name string, value *fastjson.Value) error {
	number, err := value.Int()
	if err != nil {
		return failure.At(failure.WrongType, name, "must be an integer")
	}
	*target = number
	return nil
}

func readDuration(target *time.Duration, name string, value *fastjson.Value) error {
	text, err := value.StringBytes()
	if err != nil {
		return failure.At(failure.WrongType, name, "must be a string such as 1s or 250ms")
	}
	duration, err := time.ParseDuration(string(text))
	if err != nil {
		return failure.At(failure.Malformed, name, "must be a duration such as 1s or 250ms, not \""+string(text)+"\"")
	}
	*target = duration
	return nil
}

func readBoolean(target *bool, name string, value *fastjson.Value) error {
	enabled, err := value.Bool()
	if err != nil {
		return failure.At(failure.WrongType, name, "must be true or false")
	}
	*target = enabled
	return nil
}

func readTexts(target *[]string, name string, value *fastjson.Value) error {
	entries, err := value.Array()
	if err != nil {
		return failure.At(failure.WrongType, name, "must be a list of strings")
	}
	*target = nil
	for i, entry := range entries {
		text, err := entry.StringBytes()
		if err != nil {
			return failure.At(failure.WrongType, name+"/"+strconv.Itoa(i), "must be a string")
		}
		*target = append(*target, string(text))
	}
	return nil
}

func readAddresses(target *map[string]string, name string, value *fastjson.Value) error {
	object, err := value.Object()
	if err != nil {
		return failure.At(failure.WrongType, name, "must be an object")
	}
	addresses := map[string]string{}
	*target = addresses
	var errs error
	object.Visit(func(key []byte, value *fastjson.Value) {
		text, err := value.StringBytes()
		if err != nil {
			errs = multierr.Append(errs, failure.At(failure.WrongType, name+"/"+string(key), "must be an address"))
			return
		}
		addresses[string(key)] = string(text)
	})
	return errs
}

// namePattern matches the names of nodes and zones.
var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$`)

// errorReporter records an error in a setting; path is the setting's key in the file.
type errorReporter func(code failure.Code, path, detail string)

// Check returns an error that contains all errors in the settings. Each is a *failure.Error with the key
// of its setting and the code Missing, Malformed, OutOfRange or Contradictory.
func (s *Settings) Check() error {
	var errs error
	report := func(code failure.Code, path, detail string) {
		errs = multierr.Append(errs, failure.At(code, path, detail))
	}
	for path, name := range map[string]string{"name": s.Name, "district": s.Zone} {
		if !namePattern.MatchString(name) {
			report(failure.Missing, path,
				"must be a name of at most 64 letters, digits, dots, dashes and underscores that begins with a letter or a digit")
		}
	}
	addresses := map[string]string{"address": s.Address, "platform": s.Platform}
	s.checkSeeds(addresses, report)
	for i, neighbour := range s.Neighbours {
		addresses["neighbours/"+strconv.Itoa(i)] = neighbour
	}
	s.checkListeners(addresses, report)
	s.checkDurations(report)
	checkAddresses(addresses, report)
	s.checkLogLevel(report)
	s.checkKind(report)
	s.checkBounds(report)
	return errs
}

// checkSeeds checks that the seeds are distinct and that their number is allowed, and adds them to addresses.
func (s *Settings) checkSeeds(addresses map[string]string, report errorReporter) {
	seen := map[string]bool{}
	for i, seed := range s.Seeds {
		addresses["seeds/"+strconv.Itoa(i)] = seed
		if seen[seed] {
			report(failure.Contradictory, "seeds/"+strconv.Itoa(i), "the seed "+seed+" is listed twice")
		}
		seen[seed] = true
	}
	switch count := len(s.Seeds); {
	case s.Bootstrap && count != 3:
		report(failure.OutOfRange, "seeds", "must contain three seeds, not "+strconv.Itoa(count))
	case count < 1 || count > 3:
		report(failure.OutOfRange, "seeds", "must contain one to three seeds, not "+strconv.Itoa(count))
	}
}

// checkAddresses checks that each address is an IP address and a port. The keys of the map are the settings' keys
// in the file.
func checkAddresses(addresses map[string]string, report errorReporter) {
	for path, address := range addresses {
		if parsed, err := netip.ParseAddrPort(address); err != nil || parsed.Port() == 0 {
			report(failure.Malformed, path, "must be an IP address and a port, such as 127.0.0.1:7101, not \""+address+"\"")
		}
	}
}

func (s *Settings) checkLogLevel(report errorReporter) {
	switch s.LogLevel {
	case "debug", "info", "warn", "error":
	default:
		report(failure.OutOfRange, "log_level", "must be debug, info, warn or error, not \""+s.LogLevel+"\"")
	}
}

// checkKind checks the settings that exist only for some kinds of process.
func (s *Settings) checkKind(report errorReporter) {
	if s.Kind == membership.Controller && s.DataFolder == "" {
		report(failure.Missing, "data_folder", "a controller needs a data folder")
	}
	if s.Kind != membership.Controller && s.DataFolder != "" {
		report(failure.Contradictory, "data_folder", "a "+string(s.Kind)+" has no data folder")
	}
	if s.Kind == membership.Router {
		if s.Market != "pair" && s.Market != "least_loaded" {
			report(failure.OutOfRange, "market", "must be pair or least_loaded, not \""+s.Market+"\"")
		}
		if s.MaxRequests < 1 {
			report(failure.OutOfRange, "most_inquiries", "must be at least 1")
		}
	}
}

// checkBounds checks the settings that have a minimum or a maximum, and that this build knows the withheld flags.
func (s *Settings) checkBounds(report errorReporter) {
	if s.FlagSettleMilliseconds < 0 {
		report(failure.OutOfRange, "flag_settle_milliseconds", "must not be negative")
	}
	if s.MaxMemoryMegabytes < 0 {
		report(failure.OutOfRange, "most_memory_megabytes", "must not be negative")
	}
	if s.ToleratedLosses < 1 || s.ToleratedLosses > 3 {
		report(failure.OutOfRange, "borne_losses", "must be 1, 2 or 3")
	}
	if s.ApplyWithin < minApplyWithin {
		report(failure.OutOfRange, "apply_within", "must be at least "+minApplyWithin.String())
	}
	if s.CatchUp < minCatchUp {
		report(failure.OutOfRange, "catch_up", "must be at least "+minCatchUp.String())
	}
	for position, flag := range s.WithheldFlags {
		if !features.Supported(nil).Has(features.Flag(flag)) {
			report(failure.OutOfRange, "withhold_flags/"+strconv.Itoa(position), "this build does not know the flag "+flag)
		}
	}
}

// checkDurations checks the durations that may be zero but not negative.
func (s *Settings) checkDurations(report errorReporter) {
	for path, duration := range map[string]time.Duration{
		"acknowledge_wait":   s.AcknowledgeWait,
		"serve_without_hold": s.ServeWithoutLease,
		"grace":              s.Grace,
		"retire_after":       s.RetireAfter,
	} {
		if duration < 0 {
			report(failure.OutOfRange, path, "must not be negative")
		}
	}
}

// checkListeners checks that the additional addresses to listen on differ from each other and are valid for
// the kind of process, and adds them to addresses.
func (s *Settings) checkListeners(addresses map[string]string, report errorReporter) {
	taken := map[string]string{s.Address: "address"}
	for _, listener := range []struct {
		path, address string
		kind          membership.NodeKind
	}{
		{"calls_address", s.CallsAddress, membership.Router},
		{"ready_address", s.ReadyAddress, membership.Router},
		{"control_address", s.ControlAddress, membership.Controller},
	} {
		if listener.address == "" {
			continue
		}
		addresses[listener.path] = listener.address
		if other, found := taken[listener.address]; found {
			report(failure.Contradictory, listener.path, "must differ from "+other)
		}
		taken[listener.address] = listener.path
		if s.Kind != listener.kind && !(s.Kind == membership.Redirector && listener.kind == membership.Controller) {
			report(failure.Contradictory, listener.path, "is only valid for the kind "+string(listener.kind))
		}
	}
}

// Supported returns the feature flags that this build supports, without those in WithheldFlags.
func (s *Settings) Supported() features.List {
	var withheld features.List
	for _, flag := range s.WithheldFlags {
		withheld = append(withheld, features.Flag(flag))
	}
	return features.Supported(withheld)
}

// reloadable lists the fields that can change while the process runs.
var reloadable = []string{"Seeds", "Platform", "LogLevel", "AcknowledgeWait", "ServeWithoutLease", "Grace"}

// Reload copies the reloadable fields from next. It returns the names of the other fields whose
// values differ in next; those changes need a restart.
func (s *Settings) Reload(next Settings) []string {
	var needRestart []string
	current, changed := reflect.ValueOf(s).Elem(), reflect.ValueOf(next)
	for i := range current.NumField() {
		name := current.Type().Field(i).Name
		if reflect.DeepEqual(current.Field(i).Interface(), changed.Field(i).Interface()) {
			continue
		}
		if slices.Contains(reloadable, name) {
			current.Field(i).Set(changed.Field(i))
		} else {
			needRestart = append(needRestart, name)
		}
	}
	return needRestart
}
