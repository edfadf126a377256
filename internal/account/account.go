package account

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"text/tabwriter"
	"time"
)

// Outcomes of calls.
const (
	// InTime is an answer that began within the latency objective, and Late one
	// that began later.
	InTime Outcome = iota
	Late
	// Unserved is no answer, or an endpoint's failure.
	Unserved
	// CallerLeft is a caller that did not wait, and Invalid a request that the
	// configuration does not allow; neither counts as lost.
	CallerLeft
	Invalid
)

// Reasons for losses. No router could have avoided those of the first group.
const (
	reasonFailure   = "the endpoint failed it"
	reasonAborted   = "the endpoint broke off"
	reasonNodeEnded = "the node ended"

	reasonRetried        = "came back after a refusal"
	reasonQueued         = "waited for a place"
	reasonEarlierAttempt = "an attempt before"
	reasonPrefill        = "the engine read"
	reasonEngineBusy     = "the engine was busy"
	reasonNoAnswer       = "no answer until the deadline"
)

type (
	// Outcome is the outcome of a call.
	Outcome int

	// Entry is one call: its arrival, its route and its outcome.
	Entry struct {
		At      time.Time
		Route   string
		Outcome Outcome
		Reason  string
	}

	// Report has the outcomes of all calls, by the time of their arrival.
	Report struct {
		Entries []Entry
	}

	// row is one line of the table.
	row struct {
		route, reason string
		outcome       Outcome
		count         int
	}
)

// unavoidable are the reasons that no router could have avoided.
var unavoidable = map[string]bool{reasonFailure: true, reasonAborted: true, reasonNodeEnded: true}

// invalidStatuses are the statuses of requests that the configuration does not
// allow.
var invalidStatuses = []int{
	http.StatusBadRequest, http.StatusUnauthorized, http.StatusForbidden, http.StatusNotFound,
	http.StatusRequestEntityTooLarge, http.StatusRequestHeaderFieldsTooLarge,
}

func newReport(calls []*call) *Report {
	r := &Report{}
	for _, c := range calls {
		e := Entry{At: c.tries[0].arrived, Route: c.route}
		e.Outcome, e.Reason = c.outcome()
		r.Entries = append(r.Entries, e)
	}
	return r
}

func (c *call) outcome() (Outcome, string) {
	t := c.last()
	if t.refused != nil && slices.Contains(invalidStatuses, t.refused.Status) {
		return Invalid, t.refused.Reason
	}
	if !t.answered() {
		return t.failure()
	}
	end := t.attempts[len(t.attempts)-1]
	if end.Status >= http.StatusInternalServerError {
		return Unserved, reasonFailure
	}
	began := end.At.Add(-ms(end.Took)).Add(ms(end.First))
	if c.objective == 0 || began.Sub(c.tries[0].arrived) <= c.objective {
		return InTime, ""
	}
	return Late, c.delay(end)
}

// failure returns the outcome and reason of a try without an answer.
func (t *try) failure() (Outcome, string) {
	if len(t.attempts) > 0 && t.attempts[len(t.attempts)-1].Result == resultCallerGone {
		return CallerLeft, ""
	}
	switch {
	case t.refused == nil:
		return Unserved, reasonNodeEnded
	case t.refused.Reason == "endpoint-broke-off" || t.refused.Cut:
		return Unserved, reasonAborted
	case t.refused.Reason == "timeout" && len(t.attempts) > 0:
		return Unserved, reasonNoAnswer
	}
	return Unserved, t.refused.Reason
}

// delay returns what took the most time before a late answer began.
func (c *call) delay(end line) string {
	t := c.last()
	start := end.At.Add(-ms(end.Took))
	before := time.Duration(0)
	for _, a := range t.attempts[:len(t.attempts)-1] {
		before += ms(a.Took)
	}
	prefill := min(ms(end.Prefill), ms(end.First))
	parts := map[string]time.Duration{
		reasonRetried:        t.arrived.Sub(c.tries[0].arrived),
		reasonQueued:         start.Sub(t.arrived) - before,
		reasonEarlierAttempt: before,
		reasonPrefill:        prefill,
		reasonEngineBusy:     ms(end.First) - prefill,
	}
	names := slices.Sorted(maps.Keys(parts))
	return slices.MaxFunc(names, func(a, b string) int { return cmp.Compare(parts[a], parts[b]) })
}

// Loss returns the part of its worth that a call lost, given the part that a
// late answer loses.
func (e Entry) Loss(late float64) float64 {
	switch e.Outcome {
	case Late:
		return late
	case Unserved:
		return 1
	case InTime, CallerLeft, Invalid:
	}
	return 0
}

// Table writes the losses by route and reason, the largest first. late is the
// part of its worth that a late answer loses, 0 to 1.
func (r *Report) Table(w io.Writer, late float64) error {
	rows := map[row]int{}
	calls := map[string]int{}
	total, lost, avoidable := 0.0, 0.0, 0.0
	for _, e := range r.Entries {
		if e.Outcome == CallerLeft || e.Outcome == Invalid {
			continue
		}
		calls[e.Route]++
		total++
		lost += e.Loss(late)
		if !unavoidable[e.Reason] {
			avoidable += e.Loss(late)
		}
		if e.Outcome != InTime {
			rows[row{route: e.Route, reason: e.Reason, outcome: e.Outcome}]++
		}
	}
	out := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(out, "route\tcalls\tlost\tof all\tfate\treason\tcould a router save it")
	for _, l := range sortRows(rows, late) {
		part := float64(l.count) * Entry{Outcome: l.outcome}.Loss(late)
		_, _ = fmt.Fprintf(out, "%s\t%d\t%d\t%.4f\t%s\t%s\t%t\n", l.route, calls[l.route], l.count, part/max(total, 1), l.outcome, l.reason, !unavoidable[l.reason])
	}
	_, _ = fmt.Fprintf(out, "all\t%.0f\t\t%.4f\t\tof this a router could save %.4f\t\n", total, lost/max(total, 1), avoidable/max(total, 1))
	if err := out.Flush(); err != nil {
		return fmt.Errorf("account: %w", err)
	}
	return nil
}

func sortRows(rows map[row]int, late float64) []row {
	var list []row
	for r, n := range rows {
		r.count = n
		list = append(list, r)
	}
	loss := func(r row) float64 { return float64(r.count) * Entry{Outcome: r.outcome}.Loss(late) }
	slices.SortFunc(list, func(a, b row) int {
		return cmp.Or(cmp.Compare(loss(b), loss(a)), cmp.Compare(a.route, b.route), cmp.Compare(a.reason, b.reason))
	})
	return list
}

// String returns the outcome's name.
func (o Outcome) String() string {
	return [...]string{"in time", "late", "unserved", "left", "wrong"}[o]
}
