// Package relay tells the nodes of a large fleet what all the others are doing,
// at a cost to each that does not grow with their number.
//
// Each node reports to two relays of its availability zone. A relay sums up what
// is reported to it, tells that to the other relays, and the sums of all zones
// to its followers. Any node may be a relay; which ones are follows from an order
// that all nodes know. Sums are told whole each time and replace those before, so
// that nothing is counted twice when one is repeated or a relay dies.
//
// A Node is one node's part in this, without network or clock.
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
	// ID is the short name of a node's incarnation between nodes.
	ID uint32

	// IDs is a list of them, encoded.
	IDs []byte

	// Mark is what a node says of itself in one byte: its state and whether it
	// reads the store, which the relay does not interpret.
	Mark uint8

	// Peer is another node that is believed to live.
	Peer struct {
		ID   ID
		Zone string
		Addr netip.Addr
		// Power is the node's processor time in thousandths of a core; 0 if it
		// does not say, or cannot be a relay.
		Power int
		// Heard is when the node itself was last heard, and First when it
		// became known.
		Heard time.Time
		First time.Time
	}

	// Crash is an endpoint that broke off while it ran a request, and the
	// request's fingerprint.
	Crash struct {
		Print    uint64 `cbor:"1,keyasint"`
		Endpoint uint32 `cbor:"2,keyasint"`
	}

	// News is what is told once, and not again as long as it holds.
	News struct {
		// Placements are where nodes have sent parts of prompts.
		Placements []balance.Placement `cbor:"1,keyasint,omitempty"`
		// EndpointLoads are what endpoints have said of their own load.
		EndpointLoads map[uint32]int `cbor:"2,keyasint,omitempty"`
		Crashes       []Crash        `cbor:"3,keyasint,omitempty"`
		// Leaving are endpoints that have said themselves that they leave.
		Leaving []uint32 `cbor:"4,keyasint,omitempty"`
	}

	// Report is what one node tells its relays of itself.
	Report struct {
		ID       ID
		Addr     netip.Addr
		Sequence uint64
		Mark     Mark
		// Position is that of the store up to which the node knows all.
		deployment.Position
		// Loads are its requests in progress by endpoint, and Reading the prompt
		// tokens that endpoints are still to read for them.
		Loads   map[uint32]int
		Reading map[uint32]int
		// Failures are its attempts that endpoints have failed lately.
		Failures map[uint32]int
		// Follows says that the relay is to tell the sums to the node.
		Follows bool
		News
	}

	// Summary is what a relay knows of its availability zone or, to its
	// followers, of the fleet.
	Summary struct {
		// ID and Zone are the relay's.
		ID       ID     `cbor:"1,keyasint"`
		Zone     string `cbor:"2,keyasint,omitempty"`
		Sequence uint64 `cbor:"3,keyasint"`
		// Whole says that it is of the fleet.
		Whole bool `cbor:"4,keyasint,omitempty"`
		// Covered are the nodes whose loads are in the sums, and Marks what they
		// say of themselves, in the same order.
		Covered IDs    `cbor:"5,keyasint,omitempty"`
		Marks   []byte `cbor:"6,keyasint,omitempty"`
		// Lost are nodes that have fallen silent.
		Lost IDs `cbor:"7,keyasint,omitempty"`
		// Loads, Reading and Failures are the sums over the nodes covered.
		Loads   map[uint32]int `cbor:"8,keyasint,omitempty"`
		Reading map[uint32]int `cbor:"9,keyasint,omitempty"`
		// Age is how old the loads are on the mean, and Oldest at most.
		Age    time.Duration `cbor:"10,keyasint"`
		Oldest time.Duration `cbor:"11,keyasint"`
		// Epoch and Revision are the newest position of the store that a node
		// covered knows, and Informed some of those that do.
		Epoch    uint64         `cbor:"16,keyasint,omitempty"`
		Revision uint64         `cbor:"12,keyasint"`
		Informed IDs            `cbor:"13,keyasint,omitempty"`
		News     News           `cbor:"14,keyasint"`
		Failures map[uint32]int `cbor:"15,keyasint,omitempty"`
	}

	// Message is what a node has to send.
	Message struct {
		To netip.Addr
		// Report is the node's own report with Follows as it is to be sent, or
		// nil.
		Report *Report
		// Summary is one to another node, or nil. One Summary goes to many.
		Summary *Summary
		// Told is the number of the follower's last report that is in the sums.
		Told uint64
	}
)

// Add adds a node to the list.
func (l IDs) Add(id ID) IDs { return binary.BigEndian.AppendUint32(l, uint32(id)) }

// Each calls a function with each node of the list.
func (l IDs) Each(do func(i int, id ID)) {
	for i := 0; (i+1)*idBytes <= len(l); i++ {
		do(i, ID(binary.BigEndian.Uint32(l[i*idBytes:])))
	}
}

// Len returns how many nodes the list has.
func (l IDs) Len() int { return len(l) / idBytes }

// Position returns the newest position of the store that a node covered knows.
func (s *Summary) Position() deployment.Position {
	return deployment.Position{Epoch: s.Epoch, Revision: s.Revision}
}

// valid reports whether a summary that came from a peer holds together.
func (s *Summary) valid() bool {
	return s.ID != 0 && len(s.Covered)%idBytes == 0 && len(s.Lost)%idBytes == 0 && len(s.Marks) == s.Covered.Len() &&
		s.Age >= 0 && s.Oldest >= s.Age && (s.Zone != "" || s.Covered.Len() == 0)
}
