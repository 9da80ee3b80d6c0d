package main

import (
	"bufio"
	"encoding/json"
	"io"
	"os"

	"github.com/spf13/cobra"

	"seamloom.example/seamloom"
	"seamloom.example/seamloom/internal/failure"
)

// maxEventBytes is the maximum size of an event on standard input.
const maxEventBytes = 16 << 20

// streamCommand returns the subcommand that runs a core on standard input and output.
func streamCommand() *cobra.Command {
	options := seamloom.Options{Supported: seamloom.Supported(nil)}
	command := &cobra.Command{Use: "stream", Short: "run only the core: read events and write decisions as lines of JSON", Args: cobra.NoArgs,
		Long: "stream reads one event per line from standard input, applies it to the core, and writes each decision as a line.\n" +
			"It reads no clock and sends nothing to servers. The same events give the same decisions.",
		Example: "  router stream --name router-1 --district north < events.jsonl > decisions.jsonl"}
	command.Flags().StringVar(&options.Router, "name", "courier", "the router's name")
	command.Flags().StringVar(&options.Zone, "district", "", "the router's zone")
	command.Flags().IntVar(&options.MaxRequests, "most-inquiries", seamloom.DefaultMaxRequests,
		"the maximum number of requests in flight")
	command.RunE = func(*cobra.Command, []string) error {
		return streamCore(seamloom.New(options), os.Stdin, os.Stdout)
	}
	return command
}

// streamCore applies the events from source, one JSON value per line, and writes the decisions to target.
func streamCore(core *seamloom.Core, source io.Reader, target io.Writer) error {
	scanner := bufio.NewScanner(source)
	scanner.Buffer(make([]byte, 0, 64<<10), maxEventBytes)
	writer := bufio.NewWriter(target)
	encoder := json.NewEncoder(writer)
	for scanner.Scan() {
		if len(scanner.Bytes()) == 0 {
			continue
		}
		var event seamloom.Event
		if err := json.Unmarshal(scanner.Bytes(), &event); err != nil {
			return failure.At(failure.Malformed, "standard input", err.Error())
		}
		for _, decision := range core.Apply(event) {
			if err := encoder.Encode(decision); err != nil {
				return failure.Wrap(failure.Unreachable, err)
			}
		}
		if err := writer.Flush(); err != nil {
			return failure.Wrap(failure.Unreachable, err)
		}
	}
	return failure.Wrap(failure.Malformed, scanner.Err())
}
