// Command controller runs seamloom's control plane and is the operators' command-line tool.
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
		Long: "controller serve runs a control-plane daemon.\n" +
			"The other subcommands send requests to any controller (--to) to read or change the state of the fleet."}
	root.AddCommand(serveCommand())
	root.AddCommand(operatorCommands()...)
	if err := root.Execute(); err != nil {
		code := daemon.ExitCode(err)
		var exit *exitError
		if errors.As(err, &exit) {
			code = exit.code
		} else {
			daemon.PrintErrors(os.Stderr, err)
		}
		os.Exit(code)
	}
}

// serveCommand returns the subcommand that runs the daemon until a signal ends it.
func serveCommand() *cobra.Command {
	command := &cobra.Command{Use: "serve", Short: "run the control-plane daemon", Args: cobra.NoArgs,
		Long: "serve runs one control-plane daemon. SIGTERM ends it; SIGHUP or a change of the settings file makes it reload the settings.",
		Example: "  controller serve --name controller-1 --address 127.0.0.1:7101 --district north --data-folder /var/lib/seamloom \\\n" +
			"    --seeds 127.0.0.1:7101,127.0.0.1:7102,127.0.0.1:7103 --platform 127.0.0.1:7000"}
	flags := daemon.AddFlags(command, membership.Controller)
	command.RunE = func(*cobra.Command, []string) error {
		signals := daemon.CatchSignals()
		nodeSettings, settingsErr := flags.Read()
		if settingsErr != nil {
			return settingsErr
		}
		daemon.LimitMemory(nodeSettings.MaxMemoryMegabytes)
		daemon.ReduceGCFrequency(nodeSettings.MaxMemoryMegabytes)
		logger := daemon.Logger(os.Stderr, nodeSettings.LogLevel, nodeSettings.Name)
		process, err := controller.Start(nodeSettings, logger, storage.OSDisk{}, osruntime.NewClock(), controller.Ports{})
		if err != nil {
			return err
		}
		if !signals.Wait(process.Dead(), flags.File(), func() {
			next, settingsErr := flags.Read()
			if settingsErr != nil {
				daemon.PrintErrors(os.Stderr, settingsErr)
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
