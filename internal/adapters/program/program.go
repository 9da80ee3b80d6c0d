// Package program is what the commands have in common: flags over a settings
// file, JSON log lines, and signals.
package program

import (
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/charmbracelet/log"
	"github.com/spf13/cobra"
	"go.uber.org/multierr"
	"gopkg.in/tomb.v2"

	"seamloom.example/seamloom/internal/adapters/settings"
	"seamloom.example/seamloom/internal/roster"
	"seamloom.example/seamloom/internal/trouble"
)

// Flags holds the settings flags of one command.
type Flags struct {
	kind     roster.NodeKind
	command  *cobra.Command
	file     string
	flagged  settings.Settings
	seeds    string
	withhold string
}

// AddFlags gives a command the settings flags.
//
// Example:
//
//	flags := program.AddFlags(command, roster.Courier)
func AddFlags(command *cobra.Command, kind roster.NodeKind) *Flags {
	flags := &Flags{kind: kind, command: command}
	defaults := settings.Defaults(kind)
	set := command.Flags()
	set.StringVar(&flags.file, "settings", "", "settings file (JSON); flags go over it")
	set.StringVar(&flags.flagged.Name, "name", "", "this node's name")
	set.StringVar(&flags.flagged.Address, "address", "", "IP number and port to listen on, such as 127.0.0.1:7101")
	set.StringVar(&flags.flagged.District, "district", "", "the zone that this node is in")
	set.StringVar(&flags.seeds, "seeds", "", "three addresses of other processes, with commas between")
	set.StringVar(&flags.flagged.Platform, "platform", "", "address of the platform's lists of servers and nodes")
	set.StringVar(&flags.flagged.LogLevel, "log-level", defaults.LogLevel, "debug, info, warn or error")
	set.StringVar(&flags.withhold, "withhold-flags", "", "for tests: feature flags that this node claims not to support, with commas between")
	if kind == roster.Expediter {
		set.StringVar(&flags.flagged.DataFolder, "data-folder", "", "folder for all files")
		set.IntVar(&flags.flagged.FlagSettle, "flag-settle-milliseconds", defaults.FlagSettle, "how long the members must not change before a feature flag is enabled")
	} else {
		set.StringVar(&flags.flagged.Market, "market", defaults.Market, "pair, or least_loaded for comparison")
		set.IntVar(&flags.flagged.MostInquiries, "most-inquiries", defaults.MostInquiries, "how many inquiries are let in at once")
	}
	return flags
}

// Read makes the settings of file and flags and names all mistakes at once.
//
// Example:
//
//	chosen, failure := flags.Read()
func (flags *Flags) Read() (settings.Settings, error) {
	chosen := settings.Defaults(flags.kind)
	var mistakes error
	if flags.file != "" {
		mistakes = chosen.ReadFile(flags.file)
	}
	changed := flags.command.Flags().Changed
	texts := map[string][2]*string{"name": {&chosen.Name, &flags.flagged.Name}, "address": {&chosen.Address, &flags.flagged.Address},
		"district": {&chosen.District, &flags.flagged.District}, "platform": {&chosen.Platform, &flags.flagged.Platform},
		"log-level": {&chosen.LogLevel, &flags.flagged.LogLevel}, "data-folder": {&chosen.DataFolder, &flags.flagged.DataFolder},
		"market": {&chosen.Market, &flags.flagged.Market}}
	for name, pair := range texts {
		if changed(name) {
			*pair[0] = *pair[1]
		}
	}
	if changed("most-inquiries") {
		chosen.MostInquiries = flags.flagged.MostInquiries
	}
	if changed("flag-settle-milliseconds") {
		chosen.FlagSettle = flags.flagged.FlagSettle
	}
	if changed("seeds") {
		chosen.Seeds = strings.Split(flags.seeds, ",")
	}
	if changed("withhold-flags") {
		chosen.Withhold = strings.Split(flags.withhold, ",")
	}
	return chosen, multierr.Append(mistakes, chosen.Check())
}

// Logger writes JSON lines.
//
// Example:
//
//	logger := program.Logger(os.Stderr, "info", "courier-1")
func Logger(target io.Writer, level, node string) *log.Logger {
	parsed, failure := log.ParseLevel(level)
	if failure != nil {
		parsed = log.InfoLevel
	}
	logger := log.NewWithOptions(target, log.Options{Formatter: log.JSONFormatter, ReportTimestamp: true, Level: parsed,
		TimeFormat: "2006-01-02T15:04:05.000Z07:00"})
	return logger.With("node", node)
}

// Explain writes each mistake on a line of its own.
//
// Example:
//
//	program.Explain(os.Stderr, mistakes)
func Explain(target io.Writer, mistakes error) {
	for _, mistake := range multierr.Errors(mistakes) {
		_, _ = io.WriteString(target, mistake.Error()+"\n")
	}
}

// ExitCode is what a program ends with that did not start: 2 for wrong use and
// settings, 1 for what the machine or others did not give, such as a busy address
// or a disk.
//
// Example:
//
//	os.Exit(program.ExitCode(failure))
func ExitCode(failure error) int {
	switch trouble.KindOf(failure) {
	case trouble.Disk, trouble.Unreachable, trouble.Damaged:
		return 1
	}
	return 2
}

// Wait handles signals until the process is to end: SIGHUP reloads, SIGTERM
// and SIGINT return true. It returns false when the process ended by itself.
//
// Example:
//
//	if program.Wait(process.Dead(), reload) { process.Stop() }
func Wait(dead <-chan struct{}, reload func()) bool {
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGHUP, syscall.SIGTERM, syscall.SIGINT)
	defer signal.Stop(signals)
	for {
		select {
		case <-dead:
			return false
		case caught := <-signals:
			if caught != syscall.SIGHUP {
				return true
			}
			reload()
		}
	}
}

// Every runs a task over and over, with a pause between, until the tomb dies.
//
// Example:
//
//	program.Every(&process.tomb, time.Second, process.sweep)
func Every(owner *tomb.Tomb, pause time.Duration, task func()) {
	owner.Go(func() error {
		ticker := time.NewTicker(pause)
		defer ticker.Stop()
		for {
			task()
			select {
			case <-owner.Dying():
				return nil
			case <-ticker.C:
			}
		}
	})
}

// Serve listens and answers until the tomb dies; then circuits get a moment to
// end by themselves.
//
// Example:
//
//	failure := program.Serve(&process.tomb, "127.0.0.1:7101", mux)
func Serve(owner *tomb.Tomb, address string, handler http.Handler) error {
	listener, failure := net.Listen("tcp", address)
	if failure != nil {
		return trouble.Wrap(trouble.Unreachable, failure)
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: 5 * time.Second}
	owner.Go(func() error {
		if failure := server.Serve(listener); failure != http.ErrServerClosed {
			return trouble.Wrap(trouble.Unreachable, failure)
		}
		return nil
	})
	owner.Go(func() error {
		<-owner.Dying()
		shutdown, end := context.WithTimeout(context.Background(), time.Second)
		defer end()
		_ = server.Shutdown(shutdown)
		return trouble.Wrap(trouble.Unreachable, server.Close())
	})
	return nil
}
