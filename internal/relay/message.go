// Package relay aggregates the state of a large fleet's nodes and distributes it
// to all of them, at a cost to each that does not grow with their number.
//
// Each node reports to two relays of its availability zone. A relay sums up its
// reports, sends the sums to the other relays, and those of all zones to its
// followers. Any node may be a relay; an order that all nodes share determines
// which ones are. Each message has complete sums, which replace the previous ones,
// so that nothing is counted twice if one is repeated or a relay dies.
//
// A Node implements one node's part, without network or clock.
package relay

import (
	"encoding/binary"
	"net/netip"
	"time"

	"bulrushhinge.example/bulrushhinge/internal/balance"
	"bulrushhinge.example/bulrushhinge/internal/deployment"
)

// idBytes is the length of an ID in a list.
const idBytes = 4

type (
	// ID is the short form of a node's incarnation used between nodes.
	ID uint32

	// IDs is an encoded list of IDs.
	IDs []byte

	// Status is a node's state and store access in one byte, which relays do not
	// interpret.
	Status uint8

	// Peer is another node that is considered alive.
	Peer struct {
		ID   ID
		Zone string
		Addr netip.Addr
		// Power is the node's processor time in thousandths of a core; 0 if it
		// does not report it, or cannot be a relay.
		Power int
		// LastSeen is when a message came from the node itself, and FirstSeen
		// when it became known.
		LastSeen  time.Time
		FirstSeen time.Time
	}

	// Crash is an endpoint that ended while it ran a request with a feature, such as a
	// part of its prompt. Relays do not interpret the scope.
	Crash struct {
		Feature  uint64 `cbor:"1,keyasint"`
		Endpoint uint32 `cbor:"2,keyasint"`
		Scope    uint8  `cbor:"3,keyasint,omitempty"`
	}

	// Updates are sent only when they are new, unlike the rest of a report.
	Updates struct {
		// Placements are where nodes have sent parts of prompts.
		Placements []balance.Placement `cbor:"1,keyasint,omitempty"`
		// EndpointLoads are the loads that endpoints have reported.
		EndpointLoads map[uint32]int `cbor:"2,keyasint,omitempty"`
		Crashes       []Crash        `cbor:"3,keyasint,omitempty"`
		// Leaving are endpoints that have announced that they leave.
		Leaving []uint32 `cbor:"4,keyasint,omitempty"`
		// Cleared are crashes that the feature did not cause.
		Cleared []Crash `cbor:"5,keyasint,omitempty"`
		// Unproven are ends that are not proven; those without a feature are of an
		// endpoint that refuses connections, whatever it ran.
		Unproven []Crash `cbor:"6,keyasint,omitempty"`
		// Slowdowns are how long work takes at endpoints, by the time of sending.
		Slowdowns balance.Slowdowns `cbor:"7,keyasint,omitempty"`
	}

	// Report is what one node reports of itself to its relays.
	Report struct {
		ID       ID
		Addr     netip.Addr
		Sequence uint64
		Status   Status
		// Position is the store's position up to which the node is up to date.
		deployment.Position
		// Loads are its requests in progress by endpoint, and PendingPrefill the prompt
		// tokens of these that endpoints have yet to process.
		Loads          map[uint32]int
		PendingPrefill map[uint32]int
		// Failures are its recently failed attempts by endpoint.
		Failures map[uint32]int
		// Follows asks the relay for summaries of the fleet.
		Follows bool
		Updates
	}

	// Summary is a relay's summary of its availability zone or, to its
	// followers, of the fleet.
	Summary struct {
		// ID and Zone are the relay's.
		ID       ID     `cbor:"1,keyasint"`
		Zone     string `cbor:"2,keyasint,omitempty"`
		Sequence uint64 `cbor:"3,keyasint"`
		// Fleet says that the summary is of the fleet.
		Fleet bool `cbor:"4,keyasint,omitempty"`
		// Covered are the nodes whose loads are in the sums, and Statuses their
		// statuses in the same order.
		Covered  IDs    `cbor:"5,keyasint,omitempty"`
		Statuses []byte `cbor:"6,keyasint,omitempty"`
		// Lost are nodes that have become unreachable.
		Lost IDs `cbor:"7,keyasint,omitempty"`
		// Loads, PendingPrefill and Failures are the sums over the covered nodes.
		Loads          map[uint32]int `cbor:"8,keyasint,omitempty"`
		PendingPrefill map[uint32]int `cbor:"9,keyasint,omitempty"`
		// Age is the mean age of the loads, and Oldest the highest.
		Age    time.Duration `cbor:"10,keyasint"`
		Oldest time.Duration `cbor:"11,keyasint"`
		// Epoch and Revision are the newest store position of a covered node, and
		// UpToDate some of the nodes at that position.
		Epoch    uint64         `cbor:"16,keyasint,omitempty"`
		Revision uint64         `cbor:"12,keyasint"`
		UpToDate IDs            `cbor:"13,keyasint,omitempty"`
		Updates  Updates        `cbor:"14,keyasint"`
		Failures map[uint32]int `cbor:"15,keyasint,omitempty"`
		// Shard is the index of this part of a summary that was split into Shards
		// parts, and Shards 0 if it was not.
		Shard  uint8 `cbor:"17,keyasint,omitempty"`
		Shards uint8 `cbor:"18,keyasint,omitempty"`
	}

	// Message is a message to send.
	Message struct {
		To netip.Addr
		// Report is the node's own report, with Follows set for the receiver, or
		// nil.
		Report *Report
		// Summary is a summary for another node, or nil. Many nodes get the same.
		Summary *Summary
		// Sequence is that of the follower's last report included in the sums.
		Sequence uint64
	}
)

// Add adds a node to the list.
func (l IDs) Add(id ID) IDs { return binary.BigEndian.AppendUint32(l, uint32(id)) }

// Each calls do with each node of the list.
func (l IDs) Each(do func(i int, id ID)) {
	for i := 0; (i+1)*idBytes <= len(l); i++ {
		do(i, ID(binary.BigEndian.Uint32(l[i*idBytes:])))
	}
}

// Len returns the number of nodes in the list.
func (l IDs) Len() int { return len(l) / idBytes }

// Position returns the newest store position of a covered node.
func (s *Summary) Position() deployment.Position {
	return deployment.Position{Epoch: s.Epoch, Revision: s.Revision}
}

// valid reports whether a summary from a peer is consistent.
func (s *Summary) valid() bool {
	return s.ID != 0 && len(s.Covered)%idBytes == 0 && len(s.Lost)%idBytes == 0 && len(s.Statuses) == s.Covered.Len() &&
		s.Age >= 0 && s.Oldest >= s.Age && s.Shards <= maxShards && s.Shard < max(s.Shards, 1) && (s.Zone != "" || s.Covered.Len() == 0)
}
