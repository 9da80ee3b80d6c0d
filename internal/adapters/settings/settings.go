// Package settings reads and checks the settings of the processes, from a file
// and from flags.
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

// Settings are what a process is told of its place.
type Settings struct {
	Kind         membership.NodeKind
	Name         string
	Address      string
	Zone         string
	Seeds        []string
	Platform     string
	DataFolder   string
	LogLevel     string
	Market       string
	MostRequests int
	FlagSettle   int
	// MostMemory is how many megabytes the process may take; zero: nobody said.
	MostMemory int
	// BorneLosses is how many machines with a disk may be lost at once.
	BorneLosses int
	Withhold    []string
	Detours     map[string]string
	// Bootstrap allows a blank controller to form a first core with the other seeds.
	// Where it is false there is a core already, and a blank disk only joins it.
	Bootstrap bool
	// AcknowledgeWait is how long a committed change waits for routers that are not
	// heard from; zero: for as long as their holds run.
	AcknowledgeWait time.Duration
	// ServeWithoutLease is how long a router goes on letting in after its last hold;
	// zero: not at all.
	ServeWithoutLease time.Duration
	// CallsAddress, ReadyAddress and ControlAddress are further addresses to listen
	// on: for opaque calls, for who asks whether the router is ready, and for
	// operators. An empty one means the process's own address only.
	CallsAddress   string
	ReadyAddress   string
	ControlAddress string
	// RetireAfter is how long a recorded node may not be heard from before it is taken
	// out of the record by itself; zero: only operators do so.
	RetireAfter time.Duration
	// ApplyWithin is how soon after its acknowledgement a change has to be in force at a
	// router that reaches the core: it bounds how long a silent primary is believed.
	ApplyWithin time.Duration
	// CatchUp is how long a machine with a disk counts as lost after its return or after
	// its successor's start: the waits of the core are derived from it.
	CatchUp time.Duration
	// Grace is how long what runs may go on after the process was told to end.
	Grace time.Duration
}

// DefaultGrace is the grace of a process that was told nothing else.
const DefaultGrace = 20 * time.Second

// defaultApplyWithin is the brief's two seconds; shortestApplyWithin leaves a question and
// its answer time to cross.
const (
	defaultApplyWithin  = 2 * time.Second
	shortestApplyWithin = 500 * time.Millisecond
)

// shortestCatchUp is the shortest bound that can be chosen: a lease and an election take
// most of a second each.
const shortestCatchUp = 500 * time.Millisecond

// Defaults are the settings before file and flags.
func Defaults(kind membership.NodeKind) Settings {
	return Settings{Kind: kind, LogLevel: "info", Market: "pair", MostRequests: 512, FlagSettle: 5000, BorneLosses: 1, Bootstrap: true, CatchUp: replication.DefaultCatchUp, ApplyWithin: defaultApplyWithin, Grace: DefaultGrace}
}

// ReadFile takes the settings of a JSON file over those given.
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
		return failure.At(failure.WrongType, path, "an object is needed")
	}
	var mistakes error
	object.Visit(func(key []byte, value *fastjson.Value) {
		mistakes = multierr.Append(mistakes, s.readField(string(key), value))
	})
	return mistakes
}

func (s *Settings) readField(name string, value *fastjson.Value) error {
	texts := map[string]*string{"name": &s.Name, "address": &s.Address, "district": &s.Zone,
		"platform": &s.Platform, "data_folder": &s.DataFolder, "log_level": &s.LogLevel, "market": &s.Market,
		"calls_address": &s.CallsAddress, "ready_address": &s.ReadyAddress, "control_address": &s.ControlAddress}
	lists := map[string]*[]string{"seeds": &s.Seeds, "withhold_flags": &s.Withhold}
	numbers := map[string]*int{"most_inquiries": &s.MostRequests, "flag_settle_milliseconds": &s.FlagSettle, "borne_losses": &s.BorneLosses,
		"most_memory_megabytes": &s.MostMemory}
	lengths := map[string]*time.Duration{"acknowledge_wait": &s.AcknowledgeWait, "serve_without_hold": &s.ServeWithoutLease, "grace": &s.Grace, "retire_after": &s.RetireAfter, "catch_up": &s.CatchUp, "apply_within": &s.ApplyWithin}
	if target, found := texts[name]; found {
		text, err := value.StringBytes()
		if err != nil {
			return failure.At(failure.WrongType, name, "a text is needed")
		}
		*target = string(text)
		return nil
	}
	if target, found := numbers[name]; found {
		number, err := value.Int()
		if err != nil {
			return failure.At(failure.WrongType, name, "a whole number is needed")
		}
		*target = number
		return nil
	}
	if target, found := lengths[name]; found {
		text, err := value.StringBytes()
		if err != nil {
			return failure.At(failure.WrongType, name, "a text such as 1s or 250ms is needed")
		}
		length, err := time.ParseDuration(string(text))
		if err != nil {
			return failure.At(failure.Malformed, name, "a length of time such as 1s or 250ms is needed, not \""+string(text)+"\"")
		}
		*target = length
		return nil
	}
	if name == "bootstrap" {
		chosen, err := value.Bool()
		if err != nil {
			return failure.At(failure.WrongType, name, "true or false is needed")
		}
		s.Bootstrap = chosen
		return nil
	}
	if target, found := lists[name]; found {
		entries, err := value.Array()
		if err != nil {
			return failure.At(failure.WrongType, name, "a list of texts is needed")
		}
		*target = nil
		for position, entry := range entries {
			text, err := entry.StringBytes()
			if err != nil {
				return failure.At(failure.WrongType, name+"/"+strconv.Itoa(position), "a text is needed")
			}
			*target = append(*target, string(text))
		}
		return nil
	}
	if name == "detours" {
		object, err := value.Object()
		if err != nil {
			return failure.At(failure.WrongType, name, "an object is needed")
		}
		s.Detours = map[string]string{}
		var mistakes error
		object.Visit(func(key []byte, value *fastjson.Value) {
			text, err := value.StringBytes()
			if err != nil {
				mistakes = multierr.Append(mistakes, failure.At(failure.WrongType, name+"/"+string(key), "an address is needed"))
				return
			}
			s.Detours[string(key)] = string(text)
		})
		return mistakes
	}
	return failure.At(failure.UnknownField, name, "no such setting")
}

var nameShape = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$`)

// Check names all mistakes at once.
func (s *Settings) Check() error {
	var mistakes error
	wrong := func(kind failure.Code, path, detail string) {
		mistakes = multierr.Append(mistakes, failure.At(kind, path, detail))
	}
	for path, name := range map[string]string{"name": s.Name, "district": s.Zone} {
		if !nameShape.MatchString(name) {
			wrong(failure.Missing, path, "needs a name of letters, digits, dots, dashes and underscores, 64 at most")
		}
	}
	addresses := map[string]string{"address": s.Address, "platform": s.Platform}
	seen := map[string]bool{}
	for position, seed := range s.Seeds {
		addresses["seeds/"+strconv.Itoa(position)] = seed
		if seen[seed] {
			wrong(failure.Contradictory, "seeds/"+strconv.Itoa(position), "the seed "+seed+" stands twice")
		}
		seen[seed] = true
	}
	switch count := len(s.Seeds); {
	case s.Bootstrap && count != 3:
		wrong(failure.OutOfRange, "seeds", "three seeds are needed, there are "+strconv.Itoa(count))
	case count < 1 || count > 3:
		wrong(failure.OutOfRange, "seeds", "one to three seeds are needed, there are "+strconv.Itoa(count))
	}
	s.checkFurther(addresses, wrong)
	for path, address := range addresses {
		if parsed, err := netip.ParseAddrPort(address); err != nil || parsed.Port() == 0 {
			wrong(failure.Malformed, path, "needs an IP number and a port, such as 127.0.0.1:7101, not \""+address+"\"")
		}
	}
	switch s.LogLevel {
	case "debug", "info", "warn", "error":
	default:
		wrong(failure.OutOfRange, "log_level", "is debug, info, warn or error, not \""+s.LogLevel+"\"")
	}
	if s.Kind == membership.Controller && s.DataFolder == "" {
		wrong(failure.Missing, "data_folder", "an expediter keeps files")
	}
	if s.Kind != membership.Controller && s.DataFolder != "" {
		wrong(failure.Contradictory, "data_folder", "a "+string(s.Kind)+" keeps no files")
	}
	if s.Kind == membership.Router {
		if s.Market != "pair" && s.Market != "least_loaded" {
			wrong(failure.OutOfRange, "market", "is pair or least_loaded, not \""+s.Market+"\"")
		}
		if s.MostRequests < 1 {
			wrong(failure.OutOfRange, "most_inquiries", "must be at least 1")
		}
	}
	if s.FlagSettle < 0 {
		wrong(failure.OutOfRange, "flag_settle_milliseconds", "must not be negative")
	}
	if s.MostMemory < 0 {
		wrong(failure.OutOfRange, "most_memory_megabytes", "must not be negative")
	}
	if s.BorneLosses < 1 || s.BorneLosses > 3 {
		wrong(failure.OutOfRange, "borne_losses", "is 1, 2 or 3")
	}
	if s.ApplyWithin < shortestApplyWithin {
		wrong(failure.OutOfRange, "apply_within", "must be at least "+shortestApplyWithin.String())
	}
	if s.CatchUp < shortestCatchUp {
		wrong(failure.OutOfRange, "catch_up", "must be at least "+shortestCatchUp.String())
	}
	for position, flag := range s.Withhold {
		if !features.Supported(nil).Has(features.Flag(flag)) {
			wrong(failure.OutOfRange, "withhold_flags/"+strconv.Itoa(position), "this build has no flag "+flag)
		}
	}
	return mistakes
}

// checkFurther checks the further addresses and the lengths of time.
func (s *Settings) checkFurther(addresses map[string]string, wrong func(kind failure.Code, path, detail string)) {
	taken := map[string]string{s.Address: "address"}
	for _, further := range []struct {
		path, address string
		kind          membership.NodeKind
	}{{"calls_address", s.CallsAddress, membership.Router}, {"ready_address", s.ReadyAddress, membership.Router}, {"control_address", s.ControlAddress, membership.Controller}} {
		if further.address == "" {
			continue
		}
		addresses[further.path] = further.address
		if other, found := taken[further.address]; found {
			wrong(failure.Contradictory, further.path, "is the same as "+other)
		}
		taken[further.address] = further.path
		if s.Kind != further.kind && !(s.Kind == membership.Redirector && further.kind == membership.Controller) {
			wrong(failure.Contradictory, further.path, "is for the kind "+string(further.kind))
		}
	}
	for path, length := range map[string]time.Duration{"acknowledge_wait": s.AcknowledgeWait, "serve_without_hold": s.ServeWithoutLease, "grace": s.Grace, "retire_after": s.RetireAfter} {
		if length < 0 {
			wrong(failure.OutOfRange, path, "must not be negative")
		}
	}
}

// Supported is the build's list less what the settings withhold.
func (s *Settings) Supported() features.List {
	var withheld features.List
	for _, flag := range s.Withhold {
		withheld = append(withheld, features.Flag(flag))
	}
	return features.Supported(withheld)
}

// reloadable names the fields that may change while the process runs.
var reloadable = []string{"Seeds", "Platform", "LogLevel", "AcknowledgeWait", "ServeWithoutLease", "Grace"}

// Reload takes over from next what may change while the process runs, and returns the
// names of the fields that have changed and only take effect at a restart.
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
