package failure

import (
	stderrors "errors"
	"fmt"
	"testing"
)

func ExampleCodeOf() {
	err := fmt.Errorf("save the state: %w", New(Disk, "no space left"))
	fmt.Println(CodeOf(err), DetailOf(err))
	fmt.Println(stderrors.Is(err, &Error{Code: Disk}), stderrors.Is(err, &Error{Code: Busy}))
	// Output:
	// disk no space left
	// true false
}

// TestWrapKeepsTheFirstCode checks that Wrap assigns its code only to errors that have none.
func TestWrapKeepsTheFirstCode(t *testing.T) {
	for _, test := range []struct {
		name  string
		cause error
		code  Code
	}{
		{"nil", nil, Unclassified},
		{"no code", stderrors.New("x"), Disk},
		{"a code", New(Busy, "x"), Busy},
		{"a wrapped code", fmt.Errorf("y: %w", At(Missing, "/a", "x")), Missing},
	} {
		t.Run(test.name, func(t *testing.T) {
			err := Wrap(Disk, test.cause)
			if (err == nil) != (test.cause == nil) {
				t.Fatalf("Wrap(%v) = %v, want nil only for a nil cause", test.cause, err)
			}
			if got := CodeOf(err); got != test.code {
				t.Errorf("got code %s, want %s", got, test.code)
			}
			if err != nil && !stderrors.Is(err, &Error{Code: test.code}) {
				t.Errorf("errors.Is(%v, code %s) = false, want true", err, test.code)
			}
			if stderrors.Is(err, &Error{Code: test.code, Detail: "another"}) {
				t.Errorf("errors.Is(%v) = true for a target with another detail, want false", err)
			}
		})
	}
}
