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

// mutationTimeout bounds one removal's test.
const mutationTimeout = 8 * time.Minute

// mutateCommand takes each protection away in a copy of the source and wants
// its test to fail there.
func mutateCommand() *cobra.Command {
	command := &cobra.Command{
		Use:     "mutate",
		Aliases: []string{"removals"},
		Short:   "take each protection away in a copy of the source and run the test that must then fail",
		Args:    cobra.NoArgs,
		Long: "removals copies the source to a scratch folder, takes one protection away, and runs the test that guards it,\n" +
			"for each protection. It must be run in the source's folder. A test that passes without its protection, and a\n" +
			"removal that does not apply any more, are failures.",
		Example: "  testbed mutate\n  testbed mutate --match 'claim'",
	}
	match := command.Flags().String("match", "", "only removals whose name matches this expression")
	source := command.Flags().String("source", ".", "the folder of the source")
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
				outcome = "NOT SEEN: " + text[:min(len(text), 400)]
			}
			fmt.Printf("%-66s | %-44s | %s\n", m.Name, m.Never, outcome)
		}
		if failed > 0 {
			return failure.New(failure.Contradictory, fmt.Sprintf("%d protections can go without a test seeing it", failed))
		}
		return nil
	}
	return command
}

// runMutation tells how the test saw the removal.
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
		return "", failure.New(failure.Malformed, "without it the source does not build: "+output)
	}
	if !m.Worlds {
		output, err := runIn(folder, "go", "test", "-count=1", "-run", "^("+m.Test+")", m.Package)
		if err == nil {
			return "", failure.New(failure.Missing, m.Test+" passes without it")
		}
		if !strings.Contains(output, "--- FAIL: "+m.Test) {
			return "", failure.New(failure.Malformed, m.Test+" did not run: "+output)
		}
		return m.Test + " fails", nil
	}
	arguments := append([]string{"run", "./cmd/testbed", "simulate", "--from", "1", "--count", "600", "--until-broken", m.Finds},
		m.Flags...)
	output, err := runIn(folder, "go", arguments...)
	found := regexp.MustCompile(`after (\d+) days seed (\d+) FAILED`).FindStringSubmatch(output)
	if err == nil || found == nil {
		return "", failure.New(failure.Missing, "no simulated day fails without it")
	}
	return fmt.Sprintf("worlds: seed %s fails, after %s days", found[2], found[1]), nil
}

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
