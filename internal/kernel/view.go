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
	// Suspect is an instance that did not answer of late; it gets work only
	// where no live instance can take it.
	Suspect
	// Leaving is an instance that finishes its work and takes no more.
	Leaving
	// Dead is an instance that answers no more.
	Dead
)

// Kinds of instances.
const (
	KindNode     InstanceKind = "node"
	KindEndpoint InstanceKind = "endpoint"
)

// MaxAge is the age from which a View says nothing more of the present: the
// control goroutine publishes more often unless the process was paused.
const MaxAge = 2 * time.Second

type (
	// State is whether an instance takes work.
	State int

	// InstanceKind tells nodes of the fleet from endpoints.
	InstanceKind string

	// Instance is an entry of the platform's list.
	Instance struct {
		Name    string
		Kind    InstanceKind
		Zone    string
		Service string
		// Addr is where callers reach a node, and nodes an endpoint.
		Addr netip.AddrPort
		// Peer is where nodes reach a node.
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
		// Region is that of the availability zone; "" where it is unknown.
		Region string
		// Settled is set once the node has been live for so long that its peers
		// know of it.
		Settled bool
		// Active is the callers' requests in progress, as last heard.
		Active int
	}

	// Endpoint is a process that runs requests.
	Endpoint struct {
		Name    string
		Zone    string
		Service string
		Addr    netip.AddrPort
		State   State
		// Region is that of the availability zone; "" where it is unknown.
		Region string
		// Home is the node that admits work to the endpoint.
		Home string
		// Settling is set while nodes may disagree on the home: it changed of
		// late, is not in the endpoint's zone, or the zone's nodes are in doubt.
		Settling bool
		// Load is the newest known load.
		Load Load
		// Reported is when the load was last told by the home or the endpoint;
		// zero for a load that is a mean over the endpoint's cell.
		Reported time.Time
		// Models is the models that the endpoint has loaded; nil where it has
		// not said.
		Models []string
		// Rest is until when the endpoint wants no requests from this node; zero
		// where it takes them.
		Rest time.Time
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
		// Live counts the region's endpoints that take work.
		Live int
	}

	// View is the state that traffic reads. It never changes once published.
	View struct {
		At   time.Time
		Self Node
		// Leaving is set once the node's planned stop has begun.
		Leaving bool
		// Manifest is the configuration in force; nil before the first.
		Manifest *manifest.Manifest
		// Conflict names a node that has another manifest of the revision in
		// force; "" where none is known.
		Conflict string
		// Nodes is every node not known to be dead, with the node itself,
		// sorted by name.
		Nodes []Node
		// Fleet counts the nodes that should be there: the listed ones and
		// those that beat, without the leaving ones.
		Fleet int
		// Pools is the pool of each service, by name.
		Pools map[string]*Pool
		// Cell is the scope of the node's cell, Scopes the scope of the digests
		// that tell of a zone.
		Cell   string
		Scopes map[string]string
		// Probes is the endpoints whose home the node is, dead ones included:
		// it reads their loads.
		Probes []Endpoint
		// Leavers is the endpoints that have told this node that they leave and whose
		// home is another node: it asks them whether they have started again.
		Leavers []Endpoint
		// Suspects is the requests that ran on endpoints when they died, by
		// print.
		Suspects map[uint64]Suspicion
		// Watcher says that the node should hold waiting watches on the
		// platform. It is set unless live peers of the zone are known to watch.
		Watcher bool
		// ListVersion is the newest version of the platform's instance list of
		// which the node has heard; a reader that holds an older one reads
		// again.
		ListVersion uint64
		// Listed is the version of the instance list that the node has applied.
		Listed uint64
		// Doubtful is set after a pause, until the node has heard from its
		// peers again; a doubtful node starts nothing that needs authority.
		Doubtful bool
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
	return fmt.Errorf("kernel: %q is no state", text)
}

// Fresh reports whether the view is recent enough to act on with authority.
//
// Traffic goroutines may run before the control goroutine after a pause, and
// read a view from before it; a home would then admit work that another node
// admits by now. The age of the view shows the pause at once.
func (v *View) Fresh(now time.Time) bool {
	return !v.Doubtful && now.Sub(v.At) < MaxAge
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

// Takes reports whether the endpoint may be sent new requests by this node.
func (e *Endpoint) Takes() bool { return (e.State == Live || e.State == Suspect) && e.Rest.IsZero() }

// Place returns where in the pool the endpoint with the given name is.
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
