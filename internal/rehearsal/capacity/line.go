package capacity

import (
	"sync"
	"time"

	"seamloom.example/seamloom/internal/failure"
	"seamloom.example/seamloom/internal/hatch"
)

// traffic is what went over one path.
type traffic struct {
	Messages int
	Bytes    int
}

// line joins hollow nodes in one process by direct calls that carry the real
// msgpack, and counts them.
type line struct {
	mutex   sync.Mutex
	nodes   map[string]hatch.Answers
	paths   map[string]traffic
	byNode  map[string]traffic
	capture map[string][]byte
}

func newLine() *line {
	return &line{nodes: map[string]hatch.Answers{}, paths: map[string]traffic{}, byNode: map[string]traffic{}, capture: map[string][]byte{}}
}

func (line *line) join(address string, answers hatch.Answers) {
	line.mutex.Lock()
	defer line.mutex.Unlock()
	line.nodes[address] = answers
}

// CallRaw answers at once.
func (line *line) CallRaw(address, path string, body []byte, _ time.Duration) ([]byte, error) {
	line.mutex.Lock()
	answers, found := line.nodes[address]
	line.mutex.Unlock()
	if !found {
		return nil, failure.New(failure.Unreachable, "nobody is at "+address)
	}
	answer, err := answers.Answer(path, body)
	line.mutex.Lock()
	defer line.mutex.Unlock()
	count := line.paths[path]
	line.paths[path] = traffic{count.Messages + 1, count.Bytes + len(body) + len(answer)}
	count = line.byNode[address]
	line.byNode[address] = traffic{count.Messages + 1, count.Bytes + len(body) + len(answer)}
	if len(body) > len(line.capture[path]) {
		line.capture[path] = body
	}
	return answer, err
}

// counts are the traffic by path so far.
func (line *line) counts() map[string]traffic {
	line.mutex.Lock()
	defer line.mutex.Unlock()
	counted := map[string]traffic{}
	for path, count := range line.paths {
		counted[path] = count
	}
	return counted
}
