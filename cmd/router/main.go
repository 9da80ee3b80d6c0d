// Command router is seamloom's data plane: it lets requests in, picks their
// servers and streams their replies.
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
		Long: "router lets callers' inquiries in, picks a prefill and a decode server for each, and streams the reply.\n" +
			"Settings come from a JSON file (--settings) and from flags, which go over it.\n" +
			"SIGTERM drains and ends; SIGHUP reads the settings again."}
	root.AddCommand(serveCommand(), streamCommand())
	if err := root.Execute(); err != nil {
		daemon.Explain(os.Stderr, err)
		os.Exit(daemon.ExitCode(err))
	}
}

func serveCommand() *cobra.Command {
	command := &cobra.Command{Use: "serve", Short: "run the daemon", Args: cobra.NoArgs,
		Example: "  router serve --name router-1 --address 127.0.0.1:7201 --district north \\\n" +
			"    --seeds 127.0.0.1:7101,127.0.0.1:7102,127.0.0.1:7103 --platform 127.0.0.1:7000"}
	flags := daemon.AddFlags(command, membership.Router)
	command.RunE = func(*cobra.Command, []string) error {
		signals := daemon.CatchSignals()
		chosen, mistakes := flags.Read()
		if mistakes != nil {
			return mistakes
		}
		daemon.LimitMemory(chosen.MaxMemoryMegabytes)
		logger := daemon.Logger(os.Stderr, chosen.LogLevel, chosen.Name)
		process, err := router.Start(chosen, logger, osruntime.NewClock(), router.Ports{})
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

func reload(flags *daemon.Flags, process *router.Process) {
	next, mistakes := flags.Read()
	if mistakes != nil {
		daemon.Explain(os.Stderr, mistakes)
		return
	}
	process.Reload(next)
}
