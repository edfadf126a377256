// Package owner decides which node owns a small service, and when that node may be
// asked. It uses neither network nor clock.
//
// A service whose slots are shared by many more nodes than there are slots has an owner:
// one node through which all its requests pass, so that one queue orders them and the
// counts of requests in progress are exact. Each node determines the owner from its own
// view of the membership. Nodes that disagree briefly use two owners for that time,
// which affects only the order of requests.
package owner

import (
	"errors"
	"fmt"
	"sync"

	"github.com/cespare/xxhash/v2"
)

const (
	// MaxRatio is the greatest ratio of slots to nodes.
	MaxRatio = 1000
	// keepFactor is the multiple of the threshold below which a service keeps its
	// owner. A restart of endpoints lists the old and the new ones for a while, which
	// must not toggle ownership.
	keepFactor = 1.25
	// minPowerShare is the fraction of the largest CPU allowance that a candidate has
	// at least: the owner handles the requests of all nodes for the service.
	minPowerShare = 0.75
)

// ErrRatio is returned for an invalid ratio of slots to nodes.
var ErrRatio = errors.New("owner: bad ratio")

type (
	// Member is a node that may own a service.
	Member struct {
		Name string
		Zone string
		// Power is its CPU allowance in thousandths of a core.
		Power int
		// Ready says that it serves callers, Reaches that it reaches the service.
		Ready   bool
		Reaches bool
	}

	// Input is what a decision depends on.
	Input struct {
		Service string
		// Slots are those of the service's listed endpoints, draining ones included; 0
		// if no endpoint is listed.
		Slots int
		// Nodes is the number of known nodes, including unreachable ones.
		Nodes int
		// Members are the nodes that are alive, including this one.
		Members []Member
	}

	// Decision is whether a service has an owner, and the values that decided it.
	Decision struct {
		// Owner is the name of the owner, empty if there is none.
		Owner string
		// Small says that the service has so few slots that it should have an owner.
		Small bool
		Slots int
		Nodes int
		// Threshold is the number of slots below which a service gets an owner.
		Threshold float64
		// Candidates is the number of nodes that may be the owner.
		Candidates int
	}

	// Key identifies the state that an Input is derived from. Decisions for equal keys
	// are equal.
	Key struct {
		// Members is a pointer to the view of the membership, Endpoints one to the
		// snapshot of the endpoints.
		Members   any
		Endpoints any
		// Ready and Reaches are those of this node, which change without a new view.
		Ready   bool
		Reaches bool
	}

	// Config configures a Tracker.
	Config struct {
		// Ratio is how many slots a service has at most for each known node to get an
		// owner; 0 means that no service does.
		Ratio float64
		// Changed is called after the owner of a service changes; it may be nil.
		Changed func(service string, old, now Decision)
	}

	// Tracker knows the owners of services. It is safe for concurrent use.
	Tracker struct {
		config   Config
		mu       sync.Mutex
		services map[string]*entry
	}

	entry struct {
		key      Key
		decision Decision
	}
)

// CheckRatio returns ErrRatio unless a ratio is within 0 and MaxRatio.
func CheckRatio(r float64) error {
	if r >= 0 && r <= MaxRatio {
		return nil
	}
	return fmt.Errorf("%w: %v is not within 0 and %d", ErrRatio, r, MaxRatio)
}

// NewTracker returns a Tracker that knows no owner yet.
func NewTracker(c Config) *Tracker { return &Tracker{config: c, services: map[string]*entry{}} }

// Decide returns the decision for a service. The input is computed only if the key
// differs from that of the previous decision.
func (t *Tracker) Decide(service string, k Key, in func() Input) Decision {
	t.mu.Lock()
	e := t.services[service]
	if e != nil && e.key == k {
		defer t.mu.Unlock()
		return e.decision
	}
	if e == nil {
		e = &entry{}
		t.services[service] = e
	}
	old := e.decision
	e.key, e.decision = k, t.config.decide(old.Small, in())
	now := e.decision
	t.mu.Unlock()
	if now.Owner != old.Owner && t.config.Changed != nil {
		t.config.Changed(service, old, now)
	}
	return now
}

// Peek returns what Decide would return, but records nothing and does not call Changed.
func (t *Tracker) Peek(service string, k Key, in func() Input) Decision {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.services[service]
	if e == nil {
		e = &entry{}
	}
	if e.key == k {
		return e.decision
	}
	return t.config.decide(e.decision.Small, in())
}

// Forget forgets the services other than some. Their owners change to none.
func (t *Tracker) Forget(except func(service string) bool) {
	t.mu.Lock()
	forgotten := map[string]Decision{}
	for name, e := range t.services {
		if !except(name) {
			forgotten[name] = e.decision
			delete(t.services, name)
		}
	}
	t.mu.Unlock()
	for name, old := range forgotten {
		if old.Owner != "" && t.config.Changed != nil {
			t.config.Changed(name, old, Decision{})
		}
	}
}

// Decisions returns the latest decisions by service.
func (t *Tracker) Decisions() map[string]Decision {
	t.mu.Lock()
	defer t.mu.Unlock()
	all := make(map[string]Decision, len(t.services))
	for name, e := range t.services {
		all[name] = e.decision
	}
	return all
}

// decide decides whether a service has an owner, and which. Before says that it was
// small when last decided.
func (c Config) decide(before bool, in Input) Decision {
	d := Decision{Slots: in.Slots, Nodes: in.Nodes, Threshold: c.Ratio * float64(in.Nodes)}
	switch slots := float64(in.Slots); {
	case in.Slots == 0:
		// All endpoints have left, or none is known yet: their number decides nothing.
		d.Small = before
	case before:
		d.Small = slots < keepFactor*d.Threshold
	default:
		d.Small = slots < d.Threshold
	}
	if d.Small {
		d.Owner, d.Candidates = first(in)
	}
	return d
}

// first returns the first candidate in the rendezvous order of a service, and the number
// of candidates.
func first(in Input) (name string, candidates int) {
	largest := 0
	for i := range in.Members {
		if m := &in.Members[i]; m.Ready && m.Reaches {
			largest = max(largest, m.Power)
		}
	}
	var highest uint64
	part := xxhash.Sum64String(in.Service)
	for i := range in.Members {
		m := &in.Members[i]
		if !m.Ready || !m.Reaches || float64(m.Power) < minPowerShare*float64(largest) {
			continue
		}
		s := score(part, m.Name)
		if candidates == 0 || s > highest || s == highest && m.Name < name {
			name, highest = m.Name, s
		}
		candidates++
	}
	return name, candidates
}

// score is the weight of a node in a service's rendezvous order; the highest comes first.
func score(part uint64, name string) uint64 {
	// The finalizer of SplitMix64 makes each bit depend on all bits of both hashes.
	x := part ^ xxhash.Sum64String(name)
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
