package account

import (
	"cmp"
	"errors"
	"fmt"
	"io"
	"slices"
	"text/tabwriter"
	"time"
)

const (
	// believedWithin is how far from the request's attempt another node's choice
	// of the same endpoint may be to be compared: loads change within seconds.
	believedWithin = 2 * time.Second
	// before is for how long before the attempt a node's own events are shown.
	before = 10 * time.Second
	// beliefRows bounds the table of other nodes.
	beliefRows = 20
)

// ErrRequest is returned where no line of the logs has an attempt of a request.
var ErrRequest = errors.New("account: no attempt of this request")

type (
	// Attempt is one send of a request to an endpoint, and what its node
	// believed of the endpoint then.
	Attempt struct {
		At       time.Time `json:"time"`
		Node     string    `json:"node"`
		Event    string    `json:"event"`
		Request  string    `json:"request"`
		Endpoint string    `json:"endpoint"`
		Result   string    `json:"result"`
		Cause    string    `json:"cause"`
		Load     int       `json:"load"`
		Mean     float64   `json:"mean"`
		Ready    int       `json:"ready"`
		// Age is how old the other nodes' part of the load was.
		Age int64 `json:"loads_ms"`
		// Reported is what the endpoint said of its load in its answer.
		Reported int    `json:"reported"`
		Peer     string `json:"peer"`
		Draining bool   `json:"draining"`
		// Leaving says that the endpoint said in its answer that it leaves, and Rest
		// for how many milliseconds it asked for nothing more.
		Leaving bool  `json:"leaving"`
		Rest    int64 `json:"rest_ms"`
	}

	// Belief is what nodes believed of one endpoint around one attempt.
	Belief struct {
		Attempt Attempt
		// Others are the nearest attempts of other nodes at the endpoint, the
		// one that believed something most different first.
		Others []Attempt
		// Known is what nodes logged of the endpoint's state around it, by time:
		// that it is known, drains or is gone, and what it told the node itself.
		Known []Attempt
		// Events are what the node logged of its peers, its relay and the store
		// before the attempt.
		Events []Attempt
	}
)

// ReadBelief reads logs of any number of nodes, and returns what they believed
// of the endpoint to which a request was sent last.
func ReadBelief(r io.Reader, request string) (*Belief, error) {
	var lines []Attempt
	err := scan(r, func(l Attempt) {
		if l.Event != "" {
			lines = append(lines, l)
		}
	})
	if err != nil {
		return nil, err
	}
	b := &Belief{}
	for _, l := range lines {
		if l.Event == eventAttempt && l.Request == request && !l.At.Before(b.Attempt.At) {
			b.Attempt = l
		}
	}
	if b.Attempt.Endpoint == "" {
		return nil, fmt.Errorf("%w: %s", ErrRequest, request)
	}
	nearest := map[string]Attempt{}
	for _, l := range lines {
		b.take(l, nearest)
	}
	for _, a := range nearest {
		b.Others = append(b.Others, a)
	}
	b.sort()
	return b, nil
}

// take sorts a line in by what it says of the attempt.
func (b *Belief) take(l Attempt, nearest map[string]Attempt) {
	apart := b.distance(l)
	switch l.Event {
	case eventAttempt:
		if l.says(b.Attempt) && apart <= before {
			b.Known = append(b.Known, l)
		}
		if l.Endpoint != b.Attempt.Endpoint || l.Node == b.Attempt.Node || apart > believedWithin {
			return
		}
		if known, ok := nearest[l.Node]; !ok || apart < b.distance(known) {
			nearest[l.Node] = l
		}
	case "endpoint", "endpoint.removed", "endpoint.lapsed", "endpoint.leaving", "endpoint.withheld", "endpoint.released":
		if l.Endpoint == b.Attempt.Endpoint && apart <= before {
			b.Known = append(b.Known, l)
		}
	case "node.lost", "node.heard", "relay.lost", "relay.found", "store.lost", "store.regained", "pull.failed", "record.differs", "config", "start":
		if l.Node == b.Attempt.Node && !l.At.After(b.Attempt.At) && apart <= before {
			b.Events = append(b.Events, l)
		}
	}
}

// says reports whether the endpoint of an attempt said something of itself in another
// answer to the same node.
func (a Attempt) says(of Attempt) bool {
	return a.Node == of.Node && a.Endpoint == of.Endpoint && (a.Leaving || a.Rest > 0)
}

// word is what a line says of an endpoint's state.
func (a Attempt) word() string {
	switch {
	case a.Draining:
		return "draining"
	case a.Leaving:
		return "says that it leaves"
	case a.Rest > 0:
		return "asks for rest of " + ms(a.Rest).String()
	}
	return ""
}

func (b *Belief) distance(l Attempt) time.Duration { return l.At.Sub(b.Attempt.At).Abs() }

// sort puts the nodes that believed something most different from the middle
// first, and the rest by time.
func (b *Belief) sort() {
	loads := []int{b.Attempt.Load}
	for _, a := range b.Others {
		loads = append(loads, a.Load)
	}
	slices.Sort(loads)
	middle := loads[len(loads)/2]
	apart := func(a Attempt) int { return max(a.Load-middle, middle-a.Load) }
	slices.SortFunc(b.Others, func(x, y Attempt) int {
		return cmp.Or(cmp.Compare(apart(y), apart(x)), cmp.Compare(x.Node, y.Node))
	})
	byTime := func(x, y Attempt) int { return cmp.Or(x.At.Compare(y.At), cmp.Compare(x.Node, y.Node)) }
	slices.SortFunc(b.Known, byTime)
	slices.SortFunc(b.Events, byTime)
}

// Table writes what the node believed, and then the others.
func (b *Belief) Table(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	row := func(cells ...any) {
		for _, c := range cells {
			// Errors come with Flush.
			_, _ = fmt.Fprintf(t, "%v\t", c)
		}
		_, _ = fmt.Fprintln(t)
	}
	since := func(a Attempt) string { return fmt.Sprintf("%+.3f s", a.At.Sub(b.Attempt.At).Seconds()) }
	row("endpoint", b.Attempt.Endpoint, "result", b.Attempt.Result, b.Attempt.Cause)
	row("node", "when", "load", "mean", "ready", "age", "endpoint's word")
	for _, a := range slices.Concat([]Attempt{b.Attempt}, b.Others[:min(len(b.Others), beliefRows)]) {
		row(a.Node, since(a), a.Load, a.Mean, a.Ready, ms(a.Age), a.Reported)
	}
	row("of the endpoint")
	for _, a := range b.Known {
		row(a.Node, since(a), a.Event, a.word())
	}
	row("at the node before")
	for _, a := range b.Events {
		row(a.Node, since(a), a.Event, a.Peer)
	}
	if err := t.Flush(); err != nil {
		return fmt.Errorf("account: %w", err)
	}
	return nil
}
