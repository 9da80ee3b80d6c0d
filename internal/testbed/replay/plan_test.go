package replay

import (
	"strings"
	"testing"

	"go.uber.org/multierr"
)

// TestPlansAreChecked checks that each mistake in a day file is reported with its path.
func TestPlansAreChecked(t *testing.T) {
	plan, mistakes := ParsePlan([]byte(
		"name = \"good\"\nseed = 3\nlength_s = 20\n" +
			"[[fault]]\nkind = \"node_kill\"\nat = 4\nfor_s = 2.5\nshare = 0.2\n[closing]\nkind = \"kill_all\"\ndown_s = 1\n"))
	if mistakes != nil || plan.Faults[0].Kind != "node_kill" || plan.Closing.Down != 1 {
		t.Fatalf("got plan %+v and error %v, want the plan of the text without an error", plan, mistakes)
	}
	_, mistakes = ParsePlan([]byte(
		"length_s = 2\n[[fault]]\nkind = \"no_such\"\nat = 900\nshare = 2\ncount = 1\non = \"moon\"\n" +
			"[closing]\nkind = \"flood\"\n"))
	text := ""
	for _, mistake := range multierr.Errors(mistakes) {
		text += mistake.Error() + "\n"
	}
	for _, wanted := range []string{
		"out_of_range at /length_s", "no_such at /fault/0/kind", "out_of_range at /fault/0/at", "out_of_range at /fault/0/share",
		"no_such at /fault/0/on", "contradictory at /fault/0/count", "no_such at /closing/kind",
	} {
		if !strings.Contains(text, wanted) {
			t.Errorf("%s is missing from the mistakes\n%s", wanted, text)
		}
	}
	if _, mistakes := ParsePlan([]byte("length_s = 20\n[[fault]]\nkind = \"burst\"\nwhen = 3\n")); mistakes == nil ||
		!strings.Contains(mistakes.Error(), "unknown_field at /fault/when") {
		t.Errorf("got %v for an unknown field, want its path", mistakes)
	}
	if _, mistakes := ParsePlan([]byte("length_s = [")); mistakes == nil || !strings.Contains(mistakes.Error(),
		"malformed") {
		t.Errorf("got %v for invalid TOML, want a malformed plan", mistakes)
	}
}

// TestDrawnPlansAreValidAndReproducible draws 60 days. It checks that each is valid, that drawing again
// with the same seed and parsing the text of the day both give the same title, and that the days
// together have every kind of fault.
func TestDrawnPlansAreValidAndReproducible(t *testing.T) {
	kinds := map[string]bool{}
	for seed := range uint64(60) {
		plan := DrawPlan(seed, 5)
		text, err := plan.Text()
		if err != nil {
			t.Fatal(err)
		}
		again, mistakes := ParsePlan([]byte(text))
		if mistakes != nil || again.Title() != plan.Title() || DrawPlan(seed, 5).Title() != plan.Title() {
			t.Fatalf("seed %d: %v\n%s", seed, mistakes, text)
		}
		for _, fault := range plan.Faults {
			kinds[fault.Kind] = true
		}
	}
	for _, kind := range FaultKinds() {
		if !kinds[kind] {
			t.Errorf("no drawn day has the fault %s", kind)
		}
	}
}
