package decision

import (
	"log"
	"strings"
	"time"
)

const (
	// maxErrorText bounds the bytes of an error that are logged: those of a panic begin
	// with its stack's innermost functions.
	maxErrorText = 2 << 10
	// errorInterval and errorBurst limit the lines of each server.
	errorInterval = 200 * time.Millisecond
	errorBurst    = 20
)

type (
	// ErrorLogConfig is the settings of NewErrorLog.
	ErrorLogConfig struct {
		Log *Log
		// Server is the name of the server, which is added to each line.
		Server string
		// Count is called for each error, logged or not; it may be nil.
		Count func()
	}

	// errorWriter logs what is written to it in one call as one event.
	errorWriter struct {
		config ErrorLogConfig
		lines  *Limited
	}
)

// NewErrorLog returns a logger for the ErrorLog of an http.Server. Each of its messages is
// a line of the event http.error.
func NewErrorLog(c ErrorLogConfig) *log.Logger {
	return log.New(&errorWriter{config: c, lines: NewLimited(c.Log, errorInterval, errorBurst)}, "", 0)
}

// Write implements io.Writer.
func (w *errorWriter) Write(text []byte) (int, error) {
	if w.config.Count != nil {
		w.config.Count()
	}
	message := strings.TrimSpace(string(text[:min(len(text), maxErrorText)]))
	w.lines.Event("http.error", Fields{"server": w.config.Server, "error": message})
	return len(text), nil
}
