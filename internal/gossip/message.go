// Package gossip implements membership of the fleet's nodes. They discover one
// another through seeds, exchange state and load in datagrams, and pull from
// each other what they have read of the platform's store.
package gossip

import (
	"errors"
	"net/netip"
	"slices"
	"time"

	"bulrushhinge.example/bulrushhinge/internal/balance"
	"bulrushhinge.example/bulrushhinge/internal/crash"
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

// someService stands for a service of which only is known that a node does not reach it.
const someService = 0

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
		// that report it can be relays.
		Power uint16 `cbor:"5,keyasint,omitempty"`
		// Incarnation differs between two starts of a node. Each heartbeat carries
		// it, State and Access outside of Member.
		Incarnation uint64 `cbor:"-"`
		State       State  `cbor:"-"`
		// Access says whether the node reads the store, and whether that works.
		Access deployment.Access `cbor:"-"`
		// Lost are the services that the node does not reach.
		Lost []uint32 `cbor:"-"`
	}

	// crashReport is an endpoint that ended while it ran a request with a feature.
	crashReport struct {
		Feature  uint64 `cbor:"1,keyasint"`
		Endpoint uint32 `cbor:"2,keyasint"`
		// Age is how long ago it ended, in seconds.
		Age   uint32      `cbor:"3,keyasint,omitempty"`
		Scope crash.Scope `cbor:"4,keyasint,omitempty"`
	}

	// heartbeat is what a node sends to each other node.
	//
	// It contains the sender's identity only if the receiver may lack it: for
	// nodes that have not been heard from, and those that ask for it. Otherwise
	// names and addresses would be half of each heartbeat, several times a
	// second to every node.
	heartbeat struct {
		// ID is the sender's incarnation.
		ID       uint64 `cbor:"1,keyasint"`
		Sequence uint64 `cbor:"2,keyasint"`
		// Revision is the store's revision up to which the node is up to date.
		Revision uint64            `cbor:"3,keyasint"`
		State    State             `cbor:"4,keyasint,omitempty"`
		Access   deployment.Access `cbor:"5,keyasint,omitempty"`
		// Epoch is the store's epoch of Revision.
		Epoch uint64 `cbor:"17,keyasint,omitempty"`
		// Loads are the node's requests in progress by endpoint.
		Loads map[uint32]int `cbor:"6,keyasint,omitempty"`
		// PendingPrefill are the prompt tokens of these requests that endpoints have yet
		// to process.
		PendingPrefill map[uint32]int `cbor:"13,keyasint,omitempty"`
		// Failures are the node's recently failed attempts by endpoint.
		Failures map[uint32]int `cbor:"16,keyasint,omitempty"`
		// Contacts are the addresses of some other nodes.
		Contacts []netip.Addr `cbor:"7,keyasint,omitempty"`
		// Crashes are those that became known lately, and in some heartbeats all of
		// suspected features. Cleared are crashes that the feature did not cause.
		Crashes []crashReport `cbor:"8,keyasint,omitempty"`
		Cleared []crashReport `cbor:"19,keyasint,omitempty"`
		// Unproven are ends that are not proven.
		Unproven []crashReport `cbor:"22,keyasint,omitempty"`
		// Placements are where the node has recently sent parts of prompts.
		Placements []balance.Placement `cbor:"9,keyasint,omitempty"`
		// EndpointLoads are the loads that endpoints have recently reported.
		EndpointLoads map[uint32]int `cbor:"12,keyasint,omitempty"`
		// Slowdowns are how long work takes at endpoints, by the time of sending, where
		// that differs from usual or did just before.
		Slowdowns balance.Slowdowns `cbor:"23,keyasint,omitempty"`
		// Leaving are endpoints that have announced that they leave: all of them in
		// some heartbeats, the newest in others.
		Leaving []uint32 `cbor:"18,keyasint,omitempty"`
		// Lost are the services that the node does not reach, by their Keys.
		Lost []uint32 `cbor:"20,keyasint,omitempty"`
		// Brittle are the services that have told the sender that they are brittle, by
		// their Keys.
		Brittle []uint32 `cbor:"21,keyasint,omitempty"`
		// From is the sender's identity.
		From *Member `cbor:"10,keyasint,omitempty"`
		// Digest is that of the node's record; only some heartbeats carry it.
		Digest uint32 `cbor:"14,keyasint,omitempty"`
		// Delivery says whether the receiver is the sender's relay.
		Delivery delivery `cbor:"15,keyasint,omitempty"`
		// Identify asks the receiver for its identity.
		Identify bool `cbor:"11,keyasint,omitempty"`
	}

	// itemsRequest requests the items that changed after a position.
	itemsRequest struct {
		After uint64 `cbor:"1,keyasint"`
		Epoch uint64 `cbor:"3,keyasint,omitempty"`
		// Base is the largest item that the requester has; its new value is sent
		// as a delta to it if the other node still has it.
		Base itemName `cbor:"2,keyasint"`
	}

	// itemName identifies an item's value by its content: after the store was
	// restored, the same revision identifies other values.
	itemName struct {
		Key string `cbor:"1,keyasint"`
		Sum uint64 `cbor:"3,keyasint"`
	}

	itemsReply struct {
		// Busy says that the node sends too many replies already; the rest is empty.
		Busy bool `cbor:"10,keyasint,omitempty"`
		// Packed are the items, encoded and compressed.
		Packed []byte `cbor:"1,keyasint"`
		// Whole says that the items are the complete set, because the node does not
		// know all removals after the requested revision.
		Whole bool `cbor:"5,keyasint,omitempty"`
		// Based says that the base is the compression dictionary.
		Based    bool   `cbor:"4,keyasint,omitempty"`
		Revision uint64 `cbor:"2,keyasint"`
		Epoch    uint64 `cbor:"7,keyasint,omitempty"`
		// Previous are the items of previous epochs that are still valid, encoded
		// as Packed is, and Settling how much longer the store may lack them.
		Previous []byte        `cbor:"8,keyasint,omitempty"`
		Settling time.Duration `cbor:"9,keyasint,omitempty"`
		// Lapsing is how much longer removals may be the result of a store outage.
		Lapsing time.Duration `cbor:"6,keyasint,omitempty"`
	}

	item struct {
		Key      string `cbor:"1,keyasint"`
		Value    []byte `cbor:"2,keyasint"`
		Revision uint64 `cbor:"3,keyasint"`
		Removed  bool   `cbor:"4,keyasint,omitempty"`
	}
)

// Reaches reports whether the node reaches a service, as far as known.
func (m *Member) Reaches(service uint32) bool {
	return !slices.Contains(m.Lost, service) && !slices.Contains(m.Lost, someService)
}

// position is the store's position up to which the sender is up to date.
func (b *heartbeat) position() deployment.Position {
	return deployment.Position{Epoch: b.Epoch, Revision: b.Revision}
}

// news returns the crashes that the heartbeat reports.
func (b *heartbeat) news() crash.News {
	return crash.News{Crashes: mapSlice(b.Crashes, decodeCrash), Cleared: mapSlice(b.Cleared, decodeCrash), Unproven: mapSlice(b.Unproven, decodeCrash)}
}

func (b *heartbeat) setNews(n crash.News) {
	b.Crashes, b.Cleared, b.Unproven = mapSlice(n.Crashes, encodeCrash), mapSlice(n.Cleared, encodeCrash), mapSlice(n.Unproven, encodeCrash)
}

func encodeCrash(k crash.Report) crashReport {
	return crashReport{Feature: k.ID, Endpoint: k.Endpoint, Age: uint32(k.Age / time.Second), Scope: k.Scope}
}

func decodeCrash(k crashReport) crash.Report {
	return crash.Report{Feature: crash.Feature{ID: k.Feature, Scope: k.Scope}, Endpoint: k.Endpoint, Age: time.Duration(k.Age) * time.Second}
}

func encodeItem(i deployment.Item) item {
	return item{Key: i.Key, Value: i.Value, Revision: i.Revision, Removed: i.Removed}
}

func decodeItem(i item) deployment.Item {
	return deployment.Item{Key: i.Key, Value: i.Value, Revision: i.Revision, Removed: i.Removed}
}

func mapSlice[A, B any](list []A, to func(A) B) []B {
	out := make([]B, len(list))
	for i, a := range list {
		out[i] = to(a)
	}
	return out
}
