package gateway

import (
	"errors"
	"fmt"
	"net/http"
	"net/netip"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"time"

	"bulrushhinge.example/bulrushhinge/internal/admission"
	"bulrushhinge.example/bulrushhinge/internal/balance"
	"bulrushhinge.example/bulrushhinge/internal/deployment"
)

// Outcomes of an explained request, before its first attempt.
const (
	// OutcomeRejected means that the request would be refused without being sent.
	OutcomeRejected Outcome = "rejected"
	// OutcomeSent means that it would be sent at once, OutcomeMaySend that this depends
	// on a draw.
	OutcomeSent    Outcome = "sent"
	OutcomeMaySend Outcome = "sent-if-drawn"
	// OutcomeWaits means that it would wait in this node's queue.
	OutcomeWaits Outcome = "waits"
	// OutcomeOffered means that it would be offered to another node first.
	OutcomeOffered Outcome = "offered"
)

const (
	// maxExplainedText bounds each text of a Query other than its path and prompt, and
	// maxExplainedPath these two, in bytes.
	maxExplainedText = 256
	maxExplainedPath = 4096
	// maxExplainedItems bounds the hosts, prefixes and services that an explanation
	// lists.
	maxExplainedItems = 32
	// maxExplainedDeadline is the longest deadline that can be asked about.
	maxExplainedDeadline = time.Hour
)

// ErrQuery is returned if a Query is invalid.
var ErrQuery = errors.New("gateway: query")

type (
	// Outcome is what would become of an explained request.
	Outcome string

	// Query describes a request that is to be explained. Its body is unknown.
	Query struct {
		Host   string
		Path   string
		Method string
		// Account is the name of its client account, empty if it shows no API key.
		Account string
		// Service is one of the route's services; empty means the one with the most
		// weight.
		Service string
		// Zone is the caller's availability zone, empty if unknown.
		Zone string
		// Prompt, Model and Tokens are the values of their headers.
		Prompt string
		Model  string
		Tokens int
		// Deadline is how long the caller waits, 0 if it does not say.
		Deadline time.Duration
	}

	// Explanation describes what this node would do with a request now.
	Explanation struct {
		Node string    `json:"node"`
		At   time.Time `json:"at"`
		// Version is that of the configuration, and ConfirmedMS how long ago the store
		// last confirmed it, in milliseconds.
		Version     uint64  `json:"version"`
		ConfirmedMS float64 `json:"confirmed_ms"`
		Stopping    bool    `json:"stopping,omitempty"`
		// Nodes are the addresses returned to callers in the query's zone.
		Nodes   []netip.AddrPort `json:"nodes,omitempty"`
		Outcome Outcome          `json:"outcome"`
		// Rejections lists what would reject the request now.
		Rejections []Rejection       `json:"rejections,omitempty"`
		Route      *ExplainedRoute   `json:"route,omitempty"`
		Account    *ExplainedAccount `json:"account,omitempty"`
		// Regions are the residency regions, if the request may run only there.
		Restricted bool     `json:"restricted,omitempty"`
		Regions    []string `json:"regions,omitempty"`
		DeadlineMS float64  `json:"deadline_ms,omitempty"`
		// Service is the one that is explained, of Split.
		Service string           `json:"service,omitempty"`
		Split   []ExplainedShare `json:"split,omitempty"`
		// Owner is the node through which all requests for the service pass; nil if it
		// has no owner.
		Owner *ExplainedOwner `json:"owner,omitempty"`
		// Reached reports whether this node reaches the service.
		Reached bool `json:"reached"`
		// BodyUnknown reports that the request was not looked up among those that end
		// endpoints, only the parts of its prompt.
		BodyUnknown bool `json:"body_unknown,omitempty"`
		// Endpoints is the number of endpoints within the residency regions.
		Endpoints int                    `json:"endpoints"`
		Choice    *balance.Explanation   `json:"choice,omitempty"`
		Queue     *admission.Explanation `json:"queue,omitempty"`
		// WaitsForHolder reports that the request would first wait for an engine that
		// holds its prompt; Choice is the one after that.
		WaitsForHolder bool `json:"waits_for_holder,omitempty"`
		// Reserves reports that a slot would be reserved at the chosen engine first.
		Reserves bool `json:"reserves,omitempty"`
	}

	// Rejection is a reason why a request would be rejected.
	Rejection struct {
		Reason string `json:"reason"`
		Status int    `json:"status"`
		// RetryAfterMS is the Retry-After of the response, in milliseconds.
		RetryAfterMS float64 `json:"retry_after_ms,omitempty"`
		Detail       string  `json:"detail,omitempty"`
	}

	// ExplainedRoute is the route of a request.
	ExplainedRoute struct {
		Name        string  `json:"name"`
		Prefix      string  `json:"prefix"`
		Priority    int     `json:"priority"`
		Public      bool    `json:"public"`
		Cached      bool    `json:"cached"`
		Streams     bool    `json:"streams"`
		Repeatable  bool    `json:"repeatable"`
		Attempts    int     `json:"attempts"`
		ObjectiveMS float64 `json:"objective_ms"`
		TimeoutMS   float64 `json:"timeout_ms"`
	}

	// ExplainedShare is a service's part of a route's traffic.
	ExplainedShare struct {
		Service string `json:"service"`
		Weight  int    `json:"weight"`
	}

	// ExplainedAccount is the client account of a request.
	ExplainedAccount struct {
		Name     string `json:"name"`
		Priority int    `json:"priority"`
	}

	// ExplainedOwner is the owner of a service.
	ExplainedOwner struct {
		// Name is the node's name, empty if the service has no owner.
		Name string `json:"name"`
		// Self reports whether that is the node that explains the request, and Asked
		// whether the request would be offered to it if it is another one.
		Self  bool `json:"this_node"`
		Asked bool `json:"asked"`
	}

	// ownerExplainer is implemented by Owners that can say what they would do.
	ownerExplainer interface {
		// ExplainOwner returns the owner of a service, and whether a request that may
		// run in some regions only, if any are given, would be offered to it. It
		// changes and counts nothing.
		ExplainOwner(now time.Time, service string, regions []string) ExplainedOwner
	}
)

// Explain describes what this node would do with a request now. It takes the same
// decisions as for a request, but sends, changes and counts nothing. It returns
// ErrQuery if the query is invalid.
func (h *Handler) Explain(now time.Time, q Query) (Explanation, error) {
	x := Explanation{At: now}
	in, err := h.explainedRequest(q)
	if err != nil {
		return x, err
	}
	if age, known := h.config.Deployment.Age(); known {
		x.ConfirmedMS = 1000 * age.Seconds()
	}
	config := h.config.Deployment.Snapshot().Config
	if config == nil {
		x.reject(notRun(reasonNoConfig, retrySoon), "")
		return x, nil
	}
	x.Version = config.Version
	c := &call{handler: h, in: in, started: now}
	known := slices.IndexFunc(config.Accounts, func(a deployment.Account) bool { return a.Name == q.Account && len(a.Keys) > 0 })
	if q.Account != "" && known >= 0 {
		in.Header.Set(h.config.Headers.APIKey, config.Accounts[known].Keys[0])
	}
	ref := c.admit()
	x.describe(c)
	if ref != nil {
		x.reject(ref, c.admissionDetail(q, config))
		return x, nil
	}
	service, err := c.explainedService(q.Service)
	if err != nil {
		return x, err
	}
	c.prepare(service)
	c.explain(now, &x)
	return x, nil
}

// explainedRequest returns a request as a caller would send it, without API key and
// body.
func (h *Handler) explainedRequest(q Query) (*http.Request, error) {
	for name, text := range map[string]string{"host": q.Host, "method": q.Method, "account": q.Account, "service": q.Service, "zone": q.Zone, "model": q.Model} {
		if len(text) > maxExplainedText {
			return nil, fmt.Errorf("%w: %s: longer than %d bytes", ErrQuery, name, maxExplainedText)
		}
	}
	target, err := url.ParseRequestURI(q.Path)
	switch {
	case q.Host == "":
		return nil, fmt.Errorf("%w: host: missing", ErrQuery)
	case len(q.Path) > maxExplainedPath || len(q.Prompt) > maxExplainedPath:
		return nil, fmt.Errorf("%w: path or prompt: longer than %d bytes", ErrQuery, maxExplainedPath)
	case err != nil || !strings.HasPrefix(q.Path, "/"):
		return nil, fmt.Errorf("%w: path: %q is no path that begins with a slash", ErrQuery, q.Path)
	case q.Tokens < 0 || q.Tokens > maxPartTokens:
		return nil, fmt.Errorf("%w: tokens: %d is not between 0 and %d", ErrQuery, q.Tokens, maxPartTokens)
	case q.Deadline < 0 || q.Deadline > maxExplainedDeadline:
		return nil, fmt.Errorf("%w: deadline: %v is not between 0 and %v", ErrQuery, q.Deadline, maxExplainedDeadline)
	}
	in, err := http.NewRequest(q.Method, "", http.NoBody)
	if err != nil {
		return nil, fmt.Errorf("%w: method: %q is not valid", ErrQuery, q.Method)
	}
	in.URL, in.RequestURI, in.Host = target, q.Path, q.Host
	names := h.config.Headers
	if q.Prompt != "" {
		in.Header.Set(names.Prompt, q.Prompt)
	}
	if q.Model != "" {
		in.Header.Set(names.Model, q.Model)
	}
	if q.Tokens > 0 {
		in.Header.Set(names.Tokens, strconv.Itoa(q.Tokens))
	}
	if q.Deadline > 0 {
		in.Header.Set(names.Deadline, strconv.FormatFloat(1000*q.Deadline.Seconds(), 'f', -1, 64))
	}
	return in, nil
}

// describe adds what is known once a request was admitted, as far as that went.
func (x *Explanation) describe(c *call) {
	if r := c.route; r != nil {
		x.Route = &ExplainedRoute{
			Name: r.Name, Prefix: r.Prefix, Priority: r.Priority, Public: r.Public, Cached: r.Cached, Streams: r.Kind.Streams(),
			Repeatable: r.Kind.Retryable(), Attempts: r.Attempts, ObjectiveMS: 1000 * r.Objective.Seconds(), TimeoutMS: 1000 * r.Timeout.Seconds(),
		}
		for _, s := range r.Split[:min(len(r.Split), maxExplainedItems)] {
			x.Split = append(x.Split, ExplainedShare{Service: s.Service, Weight: s.Weight})
		}
	}
	if a := c.account; a != nil {
		x.Account = &ExplainedAccount{Name: a.Name, Priority: a.Priority}
	}
	if !c.deadline.IsZero() {
		x.DeadlineMS = 1000 * c.deadline.Sub(c.started).Seconds()
		x.Restricted, x.Regions = c.residency.restricted, c.residency.regions
	}
}

// reject adds a reason why the request would be rejected.
func (x *Explanation) reject(r *refusal, detail string) {
	x.Outcome = OutcomeRejected
	x.Rejections = append(x.Rejections, Rejection{Reason: r.reason, Status: r.status, RetryAfterMS: 1000 * r.retryAfter.Seconds(), Detail: detail})
}
