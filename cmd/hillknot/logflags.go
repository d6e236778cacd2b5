package main

import (
	"fmt"
	"io"
	"log/slog"

	"github.com/spf13/pflag"
)

// logFlags holds the flags for the format and the level of the log.
type logFlags struct{ format, level string }

func (f *logFlags) add(flags *pflag.FlagSet) {
	flags.StringVar(&f.format, "log-format", "text", "format of the log on standard error: text or json")
	flags.StringVar(&f.level, "log-level", "info", "lowest level that is logged: debug, info, warn or error")
}

// apply sets the default logger to write to out with the format and the level of the flags. It returns a usageError if one
// of them is unknown.
func (f *logFlags) apply(out io.Writer) error {
	var level slog.Level
	if err := level.UnmarshalText([]byte(f.level)); err != nil {
		return usageError{fmt.Errorf("--log-level %q is not debug, info, warn or error", f.level)}
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
