package kernel

import (
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
	}

	// EndpointFailed is an attempt or a load request that an endpoint did not
	// answer.
	EndpointFailed struct {
		Endpoint string
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
		// Active is the callers' requests in progress at the sender.
		Active int
		// Revision is the accepted revision in force at the sender.
		Revision uint64
		// Loads is the load of the endpoints whose home the sender is.
		Loads []EndpointLoad
		// Leaves names endpoints that the sender knows to be leaving.
		Leaves []string
		// Suspects is the requests that ran on endpoints when they died.
		Suspects []Suspicion
	}

	// EndpointLoad is the load of one endpoint.
	EndpointLoad struct {
		Endpoint string
		Load     Load
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
