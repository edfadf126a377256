package gateway

import (
	"errors"
	"fmt"
	"io"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"bulrushhinge.example/bulrushhinge/internal/admission"
	"bulrushhinge.example/bulrushhinge/internal/decision"
)

// Values of CostOrder.
const (
	// CostOrderNever uses the order by served shares for all services.
	CostOrderNever CostOrder = "never"
	// CostOrderOwned uses the order by cost for services that have an owner.
	CostOrderOwned CostOrder = "owned"
	// CostOrderAlways uses the order by cost for all services.
	CostOrderAlways CostOrder = "always"
)

const (
	// wakeInterval is how often all waiting requests check whether they have to be
	// handed over, while this node does not reach their service.
	wakeInterval = 50 * time.Millisecond
	// maxCostQueues is the number of services from which queues without waiting
	// requests are dropped: operators replace services all the time.
	maxCostQueues = 256
)

// ErrCostOrder is returned for an unknown value of CostOrder.
var ErrCostOrder = errors.New("gateway: cost order is none of never, owned, always")

type (
	// CostOrder says for which services waiting requests are ordered by cost.
	CostOrder string

	// queue orders the waiting requests of a service.
	queue interface {
		Arrived(now time.Time, r admission.Request) (excess bool)
		Admitted(now time.Time, r admission.Request)
		ObserveLatency(r admission.Request, first time.Duration)
		MayTry(now time.Time, r admission.Request) bool
		Refused(now time.Time, r admission.Request)
		Join(now time.Time, r admission.Request) *admission.Waiter
		Leave(w *admission.Waiter)
		StartRound(now time.Time)
		NoPlace(now time.Time)
		NextTurn()
		Waiting() int
	}

	// QueueState is the state of a service's queue for operators.
	QueueState struct {
		// Order is what requests are ordered by: shares or cost.
		Order   string `json:"order"`
		Waiting int    `json:"waiting"`
	}

	// queues are the queues of the services.
	queues struct {
		mu     sync.Mutex
		shares map[string]*admission.Queue
		cost   map[string]*costQueue
	}

	// callQueue is the queue that a call uses.
	callQueue struct {
		// waitQueue is nil before it is first used.
		waitQueue queue
		// cost is the same queue if it orders by cost, otherwise nil.
		cost *costQueue
		// work is the expected time in a slot, 0 if it is unknown or not needed.
		work time.Duration
	}

	// costQueue is the queue of a service whose requests are ordered by cost.
	costQueue struct {
		*admission.CostQueue
		work *admission.WorkEstimator

		mu sync.Mutex
		// polling says that a goroutine starts timed rounds.
		polling bool
		// woken is closed to have all waiting requests check their state.
		woken   chan struct{}
		wokenAt time.Time
		// rejected counts rejected requests by reason, and weight sums their weights.
		rejected map[string]uint64
		weight   float64
	}
)

// ParseCostOrder returns the CostOrder of a name, or ErrCostOrder. An empty name is
// CostOrderNever.
func ParseCostOrder(name string) (CostOrder, error) {
	switch o := CostOrder(name); o {
	case "":
		return CostOrderNever, nil
	case CostOrderNever, CostOrderOwned, CostOrderAlways:
		return o, nil
	}
	return "", fmt.Errorf("%w: %q", ErrCostOrder, name)
}

// ordersByCost reports whether new requests for a service are ordered by cost.
func (h *Handler) ordersByCost(service string) bool {
	return h.config.CostOrder.applies(func() bool { return h.config.Owned != nil && h.config.Owned(service) })
}

// applies reports whether new requests for a service are ordered by cost; owned reports
// whether this node owns it.
func (o CostOrder) applies(owned func() bool) bool {
	switch o {
	case CostOrderAlways:
		return true
	case CostOrderOwned:
		return owned()
	}
	return false
}

func newQueues() queues {
	return queues{shares: map[string]*admission.Queue{}, cost: map[string]*costQueue{}}
}

// byShares returns the queue of a service that orders by served shares.
func (s *queues) byShares(service string) *admission.Queue {
	s.mu.Lock()
	defer s.mu.Unlock()
	q := s.shares[service]
	if q == nil {
		q = admission.NewQueue()
		s.shares[service] = q
	}
	return q
}

// byCost returns the queue of a service that orders by cost.
func (s *queues) byCost(service string) *costQueue {
	s.mu.Lock()
	defer s.mu.Unlock()
	q := s.cost[service]
	if q != nil {
		return q
	}
	if len(s.cost) >= maxCostQueues {
		maps.DeleteFunc(s.cost, func(_ string, old *costQueue) bool { return old.Waiting() == 0 })
	}
	q = newCostQueue()
	s.cost[service] = q
	return q
}

func newCostQueue() *costQueue {
	return &costQueue{
		CostQueue: admission.NewCostQueue(), work: admission.NewWorkEstimator(), woken: make(chan struct{}), rejected: map[string]uint64{},
	}
}

// known returns the queues that a service has, each of which may be nil.
func (s *queues) known(service string) (*admission.Queue, *costQueue) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.shares[service], s.cost[service]
}

// queue returns the queue of the call's service. It stays the same for the call, even
// if new requests for the service are ordered in another way since.
func (c *call) queue() queue {
	if c.waitQueue != nil {
		return c.waitQueue
	}
	h, name := c.handler, c.service.Name
	if !h.ordersByCost(name) {
		c.waitQueue = h.queues.byShares(name)
		return c.waitQueue
	}
	c.cost = h.queues.byCost(name)
	c.work = c.cost.work.Work(c.route.Name, c.admissionRequest().Tokens)
	c.waitQueue = c.cost
	return c.waitQueue
}

// tookSlot records that the call has got a slot.
func (c *call) tookSlot(now time.Time, w *admission.Waiter) {
	if c.cost != nil {
		c.cost.Started(now, c.admissionRequest(), w)
	}
}

// released records that an attempt has left its slot, so that waiting requests look for
// one: in the call's own queue, and in the one that is used otherwise if the service
// has both.
func (c *call) released(now time.Time, took time.Duration, served bool) {
	own := c.queue()
	if c.cost == nil {
		own.StartRound(now)
	} else {
		if served {
			r := c.admissionRequest()
			c.cost.work.Observe(r.Kind, r.Tokens, took)
		} else {
			took = 0
		}
		c.cost.Completed(now, c.admissionRequest(), took)
	}
	shares, cost := c.handler.queues.known(c.service.Name)
	if c.cost != nil && shares != nil {
		shares.StartRound(now)
	}
	if c.cost == nil && cost != nil {
		cost.StartRound(now)
	}
}

// Queues returns the state of the services' queues, by service. A service has two
// while the setting of its order has changed and requests still wait in the former one.
func (h *Handler) Queues() map[string][]QueueState {
	h.queues.mu.Lock()
	defer h.queues.mu.Unlock()
	states := map[string][]QueueState{}
	for name, q := range h.queues.shares {
		states[name] = append(states[name], QueueState{Order: "shares", Waiting: q.Waiting()})
	}
	for name, q := range h.queues.cost {
		states[name] = append(states[name], QueueState{Order: "cost", Waiting: q.Waiting()})
	}
	return states
}

// poll starts timed rounds until no request waits, as slots are also freed by other
// nodes' requests. One goroutine does so for all waiting requests.
func (q *costQueue) poll(reaches func() bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.polling {
		return
	}
	q.polling = true
	go func() {
		ticker := time.NewTicker(pollInterval)
		defer ticker.Stop()
		for now := range ticker.C {
			q.StartRound(now)
			if !q.keepPolling(now, reaches()) {
				return
			}
		}
	}()
}

// keepPolling reports whether requests wait. While the node does not reach the service,
// it wakes them all at intervals.
func (q *costQueue) keepPolling(now time.Time, reaches bool) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.Waiting() == 0 {
		q.polling = false
		return false
	}
	if !reaches && now.Sub(q.wokenAt) >= wakeInterval {
		close(q.woken)
		q.woken, q.wokenAt = make(chan struct{}), now
	}
	return true
}

// wake returns a channel that is closed when waiting requests have to check their
// state.
func (q *costQueue) wake() <-chan struct{} {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.woken
}

// countRejected counts a rejected request.
func (q *costQueue) countRejected(reason string, weight float64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.rejected[reason]++
	q.weight += weight
}

// logRejected logs and counts a request that the queue has rejected, and returns its
// retry delay.
func (c *call) logRejected(reason string, began time.Time) time.Duration {
	now, r := time.Now(), c.admissionRequest()
	x := c.cost.Rejection(now, r)
	c.cost.countRejected(reason, x.Weight)
	c.log("queue.rejected", decision.Fields{
		"service": c.service.Name, "reason": reason, "due_in_ms": x.Due.Milliseconds(), "work_ms": x.Work.Milliseconds(), "weight": x.Weight,
		"tokens": r.Tokens, "backlog_ms": x.Backlog.Milliseconds(), "rate": float64(int(x.Rate*100)) / 100, "rate_age_ms": x.RateAge.Milliseconds(),
		"waiting": x.Waiting, "waited_ms": now.Sub(began).Milliseconds(),
	})
	return x.RetryAfter
}

// writeQueueMetrics writes the metrics of the cost queues in the Prometheus text
// format. Services and kinds without a queue have none, so their number is bounded.
func (h *Handler) writeQueueMetrics(w io.Writer) {
	h.queues.mu.Lock()
	all := maps.Clone(h.queues.cost)
	h.queues.mu.Unlock()
	for _, name := range slices.Sorted(maps.Keys(all)) {
		all[name].writeMetrics(w, name)
	}
}

func (q *costQueue) writeMetrics(w io.Writer, service string) {
	metrics.WriteGaugeUint64(w, fmt.Sprintf(metricPrefix+`queue_waiting{service=%q}`, service), uint64(q.Waiting()))
	for kind, share := range q.Shares() {
		metrics.WriteGaugeFloat64(w, fmt.Sprintf(metricPrefix+`queue_served_share{service=%q,kind=%q}`, service, kind), share)
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	metrics.WriteCounterFloat64(w, fmt.Sprintf(metricPrefix+`queue_rejected_weight_total{service=%q}`, service), q.weight)
	for reason, n := range q.rejected {
		metrics.WriteCounterUint64(w, fmt.Sprintf(metricPrefix+`queue_rejected_total{service=%q,reason=%q}`, service, reason), n)
	}
}
