// Package gossip is how the fleet's nodes know each other: they find one
// another through seeds, tell each other their state and load in datagrams, and
// hand on what they have read of the platform's store.
package gossip

import (
	"errors"
	"fmt"
	"net/netip"
	"time"

	"github.com/fxamacker/cbor/v2"
	"storj.io/drpc"

	"bulrushhinge.example/bulrushhinge/internal/balance"
	"bulrushhinge.example/bulrushhinge/internal/deployment"
)

const (
	// Starting nodes have no configuration yet and take no callers.
	Starting State = iota
	// Ready nodes take callers.
	Ready
	// Stopping nodes take no new callers.
	Stopping
)

// ErrMessage is returned for a message that cannot be encoded or decoded.
var ErrMessage = errors.New("gossip: bad message")

type (
	// State is whether a node takes callers.
	State uint8

	// Member is one node as others know it.
	Member struct {
		Name string     `cbor:"1,keyasint"`
		Zone string     `cbor:"2,keyasint"`
		IP   netip.Addr `cbor:"3,keyasint"`
		// Callers is where the node takes callers.
		Callers netip.AddrPort `cbor:"4,keyasint"`
		// Power is the node's processor time in thousandths of a core; only nodes
		// that tell it are relays.
		Power uint16 `cbor:"5,keyasint,omitempty"`
		// Incarnation differs between two starts of a node. It, State and
		// Access are told in each heartbeat by themselves.
		Incarnation uint64 `cbor:"-"`
		State       State  `cbor:"-"`
		// Access says whether the node reads the store, and can.
		Access deployment.Access `cbor:"-"`
	}

	// Crash is an endpoint that broke off while it ran a request, and the
	// request's fingerprint.
	Crash struct {
		Print    uint64 `cbor:"1,keyasint"`
		Endpoint uint32 `cbor:"2,keyasint"`
	}

	// heartbeat is what a node sends to each other node.
	//
	// Who the sender is stands in it only where the receiver may not know: to
	// nodes that are not heard of, and to those that ask. Names and addresses
	// are half of a heartbeat otherwise, several times a second to every node.
	heartbeat struct {
		// ID is the sender's incarnation.
		ID       uint64 `cbor:"1,keyasint"`
		Sequence uint64 `cbor:"2,keyasint"`
		// Revision is the store's revision up to which the node knows all.
		Revision uint64            `cbor:"3,keyasint"`
		State    State             `cbor:"4,keyasint,omitempty"`
		Access   deployment.Access `cbor:"5,keyasint,omitempty"`
		// Epoch is the store's epoch of the revision.
		Epoch uint64 `cbor:"17,keyasint,omitempty"`
		// Loads are the node's requests in progress by endpoint.
		Loads map[uint32]int `cbor:"6,keyasint,omitempty"`
		// Reading are the prompt tokens that endpoints are still to read for the
		// node's requests.
		Reading map[uint32]int `cbor:"13,keyasint,omitempty"`
		// Failures are the node's attempts that endpoints have failed lately.
		Failures map[uint32]int `cbor:"16,keyasint,omitempty"`
		// Contacts are the addresses of some other nodes.
		Contacts []netip.Addr `cbor:"7,keyasint,omitempty"`
		Crashes  []Crash      `cbor:"8,keyasint,omitempty"`
		// Placements are where the node has lately sent parts of prompts.
		Placements []balance.Placement `cbor:"9,keyasint,omitempty"`
		// Reports are what endpoints have lately said of their own load.
		Reports map[uint32]int `cbor:"12,keyasint,omitempty"`
		// Leaving are endpoints that have said themselves that they leave: in some
		// heartbeats all, in others the newest.
		Leaving []uint32 `cbor:"18,keyasint,omitempty"`
		// From is who the sender is.
		From *Member `cbor:"10,keyasint,omitempty"`
		// Digest is that of the node's record, which stands in some heartbeats.
		Digest uint32 `cbor:"14,keyasint,omitempty"`
		// Reporting says that the receiver is to be the sender's relay.
		Reporting reporting `cbor:"15,keyasint,omitempty"`
		// Ask asks the receiver who it is.
		Ask bool `cbor:"11,keyasint,omitempty"`
	}

	// itemsRequest asks for the items that changed after a position.
	itemsRequest struct {
		After uint64 `cbor:"1,keyasint"`
		Epoch uint64 `cbor:"3,keyasint,omitempty"`
		// Base is the largest item that the caller has; its new value is sent
		// as the difference to it where the other node still knows it.
		Base itemName `cbor:"2,keyasint"`
	}

	// itemName names an item's value by what it is: a revision names other values
	// after the store was restored.
	itemName struct {
		Key string `cbor:"1,keyasint"`
		Sum uint64 `cbor:"3,keyasint"`
	}

	itemsReply struct {
		// Packed are the items, encoded and compressed.
		Packed []byte `cbor:"1,keyasint"`
		// Whole says that the items are everything there is, since the node does
		// not know all that was removed after the revision asked for.
		Whole bool `cbor:"5,keyasint,omitempty"`
		// Based says that the base serves as the dictionary.
		Based    bool   `cbor:"4,keyasint,omitempty"`
		Revision uint64 `cbor:"2,keyasint"`
		Epoch    uint64 `cbor:"7,keyasint,omitempty"`
		// Former are the items of earlier epochs that still hold, as Packed, and
		// Settling for how much longer the store may lack them.
		Former   []byte        `cbor:"8,keyasint,omitempty"`
		Settling time.Duration `cbor:"9,keyasint,omitempty"`
		// Lapsing is for how much longer removals may stem from an outage of the
		// store.
		Lapsing time.Duration `cbor:"6,keyasint,omitempty"`
	}

	item struct {
		Key      string `cbor:"1,keyasint"`
		Value    []byte `cbor:"2,keyasint"`
		Revision uint64 `cbor:"3,keyasint"`
		Removed  bool   `cbor:"4,keyasint,omitempty"`
	}

	// codec is the encoding of calls between nodes.
	codec struct{}
)

// position is that of the store up to which the sender knows all.
func (b *heartbeat) position() deployment.Position {
	return deployment.Position{Epoch: b.Epoch, Revision: b.Revision}
}

// Marshal encodes a message.
func (codec) Marshal(msg drpc.Message) ([]byte, error) {
	data, err := cbor.Marshal(msg)
	if err != nil {
		return nil, fmt.Errorf("%w: %v", ErrMessage, err)
	}
	return data, nil
}

// Unmarshal decodes a message.
func (codec) Unmarshal(data []byte, msg drpc.Message) error {
	if err := cbor.Unmarshal(data, msg); err != nil {
		return fmt.Errorf("%w: %v", ErrMessage, err)
	}
	return nil
}

func encodeItem(i deployment.Item) item {
	return item{Key: i.Key, Value: i.Value, Revision: i.Revision, Removed: i.Removed}
}

func decodeItem(i item) deployment.Item {
	return deployment.Item{Key: i.Key, Value: i.Value, Revision: i.Revision, Removed: i.Removed}
}

func mapped[A, B any](list []A, to func(A) B) []B {
	out := make([]B, len(list))
	for i, a := range list {
		out[i] = to(a)
	}
	return out
}
