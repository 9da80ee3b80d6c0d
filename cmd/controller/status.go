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
	Epoch         uint64   `json:"epoch"`
	Version       string   `json:"version"`
	Configuration string   `json:"configuration_version"`
	Since         int64    `json:"primary_since_milliseconds"`
	Lagging       []string `json:"lagging"`
	Members       map[string]struct {
		Kind       string `json:"kind"`
		Zone       string `json:"district"`
		Running    bool   `json:"running"`
		Restricted bool   `json:"restricted"`
	} `json:"members"`
	Flags []struct {
		Name    string   `json:"name"`
		Enabled bool     `json:"enabled"`
		Why     string   `json:"why"`
		Lacking []string `json:"lacking"`
	} `json:"flags"`
	Roles map[string]struct {
		Holder string `json:"holder"`
	} `json:"duties"`
	Orders map[string]struct {
		Part string `json:"part"`
	} `json:"orders"`
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
	var witnesses []string
	for _, seat := range s.Witnesses {
		witnesses = append(witnesses, seat.Name)
	}
	line("primary        %s (%s), for %s, epoch %d", s.Primary.Name, s.Primary.Address, (time.Duration(s.Since) * time.Millisecond).Round(time.Second), s.Epoch)
	line("backup         %s", backup)
	line("keepers        %s", strings.Join(witnesses, ", "))
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
		line("%-14s %-10s %-12s %s", name, member.Kind, member.Zone, state)
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
