package fleet

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/url"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"seamloom.example/seamloom/internal/dataplane"
)

func post(t *testing.T, address, path, body string) (int, http.Header, string) {
	t.Helper()
	inbound, err := (&http.Client{Timeout: 20 * time.Second}).Post("http://"+address+path, "application/json",
		bytes.NewReader([]byte(body)))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = inbound.Body.Close() }()
	content, err := io.ReadAll(inbound.Body)
	if err != nil {
		t.Fatal(err)
	}
	return inbound.StatusCode, inbound.Header, string(content)
}

// TestBadInputIsRefusedWithItsReason sends invalid requests and changes to a running fleet.
// Each must be refused with its type, and the configuration must not change. Nodes must also
// refuse garbage on their internal paths and stay ready, and a fleet with only one of its three
// controllers must refuse changes and requests.
func TestBadInputIsRefusedWithItsReason(t *testing.T) {
	fleet := startFleet(t, Sahil(), nil)
	day := openDay(t, fleet, 6)
	routerAddress := fleet.Routers[0].Node.Address
	for name, want := range map[string]struct {
		body   string
		status int
		kind   string
	}{
		"no JSON":                {`{"id":`, 400, "malformed"},
		"a list":                 {`[]`, 400, "wrong_type"},
		"an unknown field":       {`{"id":"a","service":"rider-chat","colour":"red"}`, 400, "unknown_field"},
		"no service":             {`{"id":"a"}`, 400, "missing"},
		"a wrong type":           {`{"id":"a","service":"rider-chat","pieces":"many"}`, 400, "wrong_type"},
		"an id without its time": {`{"id":"a","service":"rider-chat","repeatable":false}`, 400, "malformed"},
		"an unknown service":     {`{"id":"a","service":"nothing"}`, 404, "unknown_service"},
		"too long a prompt":      {`{"id":"a","service":"rider-chat","prompt_tokens":90000000}`, 400, "out_of_range"},
		"a body that is too big": {`{"id":"a","service":"rider-chat","prompt":"` + strings.Repeat("x",
			dataplane.MaxRequestBytes) + `"}`, 413, "oversize"},
	} {
		status, _, body := post(t, routerAddress, "/v1/inquiries", want.body)
		if status != want.status || !strings.Contains(body, `"type":"`+want.kind+`"`) || !strings.Contains(body,
			`"ran":false`) {
			t.Errorf("%s: got %d %.200s, want %d and type %s", name, status, body, want.status, want.kind)
		}
	}
	// A request that is not idempotent must be refused when its id is sent again to any router.
	id := dataplane.NewRequestID()
	once := `{"id":"` + id + `","service":"rider-chat","repeatable":false,"prompt_tokens":80,"pieces":3}`
	if status, _, body := post(t, routerAddress, "/v1/inquiries", once); status != 200 || !strings.Contains(body,
		`"final":"complete"`) {
		t.Errorf("a request that is not idempotent: got %d %s, want a complete reply", status, body)
	}
	for _, node := range fleet.Routers[:3] {
		if status, _, body := post(t, node.Node.Address, "/v1/inquiries", once); status != 409 || !strings.Contains(body,
			"duplicate_inquiry") {
			t.Errorf("a used id at %s: got %d %s, want 409 duplicate_inquiry", node.Node.Name, status, body)
		}
	}
	old := "017f22e2-79b0-7cc3-98c4-dc0c0c07398f"
	if status, _, body := post(t, routerAddress, "/v1/inquiries", strings.Replace(once, id, old, 1)); status != 409 ||
		!strings.Contains(body, "inquiry_too_old") {
		t.Errorf("an id from years ago: got %d %s, want 409 inquiry_too_old", status, body)
	}
	before, revision := day.Operators.ReadRevision(fleet.Controllers[0])
	for name, want := range map[string]struct {
		method, body, expected string
		status                 int
		kinds                  []string
	}{
		"no JSON": {http.MethodPut, `{`, before.Version, 422, []string{"malformed"}},
		"all mistakes at once": {http.MethodPut, `{"services":{"a":{"tries":99}},"routes":{"r":{"order":"x"}},"colour":1}`,
			before.Version, 422, []string{"out_of_range", "wrong_type", "missing", "unknown_field"}},
		"a contradiction": {http.MethodPatch, `{"routes":{"r":{"match":{"service":"nothing"},"to":{"refuse":true}}}}`,
			before.Version, 422, []string{"contradictory"}},
		"an old version": {http.MethodPut, `{}`, "1.1", 409, []string{"version_conflict", before.Version}},
		"no version":     {http.MethodPut, `{}`, "", 400, []string{"missing"}},
		"too big": {http.MethodPut, `{"services":{"a":{"` + strings.Repeat("x", 17<<20) + `":1}}}`,
			before.Version, 422, []string{"oversize"}},
	} {
		for _, node := range fleet.Controllers {
			outbound, err := http.NewRequest(want.method,
				"http://"+node.Node.Address+"/v1/configuration?"+url.Values{"expected": {want.expected}}.Encode(),
				strings.NewReader(want.body))
			if err != nil {
				t.Fatal(err)
			}
			inbound, err := day.Operators.client.Do(outbound)
			if err != nil {
				t.Errorf("%s: %v", name, err)
				continue
			}
			content, _ := io.ReadAll(inbound.Body)
			_ = inbound.Body.Close()
			for _, kind := range want.kinds {
				if inbound.StatusCode != want.status || !strings.Contains(string(content), kind) {
					t.Errorf("%s at %s: got %d %.300s, want %d and %s", name, node.Node.Name, inbound.StatusCode, content,
						want.status, kind)
				}
			}
		}
	}
	if after, revisionAfter := day.Operators.ReadRevision(fleet.Controllers[1]); after.Version != before.Version || revisionAfter != revision {
		t.Errorf("refused changes took effect: got version %s, want %s", after.Version, before.Version)
	}
	defer func() {
		// Without two of the three controllers, a change is answered with the reason why it
		// is not accepted, and clients are refused at once after the router's lease has
		// expired.
		fleet.Controllers[0].Kill()
		fleet.Controllers[1].Kill()
		if !Await(12*time.Second, func() bool {
			answer, err := day.Operators.Call(fleet.Controllers[2], http.MethodPut, "/v1/configuration",
				url.Values{"expected": {before.Version}}, `{}`)
			return err == nil && answer.Status == http.StatusServiceUnavailable && answer.Outcome == "not_accepted" &&
				answer.Type == "no_primary"
		}) {
			t.Error("with one of three controllers, a change is not answered with 503, not_accepted and no_primary")
		}
		refusal := func() bool {
			began := time.Now()
			status, header, body := post(t, routerAddress, "/v1/inquiries", `{"id":"late","service":"rider-chat","pieces":1}`)
			return status == http.StatusServiceUnavailable && strings.Contains(body, "no_hold") &&
				header.Get("Retry-After") != "" && time.Since(began) < 2*time.Second
		}
		if !Await(12*time.Second, refusal) {
			t.Error("with one of three controllers, a client is not refused at once with a Retry-After header")
		}
	}()
	// Nodes refuse garbage on the paths over which they talk to each other, and stay ready.
	for _, node := range fleet.Nodes() {
		for _, path := range []string{"/hotline/news", "/hotline/hello", "/hotline/larder/replicate", "/hotline/relay"} {
			if status, _, _ := post(t, node.Node.Address, path, "\x93garbage"); status == 200 {
				t.Errorf("%s accepted garbage at %s", node.Node.Name, path)
			}
		}
		if !node.Ready() {
			t.Errorf("%s is not ready after garbage", node.Node.Name)
		}
	}
}

// TestClientDisconnectCancelsItsWork closes a client's connection in the middle of a reply.
// The server must stop the work soon, long before the reply would be complete.
func TestClientDisconnectCancelsItsWork(t *testing.T) {
	fleet := startFleet(t, Sahil(), nil)
	openDay(t, fleet, 7)
	lifetime, disconnect := context.WithCancel(context.Background())
	defer disconnect()
	body := `{"id":"leaver","service":"rider-chat","prompt_tokens":80,"pieces":500}`
	outbound, err := http.NewRequestWithContext(lifetime, http.MethodPost,
		"http://"+fleet.Routers[0].Node.Address+"/v1/inquiries", strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	inbound, err := http.DefaultClient.Do(outbound)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = inbound.Body.Close() }()
	if _, err := inbound.Body.Read(make([]byte, 10)); err != nil {
		t.Fatal(err)
	}
	active := func() int {
		count := 0
		for _, name := range fleet.ServerNames() {
			count += fleet.Server(name).Active()
		}
		return count
	}
	if active() != 1 {
		t.Fatalf("got %d decodes in progress, want 1", active())
	}
	disconnect()
	if !Await(2*time.Second, func() bool { return active() == 0 }) {
		t.Error("the server still works for a client that has disconnected")
	}
}

// TestOperatorsCommandLine runs the controller's operator subcommands and checks their exit
// codes and output, because scripts depend on them.
func TestOperatorsCommandLine(t *testing.T) {
	fleet := startFleet(t, Sahil(), nil)
	day := openDay(t, fleet, 8)
	var addresses []string
	for _, node := range fleet.Controllers {
		addresses = append(addresses, node.Node.Address)
	}
	file := filepath.Join(t.TempDir(), "usage.parquet")
	run := func(arguments ...string) (int, string) {
		command := exec.Command(filepath.Join(binaries, "controller"),
			append(arguments, "--to", strings.Join(addresses, ","))...)
		output, _ := command.CombinedOutput()
		return command.ProcessState.ExitCode(), string(output)
	}
	patch := filepath.Join(t.TempDir(), "patch.json")
	expected := ""
	for _, step := range []struct {
		arguments  []string
		text       string
		code       int
		wantOutput string
	}{
		{[]string{"get"}, "", 0, `"edition-1"`},
		{[]string{"status"}, "", 0, "are decided by"},
		{[]string{"status", "--json"}, "", 0, `"holds_live_milliseconds"`},
		{[]string{"evacuate", "medina", "--reason", "power work"}, "", 0, `"accepted"`},
		{[]string{"get"}, "", 0, "power work"},
		{[]string{"restore", "medina"}, "", 0, `"accepted"`},
		{[]string{"patch", patch, "--change", "change-1"}, `{"routes":{"extra":{"order":3,"to":{}}}}`, 0, `"accepted"`},
		{[]string{"patch", patch, "--change", "change-2", "--expected", "VERSION"}, `{"routes":{"extra":{"order":4,"to":{}}}}`, 0,
			`"accepted"`},
		{[]string{"patch", patch, "--change", "change-2", "--expected", "VERSION"}, `{"routes":{"extra":{"order":4,"to":{}}}}`, 0,
			`"accepted"`},
		{[]string{"patch", patch, "--change", "change-1"}, `{"routes":{"extra":null}}`, 1, "another change"},
		{[]string{"change", "change-1"}, "", 0, `"accepted"`},
		{[]string{"change", "change-3"}, "", 1, "not_accepted"},
		{[]string{"put", patch, "--expected", "1.1"}, `{}`, 1, "version_conflict"},
		{[]string{"patch", patch, "--builds-on", "0"}, `{"revision":3}`, 0, `"accepted"`},
		{[]string{"patch", patch, "--builds-on", "0"}, `{"revision":3}`, 0, `"accepted"`},
		{[]string{"patch", patch, "--builds-on", "0"}, `{"revision":4}`, 1, "at revision 3"},
		{[]string{"patch", patch, "--builds-on", "3"}, `{"revision":3,"routes":{}}`, 1, "above 3"},
		{[]string{"patch", patch, "--builds-on", "3"}, `{"revision":5,"routes":{"extra":{"order":5,"to":{}}}}`, 0, `"accepted"`},
		{[]string{"patch", patch}, `{"colour":1}`, 1, "/colour"},
		{[]string{"flags"}, "", 0, "order_patience"},
		{[]string{"flags", "order_patience"}, "", 0, `"why"`},
		{[]string{"flags", "no_such"}, "", 1, "no_such"},
		{[]string{"retire", "courier-1"}, "", 1, "running"},
		{[]string{"retire", "nobody"}, "", 1, "no_such"},
		{[]string{"usage", file, "--format", "parquet"}, "", 0, ""},
		{[]string{"usage", file, "--format", "cloth"}, "", 2, "csv or parquet"},
	} {
		if err := os.WriteFile(patch, []byte(step.text), 0o644); err != nil {
			t.Fatal(err)
		}
		for position, argument := range step.arguments {
			if argument == "VERSION" {
				// The change is sent twice; both times it expects the version before the first
				// time.
				if expected == "" {
					answer, _ := day.Operators.ReadRevision(fleet.Controllers[0])
					expected = answer.Version
				}
				step.arguments[position] = expected
			}
		}
		if code, output := run(step.arguments...); code != step.code || !strings.Contains(output, step.wantOutput) {
			t.Errorf("%v: got exit code %d, want %d, with %q in the output:\n%.400s", step.arguments, code, step.code, step.wantOutput,
				output)
		}
	}
	if written, err := os.Stat(file); err != nil || written.Size() == 0 {
		t.Errorf("the usage file is missing or empty: %v", err)
	}
	addresses = []string{"127.0.0.1:9"}
	if code, output := run("get"); code != 4 {
		t.Errorf("no reachable controller: got exit code %d, want 4\n%s", code, output)
	}
}

// TestSettingsNameAllMistakesAtOnce starts a router with invalid settings and checks that it
// exits with 2 and names every mistake.
func TestSettingsNameAllMistakesAtOnce(t *testing.T) {
	output, err := exec.Command(filepath.Join(binaries, "router"), "serve", "--name", "not a name", "--address", "here",
		"--seeds", "127.0.0.1:1,127.0.0.1:1", "--market", "bazaar").CombinedOutput()
	exit, ended := err.(*exec.ExitError)
	if !ended || exit.ExitCode() != 2 {
		t.Fatalf("invalid settings: got %v, want exit code 2", err)
	}
	for _, mistake := range []string{"name", "address", "district", "seeds", "platform", "market", "listed twice"} {
		if !strings.Contains(string(output), mistake) {
			t.Errorf("%q is missing from the output:\n%s", mistake, output)
		}
	}
	if strings.Contains(string(output), "panic") {
		t.Errorf("the program panicked:\n%s", output)
	}
	if output, err := exec.Command(filepath.Join(binaries, "controller"), "--help").CombinedOutput(); err != nil ||
		!strings.Contains(string(output), "evacuate") {
		t.Errorf("help: got error %v, want help with \"evacuate\":\n%s", err, output)
	}
}

// TestProgramsThatCannotStartSayWhy starts programs on a busy address, with a data folder
// that is a file, and on a full disk. Each must end soon, with exit code 1 and the reason.
func TestProgramsThatCannotStartSayWhy(t *testing.T) {
	folder := t.TempDir()
	busy, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = busy.Close() }()
	addresses, err := freeAddresses(1)
	if err != nil {
		t.Fatal(err)
	}
	file := filepath.Join(folder, "a-file")
	if err := os.WriteFile(file, nil, 0o644); err != nil {
		t.Fatal(err)
	}
	faults := filepath.Join(folder, "faults")
	if err := (NodeFaults{Disk: "full"}).Write(faults); err != nil {
		t.Fatal(err)
	}
	common := func(address string) []string {
		return []string{"--name", "node-1", "--address", address, "--district", "harbour",
			"--seeds", "127.0.0.1:1,127.0.0.1:2,127.0.0.1:3", "--platform", "127.0.0.1:4"}
	}
	for name, want := range map[string]struct {
		program    string
		arguments  []string
		wantOutput string
	}{
		"busy address": {"router", append([]string{"serve"}, common(busy.Addr().String())...), "address already in use"},
		"a data folder that is a file": {"controller", append([]string{"serve", "--data-folder", file},
			common(addresses[0])...), "not a directory"},
		"a full disk": {"testbed", append([]string{"script-controller", "--data-folder", filepath.Join(folder, "disk"), "--faults", faults},
			common(addresses[0])...), "no space left"},
	} {
		command := exec.Command(filepath.Join(binaries, want.program), want.arguments...)
		var output strings.Builder
		command.Stdout, command.Stderr = &output, &output
		if err := command.Start(); err != nil {
			t.Fatal(err)
		}
		ended := make(chan error, 1)
		go func() { ended <- command.Wait() }()
		timeout := time.NewTimer(20 * time.Second)
		select {
		case <-ended:
		case <-timeout.C:
			_ = command.Process.Kill()
			t.Errorf("%s: the program did not end within 20 seconds", name)
		}
		timeout.Stop()
		if code := command.ProcessState.ExitCode(); code != 1 || !strings.Contains(output.String(), want.wantOutput) ||
			strings.Contains(output.String(), "panic") {
			t.Errorf("%s: got exit code %d, want 1 with %q in the output:\n%s", name, code, want.wantOutput, output.String())
		}
	}
}

// TestFleetStartsWithoutAPlatform starts a fleet while the platform is down. The core must
// elect a primary, and the fleet must be ready soon after the platform is up again.
func TestFleetStartsWithoutAPlatform(t *testing.T) {
	fleet, err := NewFleet(Sahil(), t.TempDir(), binaries, nil)
	if err != nil {
		t.Fatal(err)
	}
	closeAtTestEnd(t, fleet)
	fleet.Platform.SetDown(true)
	for _, node := range fleet.Nodes() {
		if err := node.Begin(); err != nil {
			t.Fatal(err)
		}
	}
	if !Await(20*time.Second, func() bool { return fleet.Primary() != nil }) {
		t.Fatal("the core has no primary while the platform is down")
	}
	for _, node := range fleet.Nodes() {
		if !node.Running() {
			t.Errorf("%s ended while the platform was down", node.Node.Name)
		}
	}
	fleet.Platform.SetDown(false)
	if err := fleet.AwaitReady(20 * time.Second); err != nil {
		t.Fatal(err)
	}
}

// TestStreamGivesTheSameDecisionsForTheSameEvents runs the router's stream command twice on
// the same events and checks that its decisions are the same and as expected.
func TestStreamGivesTheSameDecisionsForTheSameEvents(t *testing.T) {
	events := strings.Join([]string{
		`{"event":"servers_listed","at":"2026-01-02T18:00:00Z","servers":[` +
			`{"name":"a","address":"10.0.0.1:80","district":"north"},{"name":"b","address":"10.0.0.2:80","district":"north"}]}`,
		`{"event":"load_reported","at":"2026-01-02T18:00:00Z","load":{"server":"a","part":"prefill","age":3600000000000,` +
			`"prefill_rate":20000,"prefill_room":8,"link_rate":400000}}`,
		`{"event":"load_reported","at":"2026-01-02T18:00:00Z","load":{"server":"b","part":"decode","age":3600000000000,` +
			`"decode_slots":8,"piece_time":8000000,"memory_free":100000,"link_rate":400000}}`,
		`{"event":"flags_read","at":"2026-01-02T18:00:00Z"}`,
		`{"event":"menu_received","at":"2026-01-02T18:00:00Z","epoch":1,"number":1,"menu":"` +
			"eyJzZXJ2aWNlcyI6eyJjaGF0Ijp7fX0sInJvdXRlcyI6eyJhbGwiOnsidG8iOnt9fX19" + `"}`,
		`{"event":"hold_renewed","at":"2026-01-02T18:00:00Z","epoch":1,"number":1,"hold_ends":"2026-01-02T18:00:04Z"}`,
		`{"event":"inquiry_arrived","at":"2026-01-02T18:00:01Z","inquiry":{"id":"one","service":"chat","repeatable":true,` +
			`"prompt_tokens":100,"pieces":2}}`,
		`{"event":"prefill_answered","at":"2026-01-02T18:00:01Z","id":"one","run":1,"outcome":"done","handle":"h"}`,
	}, "\n") + "\n"
	var outputs []string
	for range 2 {
		command := exec.Command(filepath.Join(binaries, "router"), "stream", "--name", "courier-1", "--district", "north")
		command.Stdin = strings.NewReader(events)
		output, err := command.Output()
		if err != nil {
			t.Fatal(err)
		}
		outputs = append(outputs, string(output))
	}
	if outputs[0] != outputs[1] {
		t.Errorf("two runs on the same events differ:\n%s\n%s", outputs[0], outputs[1])
	}
	var kinds []string
	for _, line := range strings.Split(strings.TrimSpace(outputs[0]), "\n") {
		var decision struct{ Decision string }
		if err := json.Unmarshal([]byte(line), &decision); err != nil {
			t.Fatal(err)
		}
		kinds = append(kinds, decision.Decision)
	}
	if got := strings.Join(kinds, " "); got != "note_pair prefill decode" {
		t.Errorf("got decisions %q, want \"note_pair prefill decode\"", got)
	}
}
