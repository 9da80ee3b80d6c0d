package capacity

import (
	"os"
	"strconv"
	"strings"
	"time"

	"seamloom.example/seamloom/internal/failure"
)

// consumption is what a process has used so far.
type consumption struct {
	processor time.Duration
	resident  float64
	// moved are the bytes of all its reads and writes: sockets, files and log.
	moved float64
	at    time.Time
}

// clockTick is the unit of the processor times in /proc.
const clockTick = 10 * time.Millisecond

// consumed reads what a process has used.
func consumed(number int) (consumption, error) {
	used := consumption{at: time.Now()}
	folder := "/proc/" + strconv.Itoa(number) + "/"
	text, err := os.ReadFile(folder + "stat")
	if err != nil {
		return used, failure.Wrap(failure.Unreachable, err)
	}
	// The name, in brackets, may have blanks in it.
	fields := strings.Fields(string(text[strings.LastIndexByte(string(text), ')')+1:]))
	for _, position := range []int{11, 12} {
		ticks, err := strconv.Atoi(fields[position])
		if err != nil {
			return used, failure.Wrap(failure.Garbage, err)
		}
		used.processor += time.Duration(ticks) * clockTick
	}
	used.resident = 1024 * procField(folder+"status", "VmRSS:")
	used.moved = procField(folder+"io", "rchar:") + procField(folder+"io", "wchar:")
	return used, nil
}

// procField is the number behind a name in one of the files of /proc.
func procField(path, name string) float64 {
	text, err := os.ReadFile(path)
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(text)) {
		if rest, found := strings.CutPrefix(line, name); found {
			value, _ := strconv.ParseFloat(strings.Fields(rest)[0], 64)
			return value
		}
	}
	return 0
}

// noteProcess notes what a process used between two looks.
func noteProcess(note Note, of string, before, after consumption) {
	length := after.at.Sub(before.at)
	note("processor, "+of, "% of a core", 100*float64(after.processor-before.processor)/float64(length))
	note("bytes read and written, "+of, "B a second", (after.moved-before.moved)/length.Seconds())
	note("memory, "+of, "B", after.resident)
}
