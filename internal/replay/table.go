package replay

import (
	"fmt"
	"io"

	"github.com/olekukonko/tablewriter"
)

var columns = []string{
	"policy", "reuse", "moved", "ideal", "skew req p99/worst", "skew tok p99/worst", "over % req/tok", "small % req/tok",
	"control B/s", "first ms p50/p95/p99", "refused", "expired", "broken",
	"lost", "doubled", "cut", "crossed", "falsenot", "late", "force s",
}

// Table writes results as a table.
func Table(w io.Writer, results []*Result) error {
	t := tablewriter.NewWriter(w)
	t.Header(columns)
	for _, r := range results {
		if err := t.Append(r.row()); err != nil {
			return err
		}
	}
	return t.Render()
}

func (r *Result) row() []string {
	refused := 0
	for _, n := range r.Refused {
		refused += n
	}
	const (
		milli   = 1000
		percent = 100
	)
	return []string{
		fmt.Sprintf("%s/%d %s", r.Trace, r.Seed, r.Policy),
		fmt.Sprintf("%.4f", r.Reuse),
		fmt.Sprintf("%.4f", r.Moved),
		fmt.Sprintf("%.4f", r.Ideal),
		fmt.Sprintf("%.2f/%.2f", r.Requests.P99, r.Requests.Worst),
		fmt.Sprintf("%.2f/%.2f", r.Tokens.P99, r.Tokens.Worst),
		fmt.Sprintf("%.2f/%.2f", r.Requests.Over*percent, r.Tokens.Over*percent),
		fmt.Sprintf("%.0f/%.0f", r.Requests.Small*percent, r.Tokens.Small*percent),
		fmt.Sprintf("%.0f", r.Control.Total),
		fmt.Sprintf("%.0f/%.0f/%.0f", r.First.P50*milli, r.First.P95*milli, r.First.P99*milli),
		fmt.Sprint(refused), fmt.Sprint(r.Expired), fmt.Sprint(r.Broken),
		fmt.Sprint(r.Lost), fmt.Sprint(r.Doubled), fmt.Sprint(r.Cut), fmt.Sprint(r.Crossed),
		fmt.Sprint(r.FalseNot), fmt.Sprint(r.Late), fmt.Sprintf("%.2f", r.Force),
	}
}
