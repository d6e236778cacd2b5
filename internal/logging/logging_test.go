package logging

import (
	"bytes"
	"log/slog"
	"testing"
)

// A logger that was made before slog.SetDefault writes to the new default logger, with its component.
func TestLoggerFollowsDefault(t *testing.T) {
	logger := For("upstream")
	var out bytes.Buffer
	before := slog.Default()
	t.Cleanup(func() { slog.SetDefault(before) })
	slog.SetDefault(slog.New(slog.NewTextHandler(&out, &slog.HandlerOptions{ReplaceAttr: withoutTime})))

	logger.Debug("below the level")
	logger.Info("endpoint ejected", KeyEndpoint, "s-1")
	logger.With(KeyPeer, "r2").WithGroup("g").With("a", 1).Info("grouped", "b", 2)

	want := "level=INFO msg=\"endpoint ejected\" component=upstream endpoint=s-1\n" +
		"level=INFO msg=grouped component=upstream peer=r2 g.a=1 g.b=2\n"
	if out.String() != want {
		t.Errorf("logged %q, want %q", out.String(), want)
	}
}

func withoutTime(groups []string, attr slog.Attr) slog.Attr {
	if len(groups) == 0 && attr.Key == slog.TimeKey {
		return slog.Attr{}
	}
	return attr
}
