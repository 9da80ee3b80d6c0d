package main

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"seamloom.example/seamloom/internal/failure"
	"seamloom.example/seamloom/internal/testbed/mutation"
)

// mutationTimeout is the time limit of each command that is run for a mutation.
const mutationTimeout = 8 * time.Minute

// mutateCommand returns the command that removes each protection in a copy of the
// source and checks that the test of the protection then fails.
func mutateCommand() *cobra.Command {
	command := &cobra.Command{
		Use:     "mutate",
		Aliases: []string{"removals"},
		Short:   "remove each protection in a copy of the source and run the test that must then fail",
		Args:    cobra.NoArgs,
		Long: "For each protection, mutate copies the source to a scratch folder, removes the protection, and runs the test that\n" +
			"covers it. A test that passes without its protection is a failure, and so is a mutation that no longer\n" +
			"applies to the source. Run it in the root folder of the source tree, or name that folder with --source.",
		Example: "  testbed mutate\n  testbed mutate --match 'claim'",
	}
	match := command.Flags().String("match", "", "run only mutations whose name matches this regular expression")
	source := command.Flags().String("source", ".", "root folder of the source tree")
	command.RunE = func(*cobra.Command, []string) error {
		chosen, err := regexp.Compile(*match)
		if err != nil {
			return failure.Wrap(failure.Malformed, err)
		}
		scratch, err := os.MkdirTemp("", "removals-")
		if err != nil {
			return failure.Wrap(failure.Disk, err)
		}
		defer func() { _ = os.RemoveAll(scratch) }()
		failed := 0
		for number, m := range mutation.All {
			if !chosen.MatchString(m.Name) {
				continue
			}
			outcome, err := runMutation(m, *source, filepath.Join(scratch, fmt.Sprint(number)))
			if err != nil {
				failed++
				text := err.Error()
				outcome = "NOT DETECTED: " + text[:min(len(text), 400)]
			}
			fmt.Printf("%-66s | %-44s | %s\n", m.Name, m.Violation, outcome)
		}
		if failed > 0 {
			return failure.New(failure.Contradictory, fmt.Sprintf("%d mutations were not detected by their test", failed))
		}
		return nil
	}
	return command
}

// runMutation applies a mutation to a copy of the source and runs the test of the removed
// protection. It returns a text that says how the test detected the mutation, or an error if
// the test did not detect the mutation.
func runMutation(m mutation.Mutation, source, folder string) (string, error) {
	if err := os.CopyFS(folder, os.DirFS(source)); err != nil {
		return "", failure.Wrap(failure.Disk, err)
	}
	defer func() { _ = os.RemoveAll(folder) }()
	if err := m.Apply(folder); err != nil {
		return "", err
	}
	if output, err := runIn(folder, "go", "vet", "./internal/wire", "./internal/follower", "./internal/controlplane",
		"./internal/dataplane", "./internal/replication", "./internal/auction", "./internal/lease",
		"./internal/adapters/..."); err != nil {
		return "", failure.New(failure.Malformed, "the mutated source does not build: "+output)
	}
	if !m.Simulated {
		output, err := runIn(folder, "go", "test", "-count=1", "-run", "^("+m.Test+")", m.Package)
		if err == nil {
			return "", failure.New(failure.Missing, m.Test+" passes with the mutation")
		}
		if !strings.Contains(output, "--- FAIL: "+m.Test) {
			return "", failure.New(failure.Malformed, m.Test+" did not run: "+output)
		}
		return m.Test + " fails", nil
	}
	arguments := append([]string{"run", "./cmd/testbed", "simulate", "--from", "1", "--count", "600", "--until-broken", m.Checker},
		m.Flags...)
	output, err := runIn(folder, "go", arguments...)
	found := regexp.MustCompile(`after (\d+) days seed (\d+) FAILED`).FindStringSubmatch(output)
	if err == nil || found == nil {
		return "", failure.New(failure.Missing, "no simulated day fails with the mutation")
	}
	return fmt.Sprintf("simulation: seed %s fails, after %s days", found[2], found[1]), nil
}

// runIn runs a program in a folder and returns its output.
func runIn(folder, program string, arguments ...string) (string, error) {
	lifetime, end := context.WithTimeout(context.Background(), mutationTimeout)
	defer end()
	command := exec.CommandContext(lifetime, program, arguments...)
	command.Dir = folder
	var output bytes.Buffer
	command.Stdout, command.Stderr = &output, &output
	err := command.Run()
	return output.String(), err
}
