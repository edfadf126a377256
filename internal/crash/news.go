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
		// served since, or shortly before. One without a feature says that a node is
		// connected to the endpoint, so that ends of it that are not proven did not
		// happen.
		Cleared []Report
		// Unproven are ends that are not proven. One without a feature says that the
		// endpoint refuses connections to a node, whatever it ran, or to two nodes.
		Unproven []Report
	}

	// ranked is a report with what its order depends on.
	ranked struct {
		report  Report
		ends    int
		changed time.Time
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
	var crashes, cleared, unproven []ranked
	for id, rec := range r.by {
		n := rec.ends()
		for endpoint, e := range rec.endpoints {
			k := rec.ranked(now, id, endpoint, n)
			switch {
			case e.toldCleared && !e.cleared.Before(since):
				cleared = append(cleared, k)
			case !e.cleared.IsZero() || e.changed.Before(since) || !e.own && n < suspected:
			case e.unproven:
				unproven = append(unproven, k)
			default:
				crashes = append(crashes, k)
			}
		}
	}
	return News{Crashes: first(crashes, maxRecent), Cleared: first(cleared, maxRecent), Unproven: first(unproven, maxRecent)}
}

// Known returns the crashes of suspected features, for nodes that may have missed
// them: the most suspected first.
func (r *Records) Known(now time.Time) News {
	var list []ranked
	for id, rec := range r.by {
		n := rec.ends()
		if n < suspected {
			continue
		}
		for endpoint, e := range rec.endpoints {
			if e.cleared.IsZero() && !e.unproven {
				list = append(list, rec.ranked(now, id, endpoint, n))
			}
		}
	}
	return News{Crashes: first(list, maxKnown)}
}

// ranked returns a report of the feature's crash at an endpoint with its rank.
func (r *record) ranked(now time.Time, id uint64, endpoint uint32, ends int) ranked {
	e := r.endpoints[endpoint]
	return ranked{
		report: Report{Feature: Feature{ID: id, Scope: r.scope}, Endpoint: endpoint, Age: e.age(now), Unproven: e.unproven},
		ends:   ends, changed: e.changed, entry: e,
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
		b.ends-a.ends, a.entry.sent-b.entry.sent, b.changed.Compare(a.changed),
		cmp.Compare(a.report.ID, b.report.ID), cmp.Compare(a.report.Endpoint, b.report.Endpoint),
	)
}
