package kernel

import (
	"fmt"
	"net/netip"
	"slices"
	"strings"
	"time"

	"bulrushhinge.example/bulrushhinge/pkg/manifest"
)

// States of an instance.
const (
	// Live is an instance that takes work.
	Live State = iota
	// Suspect is an instance that failed to respond recently; it gets work only
	// if no live instance can take it.
	Suspect
	// Leaving is an instance that finishes its work and takes no more.
	Leaving
	// Dead is an instance that no longer responds.
	Dead
)

// Kinds of instances.
const (
	KindNode     InstanceKind = "node"
	KindEndpoint InstanceKind = "endpoint"
)

// MaxViewAge is the age from which a View is out of date. The control goroutine
// publishes more often than this unless the process was paused.
const MaxViewAge = 2 * time.Second

type (
	// State is the health of an instance, which decides whether it gets work.
	State int

	// InstanceKind distinguishes nodes of the fleet from endpoints.
	InstanceKind string

	// Instance is an entry of the platform's instance list.
	Instance struct {
		Name    string
		Kind    InstanceKind
		Zone    string
		Service string
		// Addr is the address of a node for callers, or of an endpoint for nodes.
		Addr netip.AddrPort
		// Peer is the address of a node for its peers.
		Peer    netip.AddrPort
		Leaving bool
	}

	// Node is a router process of the fleet.
	Node struct {
		Name        string
		Zone        string
		Incarnation uint64
		Caller      netip.AddrPort
		Peer        netip.AddrPort
		State       State
		// Region is that of the availability zone; "" if unknown.
		Region string
		// Settled is set once the node has been live long enough for all its
		// peers to know it.
		Settled bool
		// Active is the last reported number of callers' requests in progress.
		Active int
	}

	// Endpoint is a process that runs requests.
	Endpoint struct {
		Name    string
		Zone    string
		Service string
		Addr    netip.AddrPort
		State   State
		// Region is that of the availability zone; "" if unknown.
		Region string
		// Owner is the node that admits work to the endpoint.
		Owner string `json:"Home"`
		// Settling is set while nodes may disagree on the owner: it changed
		// recently, is not in the endpoint's zone, or a node of the zone is
		// suspect.
		Settling bool
		// Load is the last known load.
		Load Load
		// Reported is when the owner or the endpoint last reported the load;
		// zero for a load that is a mean over the endpoint's cell or region.
		Reported time.Time
		// Models is the models that the endpoint has loaded; nil if it has not
		// reported them.
		Models []string
		// BackoffUntil is the end of the backoff that the endpoint requested from this
		// node; zero if there is none.
		BackoffUntil time.Time `json:"Rest"`
	}

	// Pool is the endpoints of one service.
	Pool struct {
		Service manifest.Service
		// Bound is the multiple of the mean load that no endpoint may exceed.
		Bound float64
		// Endpoints is sorted by name and holds no dead ones.
		Endpoints []Endpoint
		// Total is the sum of the loads of the region's live endpoints.
		Total Load
		// Live is the number of the region's live endpoints.
		Live int
	}

	// View is the state that request handling reads. It never changes once
	// published.
	View struct {
		At   time.Time
		Self Node
		// Leaving is set once the node's planned stop has begun.
		Leaving bool
		// Manifest is the configuration in force; nil before the first.
		Manifest *manifest.Manifest
		// Conflict is the name of a node that has a different manifest of the
		// revision in force; "" if none is known.
		Conflict string
		// Nodes is every node not known to be dead, this node included, sorted
		// by name.
		Nodes []Node
		// Fleet is the expected number of nodes: the listed ones and those that
		// send heartbeats, without the leaving ones.
		Fleet int
		// Pools is the pool of each service, by name.
		Pools map[string]*Pool
		// Cell is the scope of the node's cell. Scopes is the scope of the
		// digests that cover a zone, by zone.
		Cell   string
		Scopes map[string]string
		// Probes is the endpoints that the node owns, dead ones included. The
		// node reads their loads.
		Probes []Endpoint
		// Leavers is the endpoints of other owners that have notified this node
		// that they are leaving. The node polls them for a restart.
		Leavers []Endpoint
		// Suspects is the requests that ran on endpoints when they died, by
		// fingerprint.
		Suspects map[uint64]Suspicion
		// Watcher is set if the node should hold long polls on the platform. It
		// is unset only if enough live peers of the zone are known to watch.
		Watcher bool
		// ListVersion is the newest version of the platform's instance list that
		// the node knows of; a reader that has an older one reads again.
		ListVersion uint64
		// Listed is the version of the instance list that the node has applied.
		Listed uint64
		// Resyncing is set after a pause, while the view may be stale: until the
		// node has resynchronized with its peers. Meanwhile it starts nothing
		// that needs authority.
		Resyncing bool `json:"Doubtful"`
	}
)

// String returns the state's name.
func (s State) String() string {
	switch s {
	case Live:
		return "live"
	case Suspect:
		return "suspect"
	case Leaving:
		return "leaving"
	default:
		return "dead"
	}
}

// MarshalText returns the state's name.
func (s State) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// UnmarshalText reads a state's name.
func (s *State) UnmarshalText(text []byte) error {
	for state := Live; state <= Dead; state++ {
		if state.String() == string(text) {
			*s = state
			return nil
		}
	}
	return fmt.Errorf("kernel: unknown state %q", text)
}

// Fresh reports whether the view is recent enough to act on with authority.
//
// After a pause, request goroutines may run before the control goroutine and read
// a view from before the pause. An owner would then admit work to endpoints that
// another node has taken over. The age of the view reveals the pause at once.
func (v *View) Fresh(now time.Time) bool {
	return !v.Resyncing && now.Sub(v.At) < MaxViewAge
}

// Node returns the node with the given name.
func (v *View) Node(name string) (Node, bool) {
	i, ok := slices.BinarySearchFunc(v.Nodes, name, func(n Node, name string) int {
		return strings.Compare(n.Name, name)
	})
	if !ok {
		return Node{}, false
	}
	return v.Nodes[i], true
}

// Takes reports whether this node may send new requests to the endpoint.
func (e *Endpoint) Takes() bool {
	return (e.State == Live || e.State == Suspect) && e.BackoffUntil.IsZero()
}

// Place returns the index of the endpoint with the given name and whether it is
// in the pool.
func (p *Pool) Place(name string) (int, bool) {
	return slices.BinarySearchFunc(p.Endpoints, name, func(e Endpoint, name string) int {
		return strings.Compare(e.Name, name)
	})
}

// Endpoint returns the endpoint with the given name.
func (p *Pool) Endpoint(name string) (Endpoint, bool) {
	i, ok := p.Place(name)
	if !ok {
		return Endpoint{}, false
	}
	return p.Endpoints[i], true
}
