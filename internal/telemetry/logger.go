package telemetry

import (
	"fmt"
	"io"
	"time"

	"github.com/charmbracelet/log"
)

// Log formats.
const (
	LogText = "text"
	LogJSON = "json"
)

// NewLogger returns a logger that writes to w, in the given format ("text" or "json"), the
// lines of at least the given level ("debug", "info", "warn", "error"). Times are UTC. An
// unknown format or level is an error.
func NewLogger(format, level string, w io.Writer) (*log.Logger, error) {
	lvl, err := log.ParseLevel(level)
	if err != nil {
		return nil, fmt.Errorf("log level %q: %w", level, err)
	}
	formatter, err := logFormatter(format)
	if err != nil {
		return nil, err
	}
	return log.NewWithOptions(w, log.Options{
		Level:           lvl,
		Formatter:       formatter,
		ReportTimestamp: true,
		TimeFunction:    log.NowUTC,
		TimeFormat:      time.RFC3339Nano,
	}), nil
}

func logFormatter(format string) (log.Formatter, error) {
	switch format {
	case LogText:
		return log.TextFormatter, nil
	case LogJSON:
		return log.JSONFormatter, nil
	default:
		return 0, fmt.Errorf("log format %q: want %s or %s", format, LogText, LogJSON)
	}
}
