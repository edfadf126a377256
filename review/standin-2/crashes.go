package main

import (
	"slices"
	"strings"
	"time"
)

// stampFormat is the format of the times in the record and in the workers' logs.
const stampFormat = "15:04:05.000"

// crashTimes returns when workers crashed, by their logs.
func (w *world) crashTimes() []time.Time {
	var crashes []time.Time
	for _, line := range w.workerLines() {
		stamp, rest, ok := strings.Cut(line, " ")
		if !ok || !strings.HasSuffix(rest, "crashes the worker") {
			continue
		}
		at, err := time.Parse(stampFormat, stamp)
		if err != nil {
			continue
		}
		y, m, d := time.Now().Date()
		crashes = append(crashes, time.Date(y, m, d, at.Hour(), at.Minute(), at.Second(), at.Nanosecond(), time.Local))
	}
	slices.SortFunc(crashes, time.Time.Compare)
	return crashes
}
