package demo

import (
	"fmt"
	"strings"
	"text/tabwriter"
	"time"
)

const (
	percent   = 100
	median    = 0.5
	nearlyAll = 0.95
	// shown is the precision of printed times.
	shown = 100 * time.Microsecond
)

// promise is one of the fleet's promises, as the demo found it.
type promise struct {
	text string
	kept bool
	note string
}

// report prints the summary. It returns ErrBroken where a promise did not hold.
func (d *Demo) report() error {
	t := d.tally
	table := tabwriter.NewWriter(d.config.Out, 0, 0, 3, ' ', 0)
	fmt.Fprintln(table, "\n\tsent\twhole\tasked again\tnot run\tunknown\tcut")
	for k := range kinds {
		c := t.counts[k]
		fmt.Fprintf(table, "%v\t%d\t%d\t%d\t%d\t%d\t%d\n", k, c.sent, c.whole, c.again, c.notRun, c.unknown, c.cut)
	}
	_ = table.Flush()
	d.printf("\nfirst token     %v at the median, %v at the 95th percentile\n",
		quantile(t.firsts, median).Round(shown), quantile(t.firsts, nearlyAll).Round(shown))
	d.printf("cache reuse     %.0f%% of the prompt tokens of returning turns\n", percent*float64(t.cached)/float64(max(t.prompt, 1)))
	d.printf("skew            most loaded engine at %.2f times the mean at the median, %.2f at the 95th percentile of samples\n",
		quantile(d.skew.ratios, median), quantile(d.skew.ratios, nearlyAll))
	d.printf("                %d of %d samples over the bound of %.2f; a mean below %.0f requests an engine counts as that many\n\n",
		d.skew.over, len(d.skew.ratios), d.skew.bound, d.skew.floor())
	broken := 0
	for _, p := range d.promises() {
		word := "kept"
		if !p.kept {
			word = "BROKEN"
			broken++
		}
		d.printf("%-7s %s%s\n", word, p.text, p.note)
	}
	if broken > 0 {
		return fmt.Errorf("%w: %d of them; last error: %v", ErrBroken, broken, t.last)
	}
	return nil
}

func (d *Demo) promises() []promise {
	t := d.tally
	unanswered := 0
	cut := 0
	for _, c := range t.counts {
		unanswered += c.sent - c.whole
		cut += c.cut
	}
	doubled, wrong := d.runs()
	late := 0
	if d.leftWith > 0 {
		late = d.leaving.Started() - d.leftWith
	}
	return []promise{
		counted("every request got its whole answer", unanswered),
		counted("no answer was cut, also not by the node that stopped", cut),
		counted("no caller got another's answer", len(t.others)),
		counted("calls that must not be repeated ran at most once", doubled),
		counted("what was said not to have run had not run", wrong),
		counted(fmt.Sprintf("the leaving endpoint got no new work after %v", leaveGrace), late),
		{text: "the endpoint that joined got work", kept: d.joinedWorks(), note: fmt.Sprintf(" (%d requests)", d.joined.Load().Started())},
	}
}

func counted(text string, failures int) promise {
	p := promise{text: text, kept: failures == 0}
	if failures > 0 {
		p.note = fmt.Sprintf(" (%d failures)", failures)
	}
	return p
}

// runs counts the calls that must not be repeated and ran more than once, and
// the requests that ran though their callers were told otherwise.
func (d *Demo) runs() (doubled, wrong int) {
	ran := map[mark]int{}
	for _, e := range d.fleet.Endpoints() {
		for body, n := range e.Ran() {
			ran[lastMark(body)] += n
		}
	}
	for m := range d.tally.wholes {
		if ran[m] > 1 {
			doubled++
		}
	}
	for m := range d.tally.notRuns {
		if ran[m] > 0 {
			wrong++
		}
	}
	return doubled, wrong
}

// lastMark returns the last request mark in a body: a chat repeats earlier
// turns.
func lastMark(body string) mark {
	at := strings.LastIndex(body, "request-")
	if at < 0 {
		return ""
	}
	text, _, _ := strings.Cut(body[at:], ".")
	return mark(text + ".")
}
