package kernel

import (
	"net/netip"
	"time"

	"bulrushhinge.example/bulrushhinge/pkg/manifest"
)

type (
	// Tick is the passing of time.
	Tick struct{}

	// Instances is a reading of the platform's instance list, which lags.
	Instances struct {
		Version uint64
		List    []Instance
	}

	// Accepted is a whole, verified configuration that operators accepted.
	Accepted struct {
		Manifest *manifest.Manifest
	}

	// Listed is the instance list in force: the newest version that the platform
	// or a peer told. It is raised by the kernel itself.
	Listed struct {
		Version uint64
		List    []Instance
	}

	// Marked is a leave mark that the node learned or found out. It is raised
	// by the kernel itself.
	Marked struct {
		Mark Mark
	}

	// Digested is a digest that is newer than those before. It is raised by the
	// kernel itself.
	Digested struct {
		Digest Digest
	}

	// Urgent asks for heartbeats to all peers at the next tick. It is raised
	// by the kernel itself.
	Urgent struct{}

	// Woken is raised when the process was paused for Gap.
	Woken struct {
		Gap time.Duration
	}

	// Reread asks for a new reading of what the platform publishes.
	Reread struct{}

	// ConfigFailed is an accepted revision that a peer told of but did not
	// deliver.
	ConfigFailed struct {
		Node string
	}

	// BeatReceived is a heartbeat from a peer, as a call or as the answer to
	// one.
	BeatReceived struct {
		Beat *Beat
	}

	// BeatFailed is a heartbeat that a peer did not answer.
	BeatFailed struct {
		Node string
	}

	// LoadReported is an endpoint's own report of its load, which lags.
	LoadReported struct {
		Endpoint string
		Load     Load
		Models   []string
		Leaving  bool
		// Incarnation changes when the endpoint restarts; 0 where it does not
		// say.
		Incarnation uint64
		// Adapters and Role are what the endpoint was last ordered to.
		Adapters []string
		Role     string
		// Fence is the highest fencing number the endpoint has accepted.
		Fence uint64
	}

	// EndpointSpoke is an endpoint's own word on whether it leaves, which it gave to
	// this node in an answer.
	EndpointSpoke struct {
		Endpoint string
		Leaving  bool
		// Incarnation is that of the endpoint's start which says so; 0 where it does
		// not say.
		Incarnation uint64
	}

	// EndpointRests is an endpoint's wish to get no requests from this node until a
	// time.
	EndpointRests struct {
		Endpoint string
		Until    time.Time
	}

	// EndpointFailed is an attempt or a load request that an endpoint did not
	// answer.
	EndpointFailed struct {
		Endpoint string
	}

	// Order asks for an order to an endpoint. Its outcome is an OrderEnded.
	Order struct {
		Endpoint string
		Addr     netip.AddrPort
		// Fence is the fencing number; an endpoint that checks refuses one that
		// is not above those it has accepted.
		Fence    uint64
		Revision uint64
		Models   []string
		Adapters []string
		Role     string
	}

	// OrderEnded is the outcome of an Order.
	OrderEnded struct {
		Endpoint string
		// Accepted is unset where the endpoint refused or did not answer.
		Accepted bool
		// Fence is the highest number that the endpoint has accepted; 0 where
		// it did not say.
		Fence uint64
	}

	// Drain starts the node's planned stop.
	Drain struct{}

	// SendBeat asks for a heartbeat to be sent to a peer.
	SendBeat struct {
		To Node
	}

	// FetchConfig asks for the newest accepted revision to be fetched from a
	// peer that has a higher one.
	FetchConfig struct {
		Node     string
		Revision uint64
	}

	// Beat is what a node tells a peer in one heartbeat.
	Beat struct {
		Node        string
		Incarnation uint64
		Serial      uint64
		Leaving     bool
		// Listless is set until the sender has an instance list: it can take no
		// endpoint into its care yet.
		Listless bool
		// Active is the callers' requests in progress at the sender.
		Active int
		// Revision is the accepted revision in force at the sender.
		Revision uint64
		// Print is the fingerprint of its manifest; 0 where there is none.
		Print uint64
		// Loads is the load of the endpoints whose home the sender is.
		Loads []EndpointLoad
		// Marks are the leave marks that the receiver may not know.
		Marks []Mark
		// Intro describes the sender to a receiver that may not know it.
		Intro *Intro
		// ListVersion is the version of the instance list that the sender has
		// applied or heard of.
		ListVersion uint64
		// News is the newest change of the instance list.
		News *News
		// Digests are summaries of cells and regions.
		Digests []Digest
		// Demands are the sender's heavy accounts.
		Demands []Demand
		// Suspects is the requests that ran on endpoints when they died.
		Suspects []Suspicion
		// Models is what the sender's callers ask of each model.
		Models []ModelDemand
		// Near is set where sender and receiver are of one cell. It is not
		// transmitted.
		Near bool
		// Ends is set where the receiver does not pass digests on. It is not
		// transmitted.
		Ends bool
	}

	// Intro is what a node tells of itself.
	Intro struct {
		Instance Instance
		// Age is how long the node has been running.
		Age time.Duration
	}

	// Mark says that an incarnation of an instance is leaving.
	Mark struct {
		Name        string
		Kind        InstanceKind
		Incarnation uint64
	}

	// News is the difference between two versions of the instance list.
	News struct {
		Base    uint64
		Version uint64
		Changed []Instance
		Removed []string
	}

	// ModelDemand is what callers ask of a model.
	ModelDemand struct {
		Model string
		// Rate is in tokens a second.
		Rate float64
	}

	// Demand is what an account asks for.
	Demand struct {
		Account string
		// Rate is in tokens a second.
		Rate float64
	}

	// EndpointLoad is the load of one endpoint.
	EndpointLoad struct {
		Endpoint string
		Load     Load
		// State is the home's opinion of the endpoint.
		State State
	}

	// Load is the work outstanding at an endpoint.
	Load struct {
		Requests int
		// Tokens is the prompt tokens to prefill and the tokens to generate.
		Tokens int
	}
)

// DefaultTick is the time between two Tick events.
const DefaultTick = 100 * time.Millisecond

// Add returns the sum of two loads.
func (l Load) Add(o Load) Load {
	return Load{Requests: l.Requests + o.Requests, Tokens: l.Tokens + o.Tokens}
}
