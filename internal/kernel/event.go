package kernel

import (
	"net/netip"
	"time"

	"bulrushhinge.example/bulrushhinge/pkg/manifest"
)

type (
	// Tick is the periodic timer event.
	Tick struct{}

	// Instances is the platform's instance list as last read. It lags behind the
	// state of the fleet.
	Instances struct {
		Version uint64
		List    []Instance
	}

	// Accepted is a complete, verified configuration that operators accepted.
	Accepted struct {
		Manifest *manifest.Manifest
	}

	// Listed is the instance list in force: the newest version received from the
	// platform or a peer. It is raised by the kernel itself.
	Listed struct {
		Version uint64
		List    []Instance
	}

	// InstanceLeaving is a leave notice that the node received or created. It is raised
	// by the kernel itself.
	InstanceLeaving struct {
		Notice LeaveNotice
	}

	// DigestReceived is a received digest that is newer than the one stored for its
	// scope. It is raised by the kernel itself.
	DigestReceived struct {
		Digest Digest
	}

	// HeartbeatNow asks for heartbeats to all peers at the next tick. It is raised
	// by the kernel itself.
	HeartbeatNow struct{}

	// Resumed is raised when the process resumes after a pause of Gap.
	Resumed struct {
		Gap time.Duration
	}

	// Reread asks for the platform's published state to be read again.
	Reread struct{}

	// ConfigFailed reports that fetching an accepted revision from a peer that
	// advertised it failed.
	ConfigFailed struct {
		Node string
	}

	// HeartbeatReceived is a heartbeat from a peer, as a call or as the reply to one.
	HeartbeatReceived struct {
		Heartbeat *Heartbeat
	}

	// HeartbeatFailed reports that a peer did not reply to a heartbeat.
	HeartbeatFailed struct {
		Node string
	}

	// LoadReported is an endpoint's own report of its load. It lags behind the
	// load.
	LoadReported struct {
		Endpoint string
		Load     Load
		Models   []string
		Leaving  bool
		// Incarnation changes when the endpoint restarts; 0 if it reports none.
		Incarnation uint64
		// Adapters and Role are those of the last order to the endpoint.
		Adapters []string
		Role     string
		// Fence is the highest fencing number the endpoint has accepted.
		Fence uint64
	}

	// EndpointNotice is an endpoint's notice, sent to this node in a response, of
	// whether it is leaving.
	EndpointNotice struct {
		Endpoint string
		Leaving  bool
		// Incarnation is that of the endpoint that sent the notice; 0 if it
		// reports none.
		Incarnation uint64
	}

	// EndpointBackoff is an endpoint's request for backoff: this node sends it no
	// requests before Until.
	EndpointBackoff struct {
		Endpoint string
		Until    time.Time
	}

	// EndpointFailed reports that an endpoint did not answer an attempt or a load
	// request.
	EndpointFailed struct {
		Endpoint string
	}

	// Order asks for an order to be sent to an endpoint. OrderEnded reports the
	// outcome.
	Order struct {
		Endpoint string
		Addr     netip.AddrPort
		// Fence is the fencing number. An endpoint that checks it refuses a
		// number that is not above all that it has accepted.
		Fence    uint64
		Revision uint64
		Models   []string
		Adapters []string
		Role     string
	}

	// OrderEnded is the outcome of an Order.
	OrderEnded struct {
		Endpoint string
		// Accepted is unset if the endpoint refused or did not answer.
		Accepted bool
		// Fence is the highest fencing number that the endpoint has accepted; 0
		// if it reported none.
		Fence uint64
	}

	// Drain starts the node's planned stop.
	Drain struct{}

	// SendHeartbeat asks for a heartbeat to be sent to a peer.
	SendHeartbeat struct {
		To Node
	}

	// FetchConfig asks for the newest accepted revision to be fetched from a
	// peer that has a higher one.
	FetchConfig struct {
		Node     string
		Revision uint64
	}

	// Heartbeat is the content of one heartbeat to a peer.
	Heartbeat struct {
		Node        string
		Incarnation uint64
		Serial      uint64
		Leaving     bool
		// NoList is set until the sender has an instance list. Until then it
		// cannot own endpoints.
		NoList bool
		// Active is the number of callers' requests in progress at the sender.
		Active int
		// Revision is the accepted revision in force at the sender.
		Revision uint64
		// Fingerprint is the fingerprint of its manifest; 0 if it has none.
		Fingerprint uint64
		// Loads is the load of the endpoints that the sender owns.
		Loads []EndpointLoad
		// LeaveNotices are the leave notices that the receiver may not know.
		LeaveNotices []LeaveNotice
		// Intro describes the sender to a receiver that may not know it.
		Intro *Intro
		// ListVersion is the newest version of the instance list that the sender
		// has applied or that peers reported to it.
		ListVersion uint64
		// ListDelta is the newest delta of the instance list.
		ListDelta *ListDelta
		// Digests are summaries of cells and regions.
		Digests []Digest
		// Demands is the demand of the sender's heavy accounts.
		Demands []Demand
		// Suspects is the requests that ran on endpoints when they died.
		Suspects []Suspicion
		// Models is the demand of the sender's callers for each model.
		Models []ModelDemand
		// SameCell is set if sender and receiver are in the same cell. It is not
		// transmitted.
		SameCell bool
		// NoForward is set if the receiver does not forward digests. It is not
		// transmitted.
		NoForward bool
	}

	// Intro is a node's description of itself.
	Intro struct {
		Instance Instance
		// Age is how long the node has been running.
		Age time.Duration
	}

	// LeaveNotice is the notice that an incarnation of an instance is leaving.
	LeaveNotice struct {
		Name        string
		Kind        InstanceKind
		Incarnation uint64
	}

	// ListDelta is the delta between two versions of the instance list.
	ListDelta struct {
		Base    uint64
		Version uint64
		Changed []Instance
		Removed []string
	}

	// ModelDemand is the demand of callers for a model.
	ModelDemand struct {
		Model string
		// Rate is in tokens a second.
		Rate float64
	}

	// Demand is the demand of an account.
	Demand struct {
		Account string
		// Rate is in tokens a second.
		Rate float64
	}

	// EndpointLoad is the load of one endpoint.
	EndpointLoad struct {
		Endpoint string
		Load     Load
		// State is the endpoint's state as its owner sees it.
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
