package main

import (
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strings"
	"time"
)

// statusAnswer is what the status says, as far as people read it.
type statusAnswer struct {
	Primary, Backup struct{ Name, Address string }
	Keepers         []struct{ Name string }
	Incoming        []struct{ Name string } `json:"incoming_keepers"`
	Epoch           uint64
	Version         string
	Configuration   string `json:"configuration_version"`
	Since           int64  `json:"primary_since_milliseconds"`
	Lagging         []string
	Members         map[string]struct {
		Kind, District      string
		Running, Restricted bool
	}
	Flags []struct {
		Name    string
		Enabled bool
		Why     string
		Lacking []string
	}
	Roles  map[string]struct{ Holder string } `json:"duties"`
	Orders map[string]struct{ Part string }
}

// showStatus prints the status for people, with a line for each thing that wants
// looking at.
func (o *operator) showStatus(asJSON bool) error {
	a, err := o.ask(http.MethodGet, "/v1/status", nil, nil)
	if err != nil {
		return err
	}
	var status statusAnswer
	if asJSON || a.status != http.StatusOK || json.Unmarshal(a.body, &status) != nil {
		return o.show(a)
	}
	fmt.Print(status)
	return nil
}

// String writes the status for people.
func (s statusAnswer) String() string {
	var text strings.Builder
	line := func(format string, values ...any) { _, _ = fmt.Fprintf(&text, format+"\n", values...) }
	backup := s.Backup.Name
	if backup == "" {
		backup = "NONE: nothing is written until there is one"
	}
	var keepers []string
	for _, seat := range s.Keepers {
		keepers = append(keepers, seat.Name)
	}
	line("primary        %s (%s), for %s, epoch %d", s.Primary.Name, s.Primary.Address, (time.Duration(s.Since) * time.Millisecond).Round(time.Second), s.Epoch)
	line("backup         %s", backup)
	line("keepers        %s", strings.Join(keepers, ", "))
	if len(s.Incoming) > 0 {
		line("               a keeper is being exchanged")
	}
	line("configuration  %s, larder at %s", s.Configuration, s.Version)
	if len(s.Lagging) > 0 {
		line("lagging        %s", strings.Join(s.Lagging, ", "))
	}
	line("")
	for _, name := range slices.Sorted(maps.Keys(s.Members)) {
		member := s.Members[name]
		state := "running"
		if !member.Running {
			state = "STOPPED, or not heard"
		}
		if member.Restricted {
			state += ", RESTRICTED: it lacks an enabled flag"
		}
		line("%-14s %-10s %-12s %s", name, member.Kind, member.District, state)
	}
	line("")
	for _, flag := range s.Flags {
		line("flag %-18s %s", flag.Name, flag.Why)
		if len(flag.Lacking) > 0 {
			line("     %-18s lacking: %s", "", strings.Join(flag.Lacking, ", "))
		}
	}
	line("")
	for _, server := range slices.Sorted(maps.Keys(s.Orders)) {
		line("server %-16s %-8s commanded by %s", server, s.Orders[server].Part, s.Roles["server/"+server].Holder)
	}
	line("parts are decided by %s", s.Roles["parts"].Holder)
	return text.String()
}
