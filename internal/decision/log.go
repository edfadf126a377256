// Package decision logs the decisions of a process, and the state that they were
// based on, as JSON lines, so that a failed request can be explained afterwards.
package decision

import (
	"io"
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/time/rate"
)

const (
	// queueLines is the capacity of the write queue: about 64 KiB.
	queueLines = 512
	// linesPerSecond limits the log volume to about 60 KB/s per process. A node
	// serves about 30 requests per second today.
	linesPerSecond = 300
	burstLines     = 600
)

type (
	// Fields are the fields of a line in addition to its time and event.
	Fields = logrus.Fields

	// LogConfig is the settings of a Log.
	LogConfig struct {
		// To is the output.
		To io.Writer
		// Node is the name of the node, which is added to each line.
		Node string
	}

	// Log writes lines from its own goroutine, so that logging never blocks.
	// Lines above the rate limit or the queue's capacity are dropped and counted.
	Log struct {
		logger  *logrus.Logger
		node    string
		lines   chan line
		limit   *rate.Limiter
		dropped atomic.Uint64
		stop    sync.Once
		stopped chan struct{}
		running sync.WaitGroup
	}

	line struct {
		at     time.Time
		event  string
		fields Fields
	}
)

// New returns a Log and starts its goroutine. Close stops it.
func New(c LogConfig) *Log {
	logger := logrus.New()
	logger.SetOutput(c.To)
	logger.SetFormatter(&logrus.JSONFormatter{
		TimestampFormat: "2006-01-02T15:04:05.000Z07:00",
		FieldMap:        logrus.FieldMap{logrus.FieldKeyMsg: "event"},
	})
	l := &Log{
		logger: logger, node: c.Node, lines: make(chan line, queueLines),
		limit: rate.NewLimiter(linesPerSecond, burstLines), stopped: make(chan struct{}),
	}
	l.running.Go(func() {
		for {
			select {
			case ln := <-l.lines:
				l.write(ln)
			case <-l.stopped:
				l.drain()
				return
			}
		}
	})
	return l
}

// Event queues one line, or drops it. The caller must not use the fields
// afterwards.
func (l *Log) Event(event string, f Fields) {
	if l == nil {
		return
	}
	now := time.Now()
	if !l.limit.AllowN(now, 1) {
		l.dropped.Add(1)
		return
	}
	select {
	case l.lines <- line{at: now, event: event, fields: f}:
	default:
		l.dropped.Add(1)
	}
}

// Dropped returns the number of lines dropped since the last written one.
func (l *Log) Dropped() uint64 { return l.dropped.Load() }

// Close writes the queued lines and stops the Log. Later lines are not written.
func (l *Log) Close() {
	l.stop.Do(func() { close(l.stopped) })
	l.running.Wait()
}

func (l *Log) drain() {
	for {
		select {
		case ln := <-l.lines:
			l.write(ln)
		default:
			return
		}
	}
}

func (l *Log) write(ln line) {
	f := make(logrus.Fields, len(ln.fields)+2)
	maps.Copy(f, ln.fields)
	f["node"] = l.node
	if n := l.dropped.Swap(0); n > 0 {
		f["dropped"] = n
	}
	l.logger.WithTime(ln.at).WithFields(f).Info(ln.event)
}
