// Command controller is seamloom's control plane, and the operators' tool.
package main

import (
	"errors"
	"os"

	"github.com/spf13/cobra"

	"seamloom.example/seamloom/internal/adapters/controller"
	"seamloom.example/seamloom/internal/adapters/daemon"
	"seamloom.example/seamloom/internal/adapters/osruntime"
	"seamloom.example/seamloom/internal/adapters/storage"
	"seamloom.example/seamloom/internal/membership"
)

func main() {
	root := &cobra.Command{Use: "controller", Short: "seamloom's control plane and operators' tool", SilenceUsage: true, SilenceErrors: true,
		Long: "controller serve runs one of the three control-plane daemons.\n" +
			"The other subcommands speak to any controller (--to) and read or change the fleet."}
	root.AddCommand(serveCommand())
	root.AddCommand(operatorCommands()...)
	if err := root.Execute(); err != nil {
		code := daemon.ExitCode(err)
		var exit *exitError
		if errors.As(err, &exit) {
			code = exit.code
		} else {
			daemon.Explain(os.Stderr, err)
		}
		os.Exit(code)
	}
}

func serveCommand() *cobra.Command {
	command := &cobra.Command{Use: "serve", Short: "run the daemon", Args: cobra.NoArgs,
		Long: "serve runs one control-plane daemon. SIGTERM ends it; SIGHUP reads the settings again.",
		Example: "  controller serve --name controller-1 --address 127.0.0.1:7101 --district north --data-folder /var/lib/seamloom \\\n" +
			"    --seeds 127.0.0.1:7101,127.0.0.1:7102,127.0.0.1:7103 --platform 127.0.0.1:7000"}
	flags := daemon.AddFlags(command, membership.Controller)
	command.RunE = func(*cobra.Command, []string) error {
		signals := daemon.CatchSignals()
		chosen, mistakes := flags.Read()
		if mistakes != nil {
			return mistakes
		}
		daemon.LimitMemory(chosen.MaxMemoryMegabytes)
		daemon.CollectSeldom(chosen.MaxMemoryMegabytes)
		logger := daemon.Logger(os.Stderr, chosen.LogLevel, chosen.Name)
		process, err := controller.Start(chosen, logger, storage.OSDisk{}, osruntime.NewClock(), controller.Ports{})
		if err != nil {
			return err
		}
		if !signals.Wait(process.Dead(), flags.File(), func() {
			next, mistakes := flags.Read()
			if mistakes != nil {
				daemon.Explain(os.Stderr, mistakes)
				return
			}
			process.Reload(next)
		}) {
			logger.Error("ended_by_itself")
			os.Exit(1)
		}
		return process.Stop()
	}
	return command
}
