package gateway

import (
	"fmt"
	"maps"
	"net/http"
	"path"
	"runtime"
	"strings"

	"bulrushhinge.example/bulrushhinge/internal/decision"
)

const (
	// maxPanicText bounds the bytes of a panic's value that are logged.
	maxPanicText = 512
	// maxFrames bounds the functions of its stack that are, and maxDepth how many are
	// looked at.
	maxFrames = 16
	maxDepth  = 64
)

// recovered is deferred around a request. A caller that has no part of a response gets a
// refusal; otherwise the response is aborted. http.ErrAbortHandler is passed on.
func (c *call) recovered() {
	p := recover()
	if p == nil {
		return
	}
	if p == http.ErrAbortHandler {
		panic(p)
	}
	c.logPanic(p)
	if c.progress.started {
		c.countEnd(reasonPanic, "")
		panic(http.ErrAbortHandler)
	}
	// An endpoint may have been running it.
	c.progress.runs = max(c.progress.runs, 1)
	maps.DeleteFunc(c.out.Header(), func(name string, _ []string) bool { return name != "Connection" })
	ref := unknown(reasonPanic)
	ref.cause = reasonPanic
	c.refuse(ref)
}

// contain is deferred in functions of timers, as a panic there would end the process.
func (c *call) contain() {
	if p := recover(); p != nil {
		c.logPanic(p)
	}
}

// logPanic logs and counts the value of a panic.
func (c *call) logPanic(p any) {
	c.handler.config.Metrics.panics.Inc()
	text := fmt.Sprint(p)
	c.log("panic", decision.Fields{"error": text[:min(len(text), maxPanicText)], "stack": panicStack()})
}

// panicStack returns the functions that were running when the current panic began, the
// innermost first.
func panicStack() []string {
	var (
		counters [maxDepth]uintptr
		list     []string
	)
	frames := runtime.CallersFrames(counters[:runtime.Callers(1, counters[:])])
	for more := true; more && len(list) < maxFrames; {
		var f runtime.Frame
		f, more = frames.Next()
		switch {
		case f.Function == "runtime.gopanic":
			// So far it was the deferred functions.
			list = nil
		case !strings.HasPrefix(f.Function, "runtime."):
			list = append(list, fmt.Sprintf("%s %s:%d", path.Base(f.Function), path.Base(f.File), f.Line))
		}
	}
	return list
}
