package crash

import (
	"cmp"
	"slices"
	"time"
)

const (
	// repeatTime is how long a node repeats what it has learned, as messages get lost.
	repeatTime = 2 * time.Second
	// maxRecent and maxKnown bound the reports in a message.
	maxRecent = 32
	maxKnown  = 64
)

type (
	// News is what nodes report to each other.
	News struct {
		Crashes []Report
		// Cleared are crashes that the feature did not cause: a request with it was
		// served since, or shortly before.
		Cleared []Report
	}

	// ranked is a report with what its order depends on.
	ranked struct {
		report  Report
		crashes int
		learned time.Time
		entry   *entry
	}
)

// Recent returns what this node has learned after since, and at least within the
// repeat time: the crashes of the most suspected features first, and of those the ones
// that it has reported least often.
func (r *Records) Recent(now, since time.Time) News {
	if repeated := now.Add(-repeatTime); repeated.Before(since) {
		since = repeated
	}
	if r.changed.Before(since) {
		return News{}
	}
	var crashes, cleared []ranked
	for id, rec := range r.by {
		n := rec.crashes()
		for endpoint, e := range rec.endpoints {
			k := rec.ranked(now, id, endpoint, n)
			switch {
			case e.toldCleared && !e.cleared.Before(since):
				cleared = append(cleared, k)
			case e.cleared.IsZero() && !e.learned.Before(since) && (e.own || n >= suspected):
				crashes = append(crashes, k)
			}
		}
	}
	return News{Crashes: first(crashes, maxRecent), Cleared: first(cleared, maxRecent)}
}

// Known returns the crashes of suspected features, for nodes that may have missed
// them: the most suspected first.
func (r *Records) Known(now time.Time) News {
	var list []ranked
	for id, rec := range r.by {
		n := rec.crashes()
		if n < suspected {
			continue
		}
		for endpoint, e := range rec.endpoints {
			if e.cleared.IsZero() {
				list = append(list, rec.ranked(now, id, endpoint, n))
			}
		}
	}
	return News{Crashes: first(list, maxKnown)}
}

// ranked returns a report of the feature's crash at an endpoint with its rank.
func (r *record) ranked(now time.Time, id uint64, endpoint uint32, crashes int) ranked {
	e := r.endpoints[endpoint]
	return ranked{
		report:  Report{Feature: Feature{ID: id, Scope: r.scope}, Endpoint: endpoint, Age: e.age(now)},
		crashes: crashes, learned: e.learned, entry: e,
	}
}

// first returns up to most reports: of the most suspected features first, then those
// that were reported least often, then the newest.
func first(list []ranked, most int) []Report {
	slices.SortFunc(list, compareRanked)
	var reports []Report
	for _, k := range list[:min(len(list), most)] {
		k.entry.sent++
		reports = append(reports, k.report)
	}
	return reports
}

func compareRanked(a, b ranked) int {
	return cmp.Or(
		b.crashes-a.crashes, a.entry.sent-b.entry.sent, b.learned.Compare(a.learned),
		cmp.Compare(a.report.ID, b.report.ID), cmp.Compare(a.report.Endpoint, b.report.Endpoint),
	)
}
