package http1

import (
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"sync/atomic"
	"syscall"

	"github.com/VictoriaMetrics/metrics"

	"bulrushhinge.example/bulrushhinge/internal/decision"
)

// Causes for which a caller's connection is closed.
const (
	// closedByNode means that the node closed it with a response or within one, as it
	// does after a refusal of an unread body, and while it stops.
	closedByNode closeCause = iota
	// closedByCaller means that the caller closed it between two requests.
	closedByCaller
	// closedInRequest means that the caller closed it during a request.
	closedInRequest
	// closedIdle means that it was idle for too long.
	closedIdle
	// closedHeaderLate means that a request's header was not complete in time.
	closedHeaderLate
	// closedShutdown means that the server closed it without a request, as it shuts down.
	closedShutdown
	// closedShutdownInHeader means that it did so while a request's header arrived.
	closedShutdownInHeader
	closeCauses
)

// metricPrefix is the prefix of every metric's name.
const metricPrefix = "bulrushhinge_callers_"

type (
	// closeCause is why a caller's connection is closed.
	closeCause int

	// connCounts counts callers' connections.
	connCounts struct {
		accepted atomic.Uint64
		closed   [closeCauses]atomic.Uint64
	}
)

// String returns the cause's name in metrics.
func (c closeCause) String() string {
	return [...]string{"node", "caller", "caller-in-request", "idle", "header-late", "shutdown", "shutdown-in-header"}[c]
}

// WriteMetrics writes the metrics of callers' connections in the Prometheus text format.
func (l *Listener) WriteMetrics(w io.Writer) {
	metrics.WriteCounterUint64(w, metricPrefix+"connections_total", l.counts.accepted.Load())
	for cause := range closeCauses {
		metrics.WriteCounterUint64(w, fmt.Sprintf(metricPrefix+`closed_total{cause=%q}`, cause), l.counts.closed[cause].Load())
	}
}

// ended records why reading has failed; the first cause counts. During a request, the
// server ends its own reading by a deadline.
func (c *callerConn) ended(err error, late bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.cause != closedByNode {
		return
	}
	switch {
	case late:
		c.cause = closedHeaderLate
	case c.phase == active && (errors.Is(err, io.EOF) || errors.Is(err, syscall.ECONNRESET)):
		c.cause = closedInRequest
	case c.phase == active:
	case errors.Is(err, os.ErrDeadlineExceeded):
		c.cause = closedIdle
	case errors.Is(err, net.ErrClosed) && c.phase == readingHeader:
		c.cause = closedShutdownInHeader
	case errors.Is(err, net.ErrClosed):
		c.cause = closedShutdown
	default:
		c.cause = closedByCaller
	}
}

// closed counts a connection that the server has closed, once.
func (c *callerConn) closed() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.counted {
		c.counted = true
		if c.cause == closedByNode && c.phase == idle {
			// It did not read again.
			c.cause = closedShutdown
		}
		c.listener.counts.closed[c.cause].Add(1)
	}
}

// logLate logs a header that was not complete in time.
func (l *Listener) logLate(c *callerConn) {
	l.late.Event("header.late", decision.Fields{"caller": c.RemoteAddr().String()})
}
