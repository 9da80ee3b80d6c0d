package main

import (
	"encoding/json"
	"fmt"
	"io"
	"math"
	"net/http"
	"os"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"seamloom.example/seamloom/internal/failure"
)

// watchInterval is the time between two reports of --watch.
const watchInterval = 2 * time.Second

// tenantStatus is the state of a tenant's rate limit, as counted by one witness or combined from several. The fields
// have the same meaning as those of quota.Status.
type tenantStatus struct {
	Tenant    string  `json:"subject"`
	PerSecond float64 `json:"per_second"`
	Capacity  float64 `json:"capacity"`
	Left      float64 `json:"left"`
	Held      float64 `json:"held"`
	Routers   int     `json:"routers"`
	Granted   uint64  `json:"granted"`
	Refused   uint64  `json:"refused"`
}

// witnessReplica identifies a witness and its address.
type witnessReplica struct {
	Identity string `json:"identity"`
	Address  string `json:"address"`
	Name     string `json:"name"`
}

// tenantsResponse is the response of one witness to GET /v1/tenants.
type tenantsResponse struct {
	Identity  string           `json:"identity"`
	Epoch     uint64           `json:"epoch"`
	Witnesses []witnessReplica `json:"witnesses"`
	Tenants   []tenantStatus   `json:"tenants"`
}

// tenantsReport combines the responses of all witnesses that responded.
type tenantsReport struct {
	Epoch     uint64         `json:"epoch"`
	Witnesses int            `json:"witnesses"`
	Answered  int            `json:"answered"`
	Tenants   []tenantStatus `json:"tenants"`
}

// tenantsCommand returns the subcommand that prints the rate limits of tenants as counted by a quorum of witnesses.
func tenantsCommand() *cobra.Command {
	command := subcommand("tenants", "print the rate limits of tenants: tokens left, held by routers, granted and refused",
		cobra.NoArgs, func(o *operator, command *cobra.Command, _ []string) error {
			asJSON, _ := command.Flags().GetBool("json")
			watch, _ := command.Flags().GetBool("watch")
			for {
				report, err := o.tenants()
				if err != nil {
					return err
				}
				if err := report.write(os.Stdout, asJSON); err != nil || !watch {
					return err
				}
				select {
				case <-command.Context().Done():
					return nil
				case <-time.After(watchInterval):
				}
			}
		})
	command.Flags().Bool("json", false, "print JSON, for scripts; with --watch, one line per report")
	command.Flags().Bool("watch", false, "print the report again every "+watchInterval.String())
	return command
}

// tenants reads the limits from all witnesses that the first controller lists. It fails unless a majority of them
// responds.
func (o *operator) tenants() (tenantsReport, error) {
	first, err := o.readTenants(o.addresses)
	if err != nil {
		return tenantsReport{}, err
	}
	var responses []tenantsResponse
	for _, witness := range first.Witnesses {
		if decoded, err := o.readTenants([]string{witness.Address}); err == nil && decoded.Identity == witness.Identity {
			responses = append(responses, decoded)
		}
	}
	if len(responses)*2 <= len(first.Witnesses) {
		return tenantsReport{}, &exitError{code: exitUnreachable,
			message: printError(fmt.Sprintf("%d of %d witnesses responded, which is not a majority", len(responses), len(first.Witnesses)))}
	}
	return tenantsReport{
		Epoch:     first.Epoch,
		Witnesses: len(first.Witnesses),
		Answered:  len(responses),
		Tenants:   combine(responses, len(first.Witnesses)),
	}, nil
}

// readTenants reads the limits of tenants as counted by the first controller that responds.
func (o *operator) readTenants(addresses []string) (tenantsResponse, error) {
	addressed := &operator{addresses: addresses, timeout: o.timeout, client: o.client}
	received, err := addressed.send(http.MethodGet, "/v1/tenants", nil, nil)
	if err != nil {
		return tenantsResponse{}, err
	}
	var decoded tenantsResponse
	if received.status != http.StatusOK {
		return tenantsResponse{}, &exitError{code: exitRefused,
			message: printError(fmt.Sprintf("the controller responded with status %d", received.status))}
	}
	if err := json.Unmarshal(received.body, &decoded); err != nil {
		return tenantsResponse{}, failure.Wrap(failure.Malformed, err)
	}
	return decoded, nil
}

// combine merges the responses of witnesses by tenant. Left is what a majority of all witnesses can grant: a
// witness that was never asked for the tenant counts with the full capacity, a witness without a response with
// zero. PerSecond and Capacity come from the response with the most tokens granted. Each other field is the
// highest value of all responses.
func combine(responses []tenantsResponse, witnesses int) []tenantStatus {
	byTenant := map[string]tenantStatus{}
	left := map[string][]float64{}
	for _, decoded := range responses {
		for _, status := range decoded.Tenants {
			known := byTenant[status.Tenant]
			known.Tenant = status.Tenant
			if status.Granted >= known.Granted {
				known.PerSecond, known.Capacity = status.PerSecond, status.Capacity
			}
			known.Held, known.Routers = max(known.Held, status.Held), max(known.Routers, status.Routers)
			known.Granted, known.Refused = max(known.Granted, status.Granted), max(known.Refused, status.Refused)
			byTenant[status.Tenant] = known
			left[status.Tenant] = append(left[status.Tenant], status.Left)
		}
	}
	tenants := make([]tenantStatus, 0, len(byTenant))
	for name, status := range byTenant {
		values := left[name]
		for len(values) < len(responses) {
			values = append(values, status.Capacity)
		}
		slices.Sort(values)
		slices.Reverse(values)
		status.Left = math.Floor(max(0, values[witnesses/2]))
		tenants = append(tenants, status)
	}
	slices.SortFunc(tenants, func(left, right tenantStatus) int { return strings.Compare(left.Tenant, right.Tenant) })
	return tenants
}

// write writes the report as a table or as JSON.
func (r tenantsReport) write(target io.Writer, asJSON bool) error {
	if asJSON {
		return json.NewEncoder(target).Encode(r)
	}
	table := tabwriter.NewWriter(target, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "TENANT\tPER SECOND\tCAPACITY\tLEFT\tHELD\tROUTERS\tGRANTED\tREFUSED")
	for _, t := range r.Tenants {
		_, _ = fmt.Fprintf(table, "%s\t%g\t%g\t%g\t%g\t%d\t%d\t%d\n",
			t.Tenant, t.PerSecond, t.Capacity, t.Left, t.Held, t.Routers, t.Granted, t.Refused)
	}
	_, _ = fmt.Fprintf(table, "%d of %d witnesses answered, epoch %d\n", r.Answered, r.Witnesses, r.Epoch)
	return table.Flush()
}
