// Command router is seamloom's data plane: it admits requests, selects their servers and
// streams their replies.
package main

import (
	"os"

	"github.com/spf13/cobra"

	"seamloom.example/seamloom/internal/adapters/daemon"
	"seamloom.example/seamloom/internal/adapters/osruntime"
	"seamloom.example/seamloom/internal/adapters/router"
	"seamloom.example/seamloom/internal/membership"
)

func main() {
	root := &cobra.Command{Use: "router", Short: "seamloom's data plane", SilenceUsage: true, SilenceErrors: true,
		Long: "router admits clients' requests, selects a prefill and a decode server for each, and streams the reply.\n" +
			"Settings come from a JSON file (--settings) and from flags, which override the file.\n" +
			"SIGTERM drains the router and ends it; SIGHUP or a change of the file makes it reload the settings."}
	root.AddCommand(serveCommand(), streamCommand())
	if err := root.Execute(); err != nil {
		daemon.PrintErrors(os.Stderr, err)
		os.Exit(daemon.ExitCode(err))
	}
}

// serveCommand returns the subcommand that runs the daemon until a signal ends it.
func serveCommand() *cobra.Command {
	command := &cobra.Command{Use: "serve", Short: "run the data-plane daemon", Args: cobra.NoArgs,
		Example: "  router serve --name router-1 --address 127.0.0.1:7201 --district north \\\n" +
			"    --seeds 127.0.0.1:7101,127.0.0.1:7102,127.0.0.1:7103 --platform 127.0.0.1:7000"}
	flags := daemon.AddFlags(command, membership.Router)
	command.RunE = func(*cobra.Command, []string) error {
		signals := daemon.CatchSignals()
		nodeSettings, settingsErr := flags.Read()
		if settingsErr != nil {
			return settingsErr
		}
		daemon.LimitMemory(nodeSettings.MaxMemoryMegabytes)
		logger := daemon.Logger(os.Stderr, nodeSettings.LogLevel, nodeSettings.Name)
		process, err := router.Start(nodeSettings, logger, osruntime.NewClock(), router.Ports{})
		if err != nil {
			return err
		}
		if !signals.Wait(process.Dead(), flags.File(), func() { reload(flags, process) }) {
			logger.Error("ended_by_itself")
			os.Exit(1)
		}
		return process.Drain(process.Grace())
	}
	return command
}

// reload reads the settings again and applies them, unless they have errors.
func reload(flags *daemon.Flags, process *router.Process) {
	next, settingsErr := flags.Read()
	if settingsErr != nil {
		daemon.PrintErrors(os.Stderr, settingsErr)
		return
	}
	process.Reload(next)
}
