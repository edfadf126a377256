package gateway

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	"bulrushhinge.example/bulrushhinge/internal/admission"
	"bulrushhinge.example/bulrushhinge/internal/balance"
	"bulrushhinge.example/bulrushhinge/internal/deployment"
)

// explain adds what would become of an admitted request.
func (c *call) explain(now time.Time, x *Explanation) {
	h := c.handler.config
	list := c.endpoints()
	x.Service, x.Endpoints, x.Reached = c.service.Name, len(list), h.Reach.Reaches(c.service.Name)
	x.Outcome = OutcomeWaits
	owned := c.explainOwner(now, x)
	offered := c.mayHandOver() || x.Owner != nil && x.Owner.Asked
	c.explainChoice(now, x, list, owned)
	queue := c.explainQueue(now, owned)
	x.Queue = &queue
	isolated := c.explainIsolation(x)
	c.explainRejections(now, x, list)
	if offered && !isolated {
		// The rejections are those if no other node takes the request.
		x.Outcome = OutcomeOffered
	}
	if x.Outcome != OutcomeWaits {
		return
	}
	tries := queue.MayTry && !x.WaitsForHolder
	if c.cost != nil && queue.Rejected != "" {
		// It looks for any slot before it is refused.
		tries = true
	}
	switch {
	case tries && x.Choice.Draw == balance.DrawCold:
		x.Outcome = OutcomeMaySend
	case tries && (x.Choice.Chosen != "" || x.Choice.Draw != ""):
		x.Outcome = OutcomeSent
	case queue.Rejected == admission.RejectedExcess:
		x.reject(c.rejected(reasonExcess, queue), "places are scarce, and the account sends far more than usual")
	case queue.Rejected != "":
		x.reject(c.rejected(reasonFull, queue), "no slot is expected to be free in time")
	}
}

// explainOwner adds the owner of the service, and reports whether that is this node.
func (c *call) explainOwner(now time.Time, x *Explanation) (owned bool) {
	o, ok := c.handler.config.Owners.(ownerExplainer)
	if !ok {
		return c.exclusive()
	}
	var regions []string
	if c.residency.restricted {
		regions = c.residency.regions
	}
	found := o.ExplainOwner(now, c.service.Name, regions)
	if found.Name == "" {
		return false
	}
	x.Owner = &found
	return found.Self
}

// explainChoice adds the choice of an endpoint. If the request would first wait for an
// engine that holds its prompt, it is the choice after that.
func (c *call) explainChoice(now time.Time, x *Explanation, list []*deployment.Endpoint, owned bool) {
	b := c.handler.config.Balancer
	choice := b.Explain(now, list, c.balanceRequest(true, owned))
	if choice.Chosen == "" && choice.Draw == "" && c.promptKey != "" {
		if later := b.Explain(now, list, c.balanceRequest(false, owned)); later.Chosen != "" || later.Draw != "" {
			choice, x.WaitsForHolder = later, true
		}
	}
	x.Choice = &choice
	if i := slices.IndexFunc(list, func(e *deployment.Endpoint) bool { return e.ID == choice.Chosen }); i >= 0 {
		x.Reserves = c.service.Model && choice.NearlyFull && c.handler.reservations.supported(list[i].Start(), now)
	}
}

// explainIsolation reports whether the request would be rejected because it, or a part
// of its prompt, ends endpoints.
func (c *call) explainIsolation(x *Explanation) bool {
	features := c.features
	if c.in.Method != http.MethodGet && c.in.Method != http.MethodHead {
		// The first feature is the whole request, with its body.
		x.BodyUnknown, features = true, features[1:]
	}
	i := c.handler.config.Crashes.Explain(features)
	if i.Left > 0 {
		x.reject(notRun(reasonCrashes, i.Left), fmt.Sprintf("%s %s, %d crashes", i.Scope, i.Print(), i.Crashes))
	}
	return i.Left > 0
}

// explainRejections adds the reasons why this node's endpoints would not be sent the
// request however long it waits.
func (c *call) explainRejections(now time.Time, x *Explanation, list []*deployment.Endpoint) {
	if reason := c.blockedReason(); reason != "" {
		x.reject(c.giveUp(reason), "")
	}
	if len(list) == 0 && !c.residency.restricted {
		x.reject(c.giveUp(reasonNoEndpoint), "unless one becomes known while it waits")
	}
	until := now.Add(time.Duration(x.Queue.MayWaitMS * float64(time.Millisecond)))
	if first, all := c.handler.config.Balancer.BackingOff(now, list...); all && first.After(until) {
		x.reject(c.giveUp(reasonBackoff), fmt.Sprintf("the first backoff ends in %v", first.Sub(now).Round(time.Millisecond)))
	}
}

// explainQueue returns what the queue of the service would do with the request; an empty
// one if the service has none yet.
func (c *call) explainQueue(now time.Time, owned bool) admission.Explanation {
	shares, cost := c.handler.queues.known(c.service.Name)
	if !c.handler.config.CostOrder.applies(func() bool { return owned }) {
		if shares == nil {
			shares = admission.NewQueue()
		}
		c.waitQueue = shares
		return shares.Explain(now, c.admissionRequest())
	}
	if cost == nil {
		cost = newCostQueue()
	}
	c.waitQueue, c.cost = cost, cost
	c.work = cost.work.Work(c.route.Name, c.admissionRequest().Tokens)
	return cost.Explain(now, c.admissionRequest())
}

// rejected returns the refusal of a request that the queue rejects.
func (c *call) rejected(reason string, x admission.Explanation) *refusal {
	ref := c.giveUp(reason)
	if c.cost != nil && ref.retryAfter > 0 {
		ref.retryAfter = time.Duration(x.RetryAfterMS * float64(time.Millisecond))
	}
	return ref
}

// explainedService returns the service that is explained: one of the route's.
func (c *call) explainedService(name string) (string, error) {
	split := c.route.Split
	if name != "" {
		if !slices.ContainsFunc(split, func(s deployment.Share) bool { return s.Service == name }) {
			return "", fmt.Errorf("%w: service: route %s has no service %q", ErrQuery, c.route.Name, name)
		}
		return name, nil
	}
	best := deployment.Share{}
	for _, s := range split {
		if best.Service == "" || s.Weight > best.Weight {
			best = s
		}
	}
	return best.Service, nil
}

// admissionDetail returns why a request has no route or account.
func (c *call) admissionDetail(q Query, config *deployment.Config) string {
	if c.route == nil {
		return noRouteDetail(q.Host, config)
	}
	switch {
	case c.account != nil || c.route.Public:
		return ""
	case q.Account == "":
		return fmt.Sprintf("route %s needs an account", c.route.Name)
	case slices.ContainsFunc(config.Accounts, func(a deployment.Account) bool { return a.Name == q.Account }):
		return fmt.Sprintf("account %s has no API key", q.Account)
	}
	return fmt.Sprintf("there is no account %s", q.Account)
}

// noRouteDetail returns why no route matches a host and path.
func noRouteDetail(host string, config *deployment.Config) string {
	var hosts, prefixes []string
	for _, r := range config.Routes {
		hosts = append(hosts, r.Host)
		if strings.EqualFold(r.Host, host) {
			prefixes = append(prefixes, r.Prefix)
		}
	}
	if len(prefixes) > 0 {
		return "the routes of the host have the prefixes " + shortList(prefixes)
	}
	return "no route has the host; there are " + shortList(hosts)
}

// shortList returns the distinct texts of a list, sorted, with a mark if there are more
// than maxExplainedItems.
func shortList(list []string) string {
	slices.Sort(list)
	list = slices.Compact(list)
	if len(list) > maxExplainedItems {
		list = append(slices.Clone(list[:maxExplainedItems]), "…")
	}
	return strings.Join(list, ", ")
}
