package gossip

import (
	"fmt"
	"math/bits"
	"slices"
	"sync"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
	"github.com/klauspost/compress/zstd"

	"bulrushhinge.example/bulrushhinge/internal/deployment"
)

const (
	// maxUnpacked bounds a reply's decoded size: about a thousand items, one of
	// them a megabyte.
	maxUnpacked = 16 << 20
	// minBased is the size from which a value is sent as a delta to a base.
	minBased = 4 << 10
	// maxWindow bounds an encoder's memory.
	maxWindow = 4 << 20
	// dictionaryID is the ID of the only dictionary, the base's value.
	dictionaryID = 1
	// maxCached bounds the cached replies: nodes request the same changes at
	// the same time.
	maxCached = 8
)

type (
	// packer packs items for replies, and caches the newest replies.
	packer struct {
		replica Replica
		mu      sync.Mutex
		cache   map[packKey]*itemsReply
	}

	// packKey identifies a reply: of one record, the items after two revisions are
	// the same if they are as many.
	packKey struct {
		record *deployment.Record
		whole  bool
		items  int
		base   itemName
	}
)

func newPacker(replica Replica) *packer {
	return &packer{replica: replica, cache: map[packKey]*itemsReply{}}
}

// reply returns the reply to a request.
//
// A configuration of 1,600 routes takes 500 KB. Sent whole to seventy nodes over
// one 10 Mbit/s link, it would take half a minute, and calls between nodes would
// time out after each change. As a delta to what the requester has, a change of
// one route takes a few hundred bytes.
func (p *packer) reply(req itemsRequest) (*itemsReply, error) {
	record := p.replica.Record()
	items, whole := record.After(deployment.Position{Epoch: req.Epoch, Revision: req.After})
	if !slices.ContainsFunc(items, isLarge) && !slices.ContainsFunc(record.Previous, isLarge) {
		// Only large values gain more from a base than it costs to index it.
		req.Base = itemName{}
	}
	key := packKey{record: record, whole: whole, items: len(items), base: req.Base}
	p.mu.Lock()
	defer p.mu.Unlock()
	if r, ok := p.cache[key]; ok {
		return r, nil
	}
	base := p.base(record, req.Base)
	packed, err := pack(mapSlice(items, encodeItem), base)
	if err != nil {
		return nil, err
	}
	var previous []byte
	if len(record.Previous) > 0 {
		if previous, err = pack(mapSlice(record.Previous, encodeItem), base); err != nil {
			return nil, err
		}
	}
	if len(p.cache) >= maxCached {
		clear(p.cache)
	}
	r := &itemsReply{Packed: packed, Previous: previous, Whole: whole, Based: base != nil, Epoch: record.Epoch, Revision: record.Revision}
	p.cache[key] = r
	return r, nil
}

// base returns the value that a request names, nil if it names none or the node does
// not have it.
func (p *packer) base(record *deployment.Record, name itemName) []byte {
	if name == (itemName{}) {
		return nil
	}
	if value := valueOf(p.replica.Replaced(), name); value != nil {
		return value
	}
	return valueOf(record.Items, name)
}

func isLarge(i deployment.Item) bool { return len(i.Value) >= minBased }

// largest returns the name of the largest item.
func largest(items []deployment.Item) itemName {
	var most deployment.Item
	for _, i := range items {
		if len(i.Value) > len(most.Value) {
			most = i
		}
	}
	if most.Key == "" {
		return itemName{}
	}
	return nameOf(most)
}

func nameOf(i deployment.Item) itemName { return itemName{Key: i.Key, Sum: xxhash.Sum64(i.Value)} }

func valueOf(items []deployment.Item, name itemName) []byte {
	for _, i := range items {
		if i.Key == name.Key && nameOf(i) == name {
			return i.Value
		}
	}
	return nil
}

func pack(items []item, base []byte) ([]byte, error) {
	data, err := cbor.Marshal(items)
	if err != nil {
		return nil, fmt.Errorf("%w: %v", ErrMessage, err)
	}
	options := []zstd.EOption{
		zstd.WithEncoderConcurrency(1), zstd.WithLowerEncoderMem(true),
		zstd.WithWindowSize(window(len(data) + len(base))),
	}
	if base != nil {
		options = append(options, zstd.WithEncoderDictRaw(dictionaryID, base))
	}
	w, err := zstd.NewWriter(nil, options...)
	if err != nil {
		return nil, fmt.Errorf("%w: %v", ErrMessage, err)
	}
	defer func() { _ = w.Close() }()
	return w.EncodeAll(data, nil), nil
}

// window returns the smallest window that spans both base and data; the
// encoder's memory grows with it.
func window(size int) int {
	return min(max(1<<bits.Len(uint(size)), zstd.MinWindowSize), maxWindow)
}

func unpack(packed, base []byte) ([]item, error) {
	options := []zstd.DOption{zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(maxUnpacked), zstd.WithDecoderLowmem(true)}
	if base != nil {
		options = append(options, zstd.WithDecoderDictRaw(dictionaryID, base))
	}
	r, err := zstd.NewReader(nil, options...)
	if err != nil {
		return nil, fmt.Errorf("%w: %v", ErrMessage, err)
	}
	defer r.Close()
	data, err := r.DecodeAll(packed, nil)
	if err != nil {
		return nil, fmt.Errorf("%w: %v", ErrMessage, err)
	}
	var items []item
	if err := cbor.Unmarshal(data, &items); err != nil {
		return nil, fmt.Errorf("%w: %v", ErrMessage, err)
	}
	return items, nil
}
