package crash_test

import (
	"testing"
	"time"

	"bulrushhinge.example/bulrushhinge/internal/crash"
)

// fullRecords returns a full table: every request was at an endpoint that ended.
func fullRecords() *crash.Records {
	r := newRecords()
	for i := range uint64(4000) {
		r.Add(began, crash.Report{Feature: crash.Feature{ID: i}, Endpoint: uint32(i % 3)}, true)
	}
	return r
}

// BenchmarkRecent is the cost of the crashes in a heartbeat, just after endpoints
// with many requests have ended and later.
func BenchmarkRecent(b *testing.B) {
	for name, now := range map[string]time.Time{"just after": began.Add(time.Second), "later": began.Add(time.Minute)} {
		b.Run(name, func(b *testing.B) {
			r := fullRecords()
			b.ReportAllocs()
			for b.Loop() {
				r.Recent(now, now)
			}
		})
	}
}

// BenchmarkIsolated is the cost of the question at each send.
func BenchmarkIsolated(b *testing.B) {
	r := fullRecords()
	for b.Loop() {
		r.Isolated(began, crash.Feature{ID: 7})
	}
}

// BenchmarkFill is the cost and memory of a full table.
func BenchmarkFill(b *testing.B) {
	b.ReportAllocs()
	for b.Loop() {
		fullRecords()
	}
}
