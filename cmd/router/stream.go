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

// mostEventLine bounds one event on standard input.
const mostEventLine = 16 << 20

func streamCommand() *cobra.Command {
	options := seamloom.Options{Supported: seamloom.Supported(nil)}
	command := &cobra.Command{Use: "stream", Short: "run the bare core: events as JSON lines in, decisions as JSON lines out", Args: cobra.NoArgs,
		Long: "stream reads one event a line from standard input, applies it to the core, and writes each decision as a line.\n" +
			"Nothing else happens: no clock is read and nothing is sent. The same events give the same decisions.",
		Example: "  router stream --name router-1 --district north < events.jsonl > decisions.jsonl"}
	command.Flags().StringVar(&options.Router, "name", "courier", "the courier's name")
	command.Flags().StringVar(&options.Zone, "district", "", "the courier's zone")
	command.Flags().IntVar(&options.MaxRequests, "most-inquiries", seamloom.DefaultMaxRequests, "how many inquiries are let in at once")
	command.RunE = func(*cobra.Command, []string) error {
		return streamCore(seamloom.New(options), os.Stdin, os.Stdout)
	}
	return command
}

func streamCore(core *seamloom.Core, source io.Reader, target io.Writer) error {
	lines := bufio.NewScanner(source)
	lines.Buffer(make([]byte, 0, 64<<10), mostEventLine)
	written := bufio.NewWriter(target)
	encoder := json.NewEncoder(written)
	for lines.Scan() {
		if len(lines.Bytes()) == 0 {
			continue
		}
		var event seamloom.Event
		if err := json.Unmarshal(lines.Bytes(), &event); err != nil {
			return failure.At(failure.Malformed, "standard input", err.Error())
		}
		for _, decision := range core.Apply(event) {
			if err := encoder.Encode(decision); err != nil {
				return failure.Wrap(failure.Unreachable, err)
			}
		}
		if err := written.Flush(); err != nil {
			return failure.Wrap(failure.Unreachable, err)
		}
	}
	return failure.Wrap(failure.Malformed, lines.Err())
}
