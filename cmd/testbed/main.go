// Command testbed runs seamloom's system tests. It starts a fleet on this machine
// with stand-ins for clients, model servers and the platform, injects faults, and
// checks the events that the stand-ins recorded. Such a run is called a day; its seed
// determines the requests and the faults. Further subcommands run simulated days,
// replays, mutations and state exploration.
package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"seamloom.example/seamloom/internal/failure"
	"seamloom.example/seamloom/internal/membership"
	"seamloom.example/seamloom/internal/testbed/fleet"
)

// fleetOptions holds the flags of the commands that start a fleet. The fields relayed and scripted are not flags:
// run sets relayed if one of the faults needs a relay on each link, and scripted if one needs nodes with scripted
// disks and clocks.
type fleetOptions struct {
	deployment         string
	folder             string
	binaries           string
	seed               uint64
	length             time.Duration
	faults             string
	market             string
	longRate           float64
	shortRate          float64
	asJSON             bool
	nonIdempotentShare float64
	closing            string
	relayed            bool
	scripted           bool
	older              string
	routers            int
	servers            int
}

func main() {
	root := &cobra.Command{Use: "testbed", Short: "runs seamloom's system tests", SilenceUsage: true, SilenceErrors: true}
	root.AddCommand(fleetCommand(), runCommand(), soakCommand(), simulateCommand(), mutateCommand(), exploreCommand(), eachCommand(),
		regionsCommand(), compareCommand(), replayCommand(), replayDrawnCommand(), scriptCommand(membership.Router),
		scriptCommand(membership.Controller))
	if err := root.Execute(); err != nil {
		_, _ = fmt.Fprintln(os.Stderr, "testbed:", err)
		var usage usageError
		if errors.As(err, &usage) {
			os.Exit(2)
		}
		os.Exit(1)
	}
}

// addFleetFlags adds the flags that all commands that start a fleet have in common.
func addFleetFlags(command *cobra.Command, chosen *fleetOptions) {
	executable, _ := os.Executable()
	set := command.Flags()
	set.StringVar(&chosen.deployment, "deployment", "sahil", "sahil or kochloeffel")
	set.StringVar(&chosen.folder, "folder", "", "folder for settings, logs, disks and the event log (default: a new one)")
	set.StringVar(&chosen.binaries, "binaries", filepath.Dir(executable), "folder of the router and controller programs")
	set.StringVar(&chosen.market, "market", "pair", "how routers choose servers: pair or least_loaded")
	set.StringVar(&chosen.older, "older-binaries", "",
		"folder with the programs of an older build, which every second node runs")
	set.Uint64Var(&chosen.seed, "seed", 1, "the same seed gives the same requests and the same faults")
	set.IntVar(&chosen.routers, "couriers", 0, "number of routers (default: the deployment's)")
	set.IntVar(&chosen.servers, "servers", 0, "number of model servers (default: the deployment's)")
	set.Float64Var(&chosen.longRate, "long", 8, "long-prompt requests a second")
	set.Float64Var(&chosen.shortRate, "short", 10, "short chat requests a second")
}

// start starts a fleet and waits until it is ready.
func (o *fleetOptions) start() (*fleet.Fleet, error) {
	deployment, found := fleet.DeploymentNamed(o.deployment)
	if !found {
		return nil, failure.New(failure.NoSuch, "no deployment "+o.deployment)
	}
	if o.routers > 0 {
		deployment.Routers = o.routers
	}
	if o.servers > 0 {
		deployment.Servers = o.servers
	}
	if o.folder == "" {
		folder, err := os.MkdirTemp("", "testbed-")
		if err != nil {
			return nil, failure.Wrap(failure.Disk, err)
		}
		o.folder = folder
	} else if err := os.MkdirAll(o.folder, 0o755); err != nil {
		return nil, failure.Wrap(failure.Disk, err)
	}
	running, err := fleet.NewFleet(deployment, o.folder, o.binaries, map[string]any{"market": o.market})
	if err != nil {
		return nil, err
	}
	if o.relayed {
		if err := running.LinkNodes(); err != nil {
			return nil, err
		}
	}
	if o.scripted {
		running.UseScriptedNodes()
	}
	if o.older != "" {
		running.UseOlderBinaries(o.older)
	}
	began := time.Now()
	if err := running.Begin(30 * time.Second); err != nil {
		running.Close()
		return nil, err
	}
	_, _ = fmt.Fprintf(os.Stderr, "the fleet was ready in %s\n", time.Since(began).Round(time.Millisecond))
	return running, nil
}

// interrupted returns a context that ends on SIGINT or SIGTERM.
func interrupted() (context.Context, context.CancelFunc) {
	return signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
}

// fleetCommand returns the command that starts a fleet and keeps it running.
func fleetCommand() *cobra.Command {
	chosen := &fleetOptions{}
	command := &cobra.Command{
		Use:   "fleet",
		Short: "start a fleet on this machine and keep it running until interrupted",
		Args:  cobra.NoArgs,
	}
	addFleetFlags(command, chosen)
	configured := command.Flags().Bool("configured", true, "apply the deployment's first configuration")
	load := command.Flags().Bool("load", false, "let clients send requests")
	command.RunE = func(*cobra.Command, []string) error {
		running, err := chosen.start()
		if err != nil {
			return err
		}
		defer running.Close()
		day := fleet.NewDay(running, chosen.seed, os.Stderr)
		if *configured {
			if err := day.Open(); err != nil {
				return err
			}
		}
		fmt.Print(running.Describe())
		lifetime, end := interrupted()
		defer end()
		if *load {
			day.Clients.SetRates(chosen.longRate, chosen.shortRate)
			day.Clients.Run(lifetime)
			fmt.Print(fleet.CheckEvents(running.Events.Entries()))
		}
		<-lifetime.Done()
		return nil
	}
	return command
}

// runCommand returns the command that runs one day on a fleet.
func runCommand() *cobra.Command {
	chosen := &fleetOptions{}
	command := &cobra.Command{Use: "run", Short: "run one seeded day with faults and print the checkers' verdict", Args: cobra.NoArgs,
		Example: "  testbed run --deployment sahil --seed 7 --length 40s --faults kill-courier,crash-server,kill-primary"}
	addFleetFlags(command, chosen)
	command.Flags().DurationVar(&chosen.length, "length", 30*time.Second, "length of the day")
	command.Flags().StringVar(&chosen.faults, "faults", "",
		"faults in the order in which they are injected, separated by commas: "+strings.Join(fleet.FaultNames(), ", "))
	command.Flags().StringVar(&chosen.closing, "closing", "",
		"a fault at the end of the day, after which service must return within its limit")
	command.Flags().Float64Var(&chosen.nonIdempotentShare, "once", 0.3, "share of requests that are not idempotent")
	command.Flags().BoolVar(&chosen.asJSON, "json", false, "print the verdict as JSON")
	command.RunE = func(*cobra.Command, []string) error {
		verdict, err := chosen.run(os.Stderr)
		if err != nil {
			return err
		}
		if chosen.asJSON {
			encoded, err := json.MarshalIndent(verdict, "", "  ")
			if err != nil {
				return failure.Wrap(failure.Malformed, err)
			}
			fmt.Println(string(encoded))
		} else {
			fmt.Print(verdict)
		}
		_, _ = fmt.Fprintln(os.Stderr, "the event log and the node logs are in", chosen.folder)
		if verdict.Violations() > 0 {
			return failure.New(failure.Contradictory, "at least one checker found a violation")
		}
		return nil
	}
	return command
}

// run starts a fleet, runs one day on it, checks its event log, and saves the log.
func (o *fleetOptions) run(log io.Writer) (fleet.Verdict, error) {
	var verdict fleet.Verdict
	var faults []fleet.Fault
	for _, name := range strings.Split(o.faults, ",") {
		if name == "" {
			continue
		}
		fault, found := fleet.FaultNamed(name)
		if !found {
			return verdict, failure.New(failure.NoSuch, "no fault "+name)
		}
		faults = append(faults, fault)
	}
	closing, hasClosing := fleet.FaultNamed(o.closing)
	if o.closing != "" && !hasClosing {
		return verdict, failure.New(failure.NoSuch, "no fault "+o.closing)
	}
	for _, fault := range append([]fleet.Fault{closing}, faults...) {
		o.relayed = o.relayed || fault.Links
		o.scripted = o.scripted || fault.Scripted
	}
	running, err := o.start()
	if err != nil {
		return verdict, err
	}
	defer running.Close()
	day := fleet.NewDay(running, o.seed, log)
	day.Long, day.Short = o.longRate, o.shortRate
	day.Clients.NonIdempotentShare = o.nonIdempotentShare
	if err := day.Open(); err != nil {
		return verdict, err
	}
	lifetime, end := interrupted()
	defer end()
	verdict = day.Run(lifetime, o.length, faults)
	if hasClosing {
		verdict = day.RunClosingFault(lifetime, closing)
	}
	if primary := running.Primary(); primary != nil {
		_, _ = fmt.Fprintf(log,
			"the primary answered %d changes with %d synced versions; it sent %d configurations and %d bytes of updates in %d answers\n",
			primary.Metric("seamloom_answered_changes_total"), primary.Metric("seamloom_synced_batches_total"),
			primary.Metric("seamloom_configurations_sent_total"), primary.Metric("seamloom_news_drawer_bytes_total"),
			primary.Metric("seamloom_news_answers_total"))
	}
	return verdict, running.Events.Save(filepath.Join(o.folder, "book.jsonl"))
}
