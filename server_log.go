package bulrushhinge

import (
	"bytes"
	"log"

	"github.com/sirupsen/logrus"
)

// serverLog is the writer of the log of an HTTP server.
type serverLog struct{ to logrus.FieldLogger }

// newServerLog returns a logger for HTTP servers that writes to a node's log.
func newServerLog(to logrus.FieldLogger) *log.Logger { return log.New(serverLog{to: to}, "", 0) }

// Write logs a line.
func (l serverLog) Write(line []byte) (int, error) {
	l.to.WithField("line", string(bytes.TrimSpace(line))).Warn("HTTP server")
	return len(line), nil
}
