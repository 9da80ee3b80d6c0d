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

// watchInterval lies between two tables of --watch.
const watchInterval = 2 * time.Second

// tenantStatus is what one witness knows of a tenant's limit, or several of them together.
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

// witnessReplica is a witness that can be asked.
type witnessReplica struct {
	Identity string `json:"identity"`
	Address  string `json:"address"`
	Name     string `json:"name"`
}

// tenantsAnswer is what one witness answers.
type tenantsAnswer struct {
	Identity  string           `json:"identity"`
	Epoch     uint64           `json:"epoch"`
	Witnesses []witnessReplica `json:"witnesses"`
	Tenants   []tenantStatus   `json:"tenants"`
}

// tenantsReport is what the witnesses that answered know together.
type tenantsReport struct {
	Epoch     uint64         `json:"epoch"`
	Witnesses int            `json:"witnesses"`
	Answered  int            `json:"answered"`
	Tenants   []tenantStatus `json:"tenants"`
}

// tenantsCommand shows the limits of tenants as a quorum of witnesses counts them.
func tenantsCommand() *cobra.Command {
	command := subcommand("tenants", "limits of tenants: what is left, held by routers, granted and refused", cobra.NoArgs, func(o *operator, command *cobra.Command, _ []string) error {
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
	command.Flags().Bool("json", false, "print JSON, for scripts; with --watch one line each time")
	command.Flags().Bool("watch", false, "print it again every "+watchInterval.String())
	return command
}

// tenants asks all witnesses that the first controller knows of. It fails unless a majority answers.
func (o *operator) tenants() (tenantsReport, error) {
	first, err := o.askTenants(o.addresses)
	if err != nil {
		return tenantsReport{}, err
	}
	var answers []tenantsAnswer
	for _, witness := range first.Witnesses {
		if answer, err := o.askTenants([]string{witness.Address}); err == nil && answer.Identity == witness.Identity {
			answers = append(answers, answer)
		}
	}
	if len(answers)*2 <= len(first.Witnesses) {
		return tenantsReport{}, &exitError{code: exitUnreachable, message: printError(fmt.Sprintf("%d of %d witnesses answered, which is no majority", len(answers), len(first.Witnesses)))}
	}
	return tenantsReport{Epoch: first.Epoch, Witnesses: len(first.Witnesses), Answered: len(answers), Tenants: combine(answers, len(first.Witnesses))}, nil
}

func (o *operator) askTenants(addresses []string) (tenantsAnswer, error) {
	asked := &operator{addresses: addresses, timeout: o.timeout, client: o.client}
	received, err := asked.ask(http.MethodGet, "/v1/tenants", nil, nil)
	if err != nil {
		return tenantsAnswer{}, err
	}
	var answer tenantsAnswer
	if received.status != http.StatusOK {
		return tenantsAnswer{}, &exitError{code: exitRefused, message: printError(fmt.Sprintf("the answer's status is %d", received.status))}
	}
	if err := json.Unmarshal(received.body, &answer); err != nil {
		return tenantsAnswer{}, failure.Wrap(failure.Malformed, err)
	}
	return answer, nil
}

// combine puts together what witnesses know. Left is what a majority of all of them can grant, where one that was
// never asked for the tenant has its whole capacity and one that is silent has none; the rest is what the witness
// that knows most says.
func combine(answers []tenantsAnswer, witnesses int) []tenantStatus {
	byTenant := map[string]tenantStatus{}
	left := map[string][]float64{}
	for _, answer := range answers {
		for _, status := range answer.Tenants {
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
		for len(values) < len(answers) {
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

// write prints the report as a table or as JSON.
func (r tenantsReport) write(target io.Writer, asJSON bool) error {
	if asJSON {
		return json.NewEncoder(target).Encode(r)
	}
	table := tabwriter.NewWriter(target, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "TENANT\tPER SECOND\tCAPACITY\tLEFT\tHELD\tROUTERS\tGRANTED\tREFUSED")
	for _, t := range r.Tenants {
		_, _ = fmt.Fprintf(table, "%s\t%g\t%g\t%g\t%g\t%d\t%d\t%d\n", t.Tenant, t.PerSecond, t.Capacity, t.Left, t.Held, t.Routers, t.Granted, t.Refused)
	}
	_, _ = fmt.Fprintf(table, "%d of %d witnesses answered, epoch %d\n", r.Answered, r.Witnesses, r.Epoch)
	return table.Flush()
}
