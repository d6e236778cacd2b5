package operatorhint

import (
	"bytes"
	"errors"
	"fmt"
	"log/slog"
	"strings"
	"testing"
)

type hinted struct{}

func (hinted) Error() string { return "disk full" }
func (hinted) Hint() string  { return "Make room." }

// For finds the hint of an error that is wrapped or joined with others.
func TestForFindsHint(t *testing.T) {
	for name, test := range map[string]struct {
		err  error
		want string
	}{
		"hinted":  {hinted{}, "Make room."},
		"wrapped": {fmt.Errorf("ledger: %w", hinted{}), "Make room."},
		"joined":  {errors.Join(errors.New("other"), hinted{}), "Make room."},
		"without": {errors.New("other"), ""},
		"nil":     {nil, ""},
	} {
		if got := For(test.err); got != test.want {
			t.Errorf("%s: hint %q, want %q", name, got, test.want)
		}
	}
}

// Operators search log lines for these keys.
func TestAttrWritesErrorAndHint(t *testing.T) {
	var line bytes.Buffer
	slog.New(slog.NewTextHandler(&line, nil)).Error("fault", Attr(hinted{}))
	if want := "err=\"disk full\" remedy=\"Make room.\"\n"; !strings.HasSuffix(line.String(), want) {
		t.Errorf("logged %q, want %q at its end", line.String(), want)
	}
}
