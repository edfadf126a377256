package experiment

import (
	"fmt"
	"io"
	"strconv"
	"time"

	"github.com/olekukonko/tablewriter"
)

// otherAccounts is the row of all accounts without a surge.
const otherAccounts = "other accounts"

// Table writes the results of runs of a plan, one row per class and run: the kinds of
// requests, the sizes of those with large ones and, if the plan has surges, the accounts
// with a surge and all others together.
func Table(w io.Writer, plan *Plan, names []string, results []*Result) error {
	t := tablewriter.NewWriter(w)
	t.Header("request", "build", "asked", "timely", "late", "refused", "failed", "p50", "p95", "p99", "refused p50", "refused p99")
	if len(results) == 0 {
		return nil
	}
	rows := make([][]Class, len(results))
	for b, r := range results {
		rows[b] = append(append(append(rows[b], r.Requests...), r.Sizes...), r.surges(plan)...)
	}
	for i := range rows[0] {
		for b := range results {
			if err := t.Append(row(names[b], rows[b][i])); err != nil {
				return fmt.Errorf("experiment: table: %w", err)
			}
		}
	}
	if err := t.Render(); err != nil {
		return fmt.Errorf("experiment: table: %w", err)
	}
	return nil
}

func row(build string, c Class) []string {
	return []string{
		c.Name, build, strconv.Itoa(c.Asked), percentage(c.Timely, c.Asked), percentage(c.Late, c.Asked),
		percentage(c.Refused, c.Asked), percentage(c.Failed, c.Asked), formatLatency(c.P50), formatLatency(c.P95), formatLatency(c.P99),
		formatLatency(c.RefusedP50), formatLatency(c.RefusedP99),
	}
}

// surges returns the accounts with a surge, and the sum of all others.
func (r *Result) surges(plan *Plan) []Class {
	if len(plan.Surges) == 0 {
		return nil
	}
	surging := map[int]bool{}
	for _, s := range plan.Surges {
		surging[s.Account] = true
	}
	var list []Class
	for n, c := range r.Accounts {
		if surging[n] {
			list = append(list, c)
		}
	}
	return append(list, r.OtherAccounts)
}

func percentage(n, of int) string { return fmt.Sprintf("%.2f%%", 100*float64(n)/float64(max(of, 1))) }

func formatLatency(d time.Duration) string { return d.Round(100 * time.Microsecond).String() }
