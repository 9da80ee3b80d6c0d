package main

import (
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"

	"github.com/spf13/cobra"
	"go.uber.org/multierr"

	"seamloom.example/seamloom/internal/failure"
	"seamloom.example/seamloom/internal/rehearsal/capacity"
	"seamloom.example/seamloom/internal/rehearsal/platformday"
)

// capacityCommand measures what control costs as a fleet grows.
func capacityCommand() *cobra.Command {
	plan := capacity.Plan{Repeats: 3}
	command := &cobra.Command{Use: "capacity", Short: "what control costs at several sizes of the fleet, on hollow nodes", Args: cobra.NoArgs,
		Example: "  rehearsal capacity --folder docs/capacity\n  rehearsal capacity --only 'market choice' --repeats 5\n  rehearsal capacity --sizes nodes=10,30 --sizes servers=9,100"}
	set := command.Flags()
	set.StringVar(&plan.Only, "only", "", "measure only the activities whose role and name have this in them")
	set.IntVar(&plan.Repeats, "repeats", plan.Repeats, "how many times everything is measured")
	sizes := set.StringArray("sizes", nil, "other sizes of a dimension, as nodes=10,30")
	base := set.StringArray("base", nil, "another size of a dimension that stands still, as servers=1100")
	folder := set.String("folder", "", "write readings.csv and a plot of each line into this folder (default: the lines alone, to the screen)")
	processes := set.Bool("processes", false, "measure fleets with real processes too, whose programs are beside this one")
	platform := set.String("platform", "", "measure the programs of the deploy file too, which are in this folder")
	deploy := set.String("deploy", "deploy/system.toml", "the deploy file")
	quiet := set.Bool("quiet", false, "don't say what is measured at the moment")
	command.RunE = func(*cobra.Command, []string) error {
		var err error
		if plan.Sizes, err = readSizes(*sizes); err != nil {
			return err
		}
		stands, err := readSizes(*base)
		if err != nil {
			return err
		}
		plan.Base = capacity.Sized{}
		for dimension, sizes := range stands {
			plan.Base[dimension] = sizes[0]
		}
		if !*quiet {
			plan.Told = func(activity capacity.Activity, dimension capacity.Dimension, size, repeat int) {
				_, _ = fmt.Fprintf(os.Stderr, "%d: %s: %s, %d %s\n", repeat+1, activity.Role, activity.Name, size, dimension)
			}
		}
		activities := capacity.Activities()
		if *processes {
			binaries, found := capacity.BinariesBeside()
			if !found {
				return failure.New(failure.Missing, "courier and expediter are not beside this program")
			}
			activities = append(activities, capacity.FleetActivities(binaries)...)
		}
		if *platform != "" {
			roles, err := platformday.ReadRoles(*deploy, *platform)
			if err != nil {
				return mistaken{err}
			}
			activities = append(activities, capacity.PlatformActivities(roles)...)
		}
		readings, broken := plan.Run(activities)
		// What was read before something failed is kept.
		fits := capacity.FitAll(readings)
		broken = multierr.Append(broken, failure.Wrap(failure.Disk, capacity.WriteFits(os.Stdout, fits)))
		if *folder != "" {
			broken = multierr.Append(broken, saveCapacity(*folder, readings, fits))
		}
		return broken
	}
	return command
}

// readSizes reads sizes such as nodes=10,30.
func readSizes(texts []string) (map[capacity.Dimension][]int, error) {
	sizes := map[capacity.Dimension][]int{}
	for _, text := range texts {
		name, list, _ := strings.Cut(text, "=")
		if _, found := capacity.Sizes[capacity.Dimension(name)]; !found {
			return nil, failure.New(failure.NoSuch, "no dimension "+name)
		}
		for _, entry := range strings.Split(list, ",") {
			size, err := strconv.Atoi(entry)
			if err != nil || size < 1 {
				return nil, failure.At(failure.OutOfRange, name, "needs sizes such as 10,30")
			}
			sizes[capacity.Dimension(name)] = append(sizes[capacity.Dimension(name)], size)
		}
	}
	return sizes, nil
}

func saveCapacity(folder string, readings []capacity.Reading, fits []capacity.Fit) error {
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return failure.Wrap(failure.Disk, err)
	}
	file, err := os.Create(filepath.Join(folder, "readings.csv"))
	if err != nil {
		return failure.Wrap(failure.Disk, err)
	}
	defer func() { _ = file.Close() }()
	if err := capacity.WriteCSV(file, readings); err != nil {
		return err
	}
	for _, fit := range fits {
		if err := fit.Plot(readings, folder); err != nil {
			return err
		}
	}
	return nil
}
