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
	// compareWindow is how far from the request's attempt another node's
	// attempt at the same endpoint may be to be compared: loads change within
	// seconds.
	compareWindow = 2 * time.Second
	// eventWindow is how far from the attempt events are shown; a node's own
	// events are shown only before it.
	eventWindow = 10 * time.Second
	// maxOtherRows bounds the table of other nodes.
	maxOtherRows = 20
)

// ErrRequest is returned if no line of the logs has an attempt of a request.
var ErrRequest = errors.New("account: no attempt of this request")

type (
	// Record is a log line: an attempt of a request, with its node's view of
	// the endpoint then, or an event.
	Record struct {
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
		// LoadsAge is the age of the other nodes' part of the load, in
		// milliseconds.
		LoadsAge int64 `json:"loads_ms"`
		// Reported is the load that the endpoint reported in its response.
		Reported int    `json:"reported"`
		Peer     string `json:"peer"`
		Draining bool   `json:"draining"`
		// Leaving says that the endpoint's response had a leave notice, and
		// Backoff for how many milliseconds it asked for no more requests.
		Leaving bool  `json:"leaving"`
		Backoff int64 `json:"rest_ms"`
	}

	// EndpointView is the nodes' view of one endpoint around one attempt.
	EndpointView struct {
		Attempt Record
		// OtherNodes are the nearest attempts of other nodes at the endpoint,
		// the one with the most different load first.
		OtherNodes []Record
		// EndpointEvents are the nodes' lines about the endpoint's state around
		// the attempt, by time: that it is known, drains or is gone, and its
		// notices to the attempt's node.
		EndpointEvents []Record
		// NodeEvents are the node's lines about its peers, its relay, the
		// store, its configuration and its start, before the attempt.
		NodeEvents []Record
	}
)

// ReadEndpointView reads logs of any number of nodes, and returns their view of
// the endpoint to which a request was sent last.
func ReadEndpointView(r io.Reader, request string) (*EndpointView, error) {
	var lines []Record
	err := scanLines(r, func(l Record) {
		if l.Event != "" {
			lines = append(lines, l)
		}
	})
	if err != nil {
		return nil, err
	}
	v := &EndpointView{}
	for _, l := range lines {
		if l.Event == eventAttempt && l.Request == request && !l.At.Before(v.Attempt.At) {
			v.Attempt = l
		}
	}
	if v.Attempt.Endpoint == "" {
		return nil, fmt.Errorf("%w: %s", ErrRequest, request)
	}
	nearest := map[string]Record{}
	for _, l := range lines {
		v.add(l, nearest)
	}
	for _, a := range nearest {
		v.OtherNodes = append(v.OtherNodes, a)
	}
	v.sort()
	return v, nil
}

// add adds a line to the parts of the view that it belongs to.
func (v *EndpointView) add(l Record, nearest map[string]Record) {
	distance := v.distance(l)
	switch l.Event {
	case eventAttempt:
		if l.hasNotice(v.Attempt) && distance <= eventWindow {
			v.EndpointEvents = append(v.EndpointEvents, l)
		}
		if l.Endpoint != v.Attempt.Endpoint || l.Node == v.Attempt.Node || distance > compareWindow {
			return
		}
		if current, ok := nearest[l.Node]; !ok || distance < v.distance(current) {
			nearest[l.Node] = l
		}
	case "endpoint", "endpoint.removed", "endpoint.lapsed", "endpoint.leaving", "endpoint.withheld", "endpoint.released":
		if l.Endpoint == v.Attempt.Endpoint && distance <= eventWindow {
			v.EndpointEvents = append(v.EndpointEvents, l)
		}
	case "node.lost", "node.heard", "relay.lost", "relay.found", "store.lost", "store.regained", "pull.failed", "record.differs", "config", "start":
		if l.Node == v.Attempt.Node && !l.At.After(v.Attempt.At) && distance <= eventWindow {
			v.NodeEvents = append(v.NodeEvents, l)
		}
	}
}

// hasNotice reports whether r records a response of an attempt's endpoint to
// the same node, with a notice.
func (r Record) hasNotice(attempt Record) bool {
	return r.Node == attempt.Node && r.Endpoint == attempt.Endpoint && (r.Leaving || r.Backoff > 0)
}

// state returns the endpoint's state according to a line, empty if it has none.
func (r Record) state() string {
	switch {
	case r.Draining:
		return "draining"
	case r.Leaving:
		return "says that it leaves"
	case r.Backoff > 0:
		return "asks for rest of " + ms(r.Backoff).String()
	}
	return ""
}

func (v *EndpointView) distance(l Record) time.Duration { return l.At.Sub(v.Attempt.At).Abs() }

// sort orders the other nodes by how far their load is from the median, the
// farthest first, and the events by time.
func (v *EndpointView) sort() {
	loads := []int{v.Attempt.Load}
	for _, a := range v.OtherNodes {
		loads = append(loads, a.Load)
	}
	slices.Sort(loads)
	median := loads[len(loads)/2]
	deviation := func(a Record) int { return max(a.Load-median, median-a.Load) }
	slices.SortFunc(v.OtherNodes, func(x, y Record) int {
		return cmp.Or(cmp.Compare(deviation(y), deviation(x)), cmp.Compare(x.Node, y.Node))
	})
	byTime := func(x, y Record) int { return cmp.Or(x.At.Compare(y.At), cmp.Compare(x.Node, y.Node)) }
	slices.SortFunc(v.EndpointEvents, byTime)
	slices.SortFunc(v.NodeEvents, byTime)
}

// Table writes the view of the attempt's node, those of the others, and the
// events.
func (v *EndpointView) Table(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	writeRow := func(cells ...any) {
		for _, c := range cells {
			// Flush returns the errors.
			_, _ = fmt.Fprintf(t, "%v\t", c)
		}
		_, _ = fmt.Fprintln(t)
	}
	since := func(a Record) string { return fmt.Sprintf("%+.3f s", a.At.Sub(v.Attempt.At).Seconds()) }
	writeRow("endpoint", v.Attempt.Endpoint, "result", v.Attempt.Result, v.Attempt.Cause)
	writeRow("node", "when", "load", "mean", "ready", "age", "endpoint's word")
	for _, a := range slices.Concat([]Record{v.Attempt}, v.OtherNodes[:min(len(v.OtherNodes), maxOtherRows)]) {
		writeRow(a.Node, since(a), a.Load, a.Mean, a.Ready, ms(a.LoadsAge), a.Reported)
	}
	writeRow("of the endpoint")
	for _, a := range v.EndpointEvents {
		writeRow(a.Node, since(a), a.Event, a.state())
	}
	writeRow("at the node before")
	for _, a := range v.NodeEvents {
		writeRow(a.Node, since(a), a.Event, a.Peer)
	}
	if err := t.Flush(); err != nil {
		return fmt.Errorf("account: %w", err)
	}
	return nil
}
