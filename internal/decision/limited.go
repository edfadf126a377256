package decision

import (
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"
)

// Limited logs events that an outside party can cause in any number, or that last, at a
// lower rate than the Log's own, so that they do not displace its other lines.
type Limited struct {
	log     *Log
	limit   *rate.Limiter
	skipped atomic.Uint64
}

// NewLimited returns a Limited that logs at most one line in each interval, after a burst
// of some. The log may be nil.
func NewLimited(log *Log, interval time.Duration, burst int) *Limited {
	return &Limited{log: log, limit: rate.NewLimiter(rate.Every(interval), burst)}
}

// Event logs one line, or skips it; the field skipped of the next one counts those. The
// caller must not use the fields afterwards.
func (l *Limited) Event(event string, f Fields) {
	if !l.limit.Allow() {
		l.skipped.Add(1)
		return
	}
	if n := l.skipped.Swap(0); n > 0 {
		f["skipped"] = n
	}
	l.log.Event(event, f)
}
