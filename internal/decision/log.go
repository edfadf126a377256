// Package decision writes what a process decides and believes as JSON lines,
// so that a failed request can be explained afterwards.
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
	// queueLines is how many lines wait for the writer: some 64 KiB.
	queueLines = 512
	// linesPerSecond bounds the volume: about 60 KB/s a process. A node takes
	// some 30 requests a second today.
	linesPerSecond = 300
	burstLines     = 600
)

type (
	// Fields are what a line says beside its time and event.
	Fields = logrus.Fields

	// LogConfig is the settings of a Log.
	LogConfig struct {
		// To takes the lines.
		To io.Writer
		// Node is named on each line.
		Node string
	}

	// Log writes lines in a goroutine of its own. It never blocks: lines that
	// come too fast are dropped and counted.
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

// New starts a log.
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

// Event writes one line, or drops it. The fields belong to the log afterwards.
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

// Dropped returns how many lines were dropped.
func (l *Log) Dropped() uint64 { return l.dropped.Load() }

// Close writes what waits and stops; later lines are dropped.
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
