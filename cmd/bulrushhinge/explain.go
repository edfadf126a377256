package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"strconv"
	"strings"
	"time"

	"bulrushhinge.example/bulrushhinge/internal/balance"
	"bulrushhinge.example/bulrushhinge/internal/gateway"
)

// maxExplanationBytes bounds a node's explanation; one with 32 candidates has about
// 15 KB.
const maxExplanationBytes = 1 << 20

// errExplain is returned if a node does not explain a request.
var errExplain = errors.New("explain: the node did not answer")

// explainCommand shows where nodes would route a request now, and why.
type explainCommand struct {
	Node     []address `help:"Addresses and ports at which nodes serve their metrics and state, separated by commas (required)." need:"yes"`
	Host     string    `help:"Host of the request (required)." need:"yes"`
	Path     string    `help:"Path of the request." default:"/"`
	Method   string    `help:"Method of the request." default:"GET"`
	Account  string    `help:"Name of the client account, never its key."`
	Service  string    `help:"Service, if the route is split; without it, the one with the most weight."`
	Zone     string    `help:"Availability zone of the caller, to show the nodes that it is told."`
	Prompt   string    `help:"Parts of the prompt, as in the request's header."`
	Model    string    `help:"Model that is requested."`
	Tokens   count     `help:"Number of prompt tokens." placeholder:"N"`
	Deadline duration  `help:"How long the caller waits." placeholder:"1500ms"`
	JSON     bool      `name:"json" help:"Print the nodes' answers as JSON."`
}

// Validate reports every invalid setting at once.
func (c *explainCommand) Validate() error { return checkSettings(c) }

// Run prints the explanation of each node. Errors of nodes that did not answer are
// returned after the others are printed.
func (c *explainCommand) Run() error {
	var errs []error
	for _, addr := range c.Node {
		data, err := c.fetch(addr)
		if err == nil {
			err = c.print(data)
		}
		if err != nil {
			errs = append(errs, fmt.Errorf("%s: %w", addr, err))
		}
	}
	return errors.Join(errs...)
}

// params returns the parameters that describe the request to a node.
func (c *explainCommand) params() url.Values {
	v := url.Values{}
	for name, text := range map[string]string{
		"host": c.Host, "path": c.Path, "method": c.Method, "account": c.Account, "service": c.Service, "zone": c.Zone, "prompt": c.Prompt, "model": c.Model,
	} {
		if text != "" {
			v.Set(name, text)
		}
	}
	if c.Tokens.n > 0 {
		v.Set("tokens", strconv.Itoa(c.Tokens.n))
	}
	if c.Deadline.Duration > 0 {
		v.Set("deadline", c.Deadline.String())
	}
	return v
}

func (c *explainCommand) fetch(addr address) ([]byte, error) {
	client := http.Client{Timeout: stateTimeout}
	resp, err := client.Get("http://" + addr.String() + "/explain?" + c.params().Encode())
	if err != nil {
		return nil, fmt.Errorf("%w: %v", errExplain, err)
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxExplanationBytes))
	if err != nil {
		return nil, fmt.Errorf("%w: %v", errExplain, err)
	}
	if resp.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("%w: %s: %s", errExplain, resp.Status, strings.TrimSpace(string(data)))
	}
	return data, nil
}

func (c *explainCommand) print(data []byte) error {
	var x gateway.Explanation
	if err := json.Unmarshal(data, &x); err != nil {
		return fmt.Errorf("%w: %v", errExplain, err)
	}
	if c.JSON {
		_, err := os.Stdout.Write(append(data, '\n'))
		return err
	}
	table([]string{"question", "answer"}, explainedRows(x))
	if x.Choice != nil && len(x.Choice.Candidates) > 0 {
		head, rows := candidateRows(x.Choice)
		table(head, rows)
	}
	return nil
}

// explainedRows returns the rows of an explanation, without the candidates.
func explainedRows(x gateway.Explanation) [][]string {
	var rows [][]string
	add := func(name, format string, args ...any) {
		rows = append(rows, []string{name, fmt.Sprintf(format, args...)})
	}
	add("node", "%s%s", x.Node, map[bool]string{true: ", stopping"}[x.Stopping])
	add("outcome", "%s", x.Outcome)
	for _, r := range x.Rejections {
		add("rejected by", "%s (%d) %s", r.Reason, r.Status, r.Detail)
	}
	add("configuration", "version %d, confirmed %s ago", x.Version, shownMS(x.ConfirmedMS))
	if r := x.Route; r != nil {
		add("route", "%s (%s), priority %d, objective %s, timeout %s", r.Name, r.Prefix, r.Priority, shownMS(r.ObjectiveMS), shownMS(r.TimeoutMS))
	}
	if a := x.Account; a != nil {
		add("account", "%s, priority %d", a.Name, a.Priority)
	}
	if x.Restricted {
		add("residency", "%s", strings.Join(x.Regions, ", "))
	}
	for _, n := range x.Nodes {
		add("node for the caller", "%s", n)
	}
	if x.Service != "" {
		add("service", "%s, %d endpoints%s", x.Service, x.Endpoints, map[bool]string{false: ", not reached by this node"}[x.Reached])
	}
	if x.Owner != nil {
		add("owner", "%s%s", x.Owner.Name, ownerNote(x.Owner))
	}
	if x.BodyUnknown {
		add("note", "whether this very request ends endpoints depends on its body")
	}
	if x.WaitsForHolder {
		add("note", "waits for an engine that holds its prompt first")
	}
	return append(rows, append(choiceRows(x), queueRows(x)...)...)
}

// ownerNote returns what the owner of a service means for the request.
func ownerNote(o *gateway.ExplainedOwner) string {
	switch {
	case o.Self:
		return ", this node"
	case o.Asked:
		return ", would be asked"
	}
	return ", would not be asked now"
}

func choiceRows(x gateway.Explanation) [][]string {
	c := x.Choice
	if c == nil {
		return nil
	}
	var rows [][]string
	add := func(name, format string, args ...any) {
		rows = append(rows, []string{name, fmt.Sprintf(format, args...)})
	}
	switch c.Draw {
	case balance.DrawTwo:
		add("chosen", "the better of two of %d", c.Drawn)
	case balance.DrawEqual:
		add("chosen", "one of %d that are equally good", c.Drawn)
	case balance.DrawCold:
		add("chosen", "one of %d cold ones if drawn, or else %s", c.Drawn, orNone(c.Chosen))
	default:
		add("chosen", "%s", orNone(c.Chosen))
	}
	if c.Source != "" {
		add("cached parts from", "%s", c.Source)
	}
	if c.PrefillMS > 0 {
		add("expected prefill", "%s", shownMS(c.PrefillMS))
	}
	if x.Reserves {
		add("note", "reserves a slot first")
	}
	add("mean load", "%.1f, %.1f with evacuated zones, other nodes' part %s old", c.Mean, c.MeanAll, shownMS(c.LoadsAgeMS))
	if c.Bound > 0 {
		add("bound", "%.1f", c.Bound)
	}
	add("candidates", "%d of %d shown; no candidates: %d draining, %d evacuated, %d gone", len(c.Candidates), c.Total, c.Draining, c.Evacuated, c.Gone)
	return rows
}

func queueRows(x gateway.Explanation) [][]string {
	q := x.Queue
	if q == nil {
		return nil
	}
	wait, position := "unknown", "would not be let in ("+q.Rejected+")"
	if q.ExpectedWaitMS != nil {
		wait = shownMS(*q.ExpectedWaitMS)
	}
	if q.Position > 0 {
		position = fmt.Sprintf("would be number %d, for at most %s", q.Position, shownMS(q.MayWaitMS))
	}
	rows := [][]string{{"queue", fmt.Sprintf("order %s, %d waiting, %d of the kind, %s, expected wait %s", q.Order, q.Waiting, q.OfKind, position, wait)}}
	if q.WorkMS > 0 {
		rows = append(rows, []string{"cost", fmt.Sprintf(
			"due in %s, work %s, weight %.3g, backlog %s at %.3g s/s, last completion %s ago", shownMS(q.DueMS), shownMS(q.WorkMS), q.Weight, shownMS(q.BacklogMS), q.Rate, shownMS(q.RateAgeMS),
		)})
	}
	return rows
}

// candidateRows returns a row for each candidate, with the values that matter for a
// request with a prompt or without.
func candidateRows(x *balance.Explanation) (head []string, rows [][]string) {
	prompt := x.Bound > 0
	head = []string{"endpoint", "zone", "chosen", "load", "own and others'", "reported", "slots"}
	if prompt {
		head = append(head, "rank", "holds", "prefill tokens", "prefill")
	} else {
		head = append(head, "cost")
	}
	for _, c := range x.Candidates {
		row := []string{
			c.Endpoint, c.Zone, map[bool]string{true: "yes"}[c.Chosen] + map[bool]string{true: "drawn from"}[c.Drawn], strconv.Itoa(c.Load),
			fmt.Sprintf("%d and %d", c.Own, c.Others), strconv.Itoa(c.Reported), strconv.Itoa(c.Slots),
		}
		if prompt {
			row = append(row, strconv.Itoa(c.Rank), map[bool]string{true: "yes"}[c.Holds], strconv.Itoa(c.Prefill), shownMS(c.PrefillMS))
		} else {
			row = append(row, fmt.Sprintf("%.2f", c.Cost))
		}
		rows = append(rows, append(row, candidateState(c)))
	}
	return append(head, "state"), rows
}

// candidateState returns what keeps requests from an endpoint, or may.
func candidateState(c balance.ExplainedCandidate) string {
	var state []string
	for _, s := range []struct {
		name string
		is   bool
	}{{"suspect", c.Suspect}, {"suspect, to be probed", c.Probe}, {"cold", c.Cold}} {
		if s.is {
			state = append(state, s.name)
		}
	}
	if c.Slowdown > 0 {
		state = append(state, fmt.Sprintf("work takes %.2f times as long as usual, reported %s ago", c.Slowdown, shownMS(c.SlowdownMS)))
	}
	for _, b := range c.Blocked {
		text := "blocked: " + b.Reason
		if b.LeftMS > 0 {
			text += " for " + shownMS(b.LeftMS)
		}
		state = append(state, text)
	}
	return strings.Join(state, ", ")
}

// shownMS returns a time in milliseconds as text.
func shownMS(ms float64) string {
	return time.Duration(ms * float64(time.Millisecond)).Round(100 * time.Microsecond).String()
}

func orNone(text string) string {
	if text == "" {
		return "none"
	}
	return text
}
