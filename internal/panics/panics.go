// Package panics reports recovered panics: one log line each, and a counter.
package panics

import (
	"fmt"
	"runtime/debug"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"
)

const (
	// maxValue and maxStack bound the panic's value and stack in the log, in bytes.
	maxValue = 512
	maxStack = 8 << 10
)

var recovered = metrics.GetOrCreateCounter("bulrushhinge_panics_total")

// Report logs and counts a panic whose value was recovered. The deferred function that
// recovered it must call Report, so that the stack is that of the panic.
func Report(log logrus.FieldLogger, value any) {
	recovered.Inc()
	log.WithFields(logrus.Fields{
		"panic": bounded(fmt.Sprint(value), maxValue),
		"stack": bounded(string(debug.Stack()), maxStack),
	}).Error("panic")
}

func bounded(text string, limit int) string { return text[:min(len(text), limit)] }
