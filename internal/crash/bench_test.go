package crash_test

import (
	"fmt"
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

// BenchmarkIsolatedParts is the cost of the question for prompts with many parts.
func BenchmarkIsolatedParts(b *testing.B) {
	suspecting := fullRecords()
	for i := range uint32(300) {
		suspecting.Add(began, crash.Report{Feature: crash.Feature{ID: 1<<40 + uint64(i/3)}, Endpoint: i % 3}, true)
	}
	for name, r := range map[string]*crash.Records{"empty": newRecords(), "full": fullRecords(), "100 suspects": suspecting} {
		for _, parts := range []int{5, 50} {
			features := []crash.Feature{{ID: 1}}
			for depth := range parts {
				features = append(features, crash.Feature{ID: uint64(1e6 + depth), Scope: crash.AccountPart(depth)}, crash.Feature{ID: uint64(2e6 + depth), Scope: crash.Part(depth)})
			}
			b.Run(fmt.Sprintf("%s, %d parts", name, parts), func(b *testing.B) {
				b.ReportAllocs()
				for b.Loop() {
					r.Isolated(began, features...)
				}
			})
		}
	}
}

// BenchmarkServed is the cost of an answer to a request with five shared parts.
func BenchmarkServed(b *testing.B) {
	r, now := fullRecords(), began
	for i := uint64(0); b.Loop(); i++ {
		now = now.Add(time.Millisecond)
		for f := range uint64(11) {
			r.Served(now, now, 1<<32+i%100+f*1000)
		}
	}
}
