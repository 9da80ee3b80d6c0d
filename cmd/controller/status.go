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

// statusResponse is the part of a controller's status that the command prints as text.
type statusResponse struct {
	Primary struct {
		Name    string `json:"name"`
		Address string `json:"address"`
	} `json:"primary"`
	Backup struct {
		Name string `json:"name"`
	} `json:"backup"`
	Witnesses []struct {
		Name string `json:"name"`
	} `json:"keepers"`
	Incoming []struct {
		Name string `json:"name"`
	} `json:"incoming_keepers"`
	Epoch                    uint64   `json:"epoch"`
	Version                  string   `json:"version"`
	ConfigurationVersion     string   `json:"configuration_version"`
	PrimarySinceMilliseconds int64    `json:"primary_since_milliseconds"`
	Lagging                  []string `json:"lagging"`
	Members                  map[string]struct {
		Kind       string `json:"kind"`
		Zone       string `json:"district"`
		Running    bool   `json:"running"`
		Restricted bool   `json:"restricted"`
	} `json:"members"`
	Flags []struct {
		Name           string   `json:"name"`
		Enabled        bool     `json:"enabled"`
		Reason         string   `json:"why"`
		MembersWithout []string `json:"lacking"`
	} `json:"flags"`
	Roles map[string]struct {
		Holder string `json:"holder"`
	} `json:"duties"`
	Orders map[string]struct {
		Role string `json:"part"`
	} `json:"orders"`
}

// showStatus prints the controller's status as text. It prints the response as show does if asJSON is set,
// if the HTTP status is not 200, or if the body cannot be decoded.
func (o *operator) showStatus(asJSON bool) error {
	received, err := o.send(http.MethodGet, "/v1/status", nil, nil)
	if err != nil {
		return err
	}
	var status statusResponse
	if asJSON || received.status != http.StatusOK || json.Unmarshal(received.body, &status) != nil {
		return o.show(received)
	}
	fmt.Print(status)
	return nil
}

// String formats the status as text. A condition that needs attention is written in capitals or has a
// separate line.
func (s statusResponse) String() string {
	var text strings.Builder
	line := func(format string, values ...any) { _, _ = fmt.Fprintf(&text, format+"\n", values...) }
	backup := s.Backup.Name
	if backup == "" {
		backup = "NONE: no change is committed until there is a backup"
	}
	var witnesses []string
	for _, witness := range s.Witnesses {
		witnesses = append(witnesses, witness.Name)
	}
	line("primary        %s (%s), for %s, epoch %d", s.Primary.Name, s.Primary.Address,
		(time.Duration(s.PrimarySinceMilliseconds) * time.Millisecond).Round(time.Second), s.Epoch)
	line("backup         %s", backup)
	line("witnesses      %s", strings.Join(witnesses, ", "))
	if len(s.Incoming) > 0 {
		line("               a witness is being replaced")
	}
	line("configuration  %s, replicated state at version %s", s.ConfigurationVersion, s.Version)
	if len(s.Lagging) > 0 {
		line("lagging        %s", strings.Join(s.Lagging, ", "))
	}
	line("")
	for _, name := range slices.Sorted(maps.Keys(s.Members)) {
		member := s.Members[name]
		state := "running"
		if !member.Running {
			state = "STOPPED, or no heartbeat"
		}
		if member.Restricted {
			state += ", RESTRICTED: lacks an enabled feature flag"
		}
		line("%-14s %-10s %-12s %s", name, member.Kind, member.Zone, state)
	}
	line("")
	for _, flag := range s.Flags {
		line("flag %-18s %s", flag.Name, flag.Reason)
		if len(flag.MembersWithout) > 0 {
			line("     %-18s lacking: %s", "", strings.Join(flag.MembersWithout, ", "))
		}
	}
	line("")
	for _, server := range slices.Sorted(maps.Keys(s.Orders)) {
		line("server %-16s %-8s commanded by %s", server, s.Orders[server].Role, s.Roles["server/"+server].Holder)
	}
	line("the roles of servers are decided by %s", s.Roles["parts"].Holder)
	return text.String()
}
