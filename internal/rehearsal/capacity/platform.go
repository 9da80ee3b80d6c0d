package capacity

import (
	"io"
	"os"
	"time"

	"seamloom.example/seamloom/internal/failure"
	"seamloom.example/seamloom/internal/rehearsal/platformday"
)

// PlatformActivities are measured with the programs of a platform's deploy file, on
// stand-ins of it: nodes that nothing is asked of, before servers that have nothing to do.
//
// Example:
//
//	activities := capacity.PlatformActivities(roles)
func PlatformActivities(roles []platformday.Role) []Activity {
	return []Activity{{Role: everyRole, Name: "the platform's processes at rest", Dimensions: []Dimension{Servers, Nodes}, Measure: func(sizes Sized, note Note) error {
		return measurePlatform(roles, sizes, note)
	}}}
}

// measurePlatform starts a deployment of three zones and looks at its processes.
func measurePlatform(roles []platformday.Role, sizes Sized, note Note) error {
	folder, err := os.MkdirTemp("", "capacity-")
	if err != nil {
		return failure.Wrap(failure.Disk, err)
	}
	defer func() { _ = os.RemoveAll(folder) }()
	site := platformday.SmallSite()
	zones := len(site.Zones)
	site.Plain = max(0, (sizes[Nodes]+zones-1)/zones-1)
	site.Services[1].PerZone = max(1, sizes[Servers]/zones/3)
	site.Services[0].PerZone = max(2, (sizes[Servers]+zones-1)/zones-site.Services[1].PerZone)
	site.Services[0].Readers = max(1, site.Services[0].PerZone*zones/5)
	day, err := platformday.NewDay(site, roles, 1, folder, io.Discard)
	if err != nil {
		return err
	}
	defer day.Close()
	if err := day.Begin(formPatience); err != nil {
		return err
	}
	// Servers are cold at first, and pools settle.
	time.Sleep(8 * time.Second)
	running := day.Running()
	before := map[int]consumption{}
	for _, one := range running {
		if before[one.Number], err = consumed(one.Number); err != nil {
			return err
		}
	}
	time.Sleep(watched)
	sums, most, counts := map[string]consumption{}, map[string]consumption{}, map[string]int{}
	for _, one := range running {
		after, err := consumed(one.Number)
		if err != nil {
			return err
		}
		used := consumption{processor: after.processor - before[one.Number].processor, moved: after.moved - before[one.Number].moved, resident: after.resident}
		sum, highest := sums[one.Role], most[one.Role]
		sums[one.Role] = consumption{processor: sum.processor + used.processor, moved: sum.moved + used.moved, resident: sum.resident + used.resident}
		if used.processor > highest.processor {
			most[one.Role] = used
		}
		counts[one.Role]++
	}
	for role, sum := range sums {
		count := float64(counts[role])
		note("processor, mean of the "+role+"s", "% of a core", 100*float64(sum.processor)/float64(watched)/count)
		note("bytes read and written, mean of the "+role+"s", "B a second", sum.moved/watched.Seconds()/count)
		note("memory, mean of the "+role+"s", "B", sum.resident/count)
		note("processor, the "+role+" that uses most", "% of a core", 100*float64(most[role].processor)/float64(watched))
		note("bytes read and written, the "+role+" that uses most", "B a second", most[role].moved/watched.Seconds())
	}
	return nil
}
