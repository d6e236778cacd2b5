package main

import (
	"fmt"
	"io"
	"log/slog"

	"github.com/spf13/pflag"
)

// logFlags say how the log is written.
type logFlags struct{ format, level string }

func (f *logFlags) add(flags *pflag.FlagSet) {
	flags.StringVar(&f.format, "log-format", "text", "format of the log on standard error: text or json")
	flags.StringVar(&f.level, "log-level", "info", "the lowest level that is logged: debug, info, warn or error")
}

// apply has the default logger write to out as the flags say.
func (f *logFlags) apply(out io.Writer) error {
	var level slog.Level
	if err := level.UnmarshalText([]byte(f.level)); err != nil {
		return usageError{fmt.Errorf("--log-level %q is none of debug, info, warn and error", f.level)}
	}
	options := &slog.HandlerOptions{Level: level}
	switch f.format {
	case "text":
		slog.SetDefault(slog.New(slog.NewTextHandler(out, options)))
	case "json":
		slog.SetDefault(slog.New(slog.NewJSONHandler(out, options)))
	default:
		return usageError{fmt.Errorf("--log-format %q is neither text nor json", f.format)}
	}
	return nil
}
