package deployment

import (
	"cmp"
	"encoding/binary"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// removalsKept is how many removed items a node remembers: more than a day's at
// some 340 endpoint starts a day, which must be sustained, in 100 KB.
const removalsKept = 1000

// Record is the store's content as a node knows it and sends it to other nodes. It
// is immutable.
type Record struct {
	// Items are the known items of the epoch, including those that were removed
	// after Since.
	Items []Item
	// Position is the one up to which all changes are known.
	Position
	// Since is the epoch's revision up to which a removal may be unknown: that of
	// the newest full read that closed a gap, or 0.
	Since uint64
	// Previous are items of earlier epochs that still apply though the current one
	// does not have them.
	Previous []Item
	// Digest is equal on all nodes that know the same items at the same revisions.
	Digest uint32
}

// newRecord returns the record of a builder's state.
func newRecord(b *builder) *Record {
	r := &Record{Items: slices.Collect(maps.Values(b.items)), Position: b.position, Since: b.since, Previous: b.carriedItems()}
	for _, i := range r.Items {
		if !i.Removed {
			r.Digest ^= i.digest()
		}
	}
	return r
}

func (i *Item) digest() uint32 {
	return uint32(xxhash.Sum64(binary.LittleEndian.AppendUint64([]byte(i.Key), i.Revision)))
}

// After returns the changes after a position, or all present items, as whole
// reports.
//
// A node that has made a full read knows nothing of entries that were removed
// before. A delta from an earlier revision would lack these removals; the asking
// node would keep sending requests to an endpoint long after it has left, though it
// receives all later changes. Given all items, it finds out itself which entries
// are gone.
//
// Nor is there a delta between two epochs, in which one revision names two changes.
func (r *Record) After(p Position) (items []Item, whole bool) {
	whole = p.Epoch != r.Epoch || p.Revision < r.Since
	for _, i := range r.Items {
		if whole && !i.Removed || !whole && i.Revision > p.Revision {
			items = append(items, i)
		}
	}
	return items, whole
}

// pruneRemovals drops the oldest removals if there are too many, and returns the
// newest revision of those it dropped.
func pruneRemovals(items map[string]Item) uint64 {
	var removed []Item
	for _, i := range items {
		if i.Removed {
			removed = append(removed, i)
		}
	}
	if len(removed) <= removalsKept {
		return 0
	}
	slices.SortFunc(removed, func(a, b Item) int { return cmp.Compare(a.Revision, b.Revision) })
	old := removed[:len(removed)-removalsKept/2]
	for _, i := range old {
		delete(items, i.Key)
	}
	return old[len(old)-1].Revision
}
