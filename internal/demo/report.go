package demo

import (
	"fmt"
	"strings"
	"text/tabwriter"
	"time"
)

const (
	percent = 100
	median  = 0.5
	p95     = 0.95
	// timePrecision is the precision of printed times.
	timePrecision = 100 * time.Microsecond
)

// guarantee is a property that the fleet promises, and whether it held.
type guarantee struct {
	text string
	kept bool
	note string
}

// report prints the summary. It returns ErrBroken if a guarantee did not hold.
func (d *Demo) report() error {
	t := d.tally
	table := tabwriter.NewWriter(d.config.Out, 0, 0, 3, ' ', 0)
	fmt.Fprintln(table, "\n\tsent\twhole\tasked again\tnot run\tunknown\tcut")
	for k := range kinds {
		c := t.counts[k]
		fmt.Fprintf(table, "%v\t%d\t%d\t%d\t%d\t%d\t%d\n", k, c.sent, c.complete, c.retried, c.notRun, c.unknown, c.truncated)
	}
	_ = table.Flush()
	d.printf("\nfirst token     %v at the median, %v at the 95th percentile\n",
		quantile(t.firstTokenTimes, median).Round(timePrecision), quantile(t.firstTokenTimes, p95).Round(timePrecision))
	d.printf("cache reuse     %.0f%% of the prompt tokens of returning turns\n", percent*float64(t.cached)/float64(max(t.prompt, 1)))
	d.printf("skew            most loaded engine at %.2f times the mean at the median, %.2f at the 95th percentile of samples\n",
		quantile(d.skew.ratios, median), quantile(d.skew.ratios, p95))
	d.printf("                %d of %d samples over the bound of %.2f; a mean below %.0f requests an engine counts as that many\n\n",
		d.skew.over, len(d.skew.ratios), d.skew.bound, d.skew.floor())
	broken := 0
	for _, p := range d.guarantees() {
		word := "kept"
		if !p.kept {
			word = "BROKEN"
			broken++
		}
		d.printf("%-7s %s%s\n", word, p.text, p.note)
	}
	if broken > 0 {
		return fmt.Errorf("%w: %d of them; last error: %v", ErrBroken, broken, t.lastErr)
	}
	return nil
}

func (d *Demo) guarantees() []guarantee {
	t := d.tally
	unanswered := 0
	cut := 0
	for _, c := range t.counts {
		unanswered += c.sent - c.complete
		cut += c.truncated
	}
	doubled, wrong := d.countWrongRuns()
	late := 0
	if d.startedInGrace > 0 {
		late = d.leaving.Started() - d.startedInGrace
	}
	return []guarantee{
		noFailures("every request got its whole answer", unanswered),
		noFailures("no answer was cut, also not by the node that stopped", cut),
		noFailures("no caller got another's answer", len(t.mismatched)),
		noFailures("calls that must not be repeated ran at most once", doubled),
		noFailures("what was said not to have run had not run", wrong),
		noFailures(fmt.Sprintf("the leaving endpoint got no new work after %v", leaveGrace), late),
		{text: "the endpoint that joined got work", kept: d.joinedHasWork(), note: fmt.Sprintf(" (%d requests)", d.joined.Load().Started())},
	}
}

// noFailures returns a guarantee that holds if there were no failures.
func noFailures(text string, failures int) guarantee {
	p := guarantee{text: text, kept: failures == 0}
	if failures > 0 {
		p.note = fmt.Sprintf(" (%d failures)", failures)
	}
	return p
}

// countWrongRuns returns how many of the answered calls that must not be repeated
// ran more than once, and how many requests ran although they were reported as
// not run.
func (d *Demo) countWrongRuns() (doubled, wrong int) {
	ran := map[requestMark]int{}
	for _, e := range d.fleet.Endpoints() {
		for body, n := range e.Ran() {
			ran[lastRequestMark(body)] += n
		}
	}
	for m := range d.tally.completedOnce {
		if ran[m] > 1 {
			doubled++
		}
	}
	for m := range d.tally.reportedNotRun {
		if ran[m] > 0 {
			wrong++
		}
	}
	return doubled, wrong
}

// lastRequestMark returns the mark of the request with the given body. It is the
// last one in the body, as a chat request contains the earlier turns of its chat.
func lastRequestMark(body string) requestMark {
	at := strings.LastIndex(body, "request-")
	if at < 0 {
		return ""
	}
	text, _, _ := strings.Cut(body[at:], ".")
	return requestMark(text + ".")
}
