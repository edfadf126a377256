package deployment

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// removalsKept is how many removed items a node remembers: some 340 starts of
// endpoints a day are to be borne, so that this is more than a day, in 100 KB.
const removalsKept = 1000

// Record is what a node has read of the store, as it tells it to other nodes. It
// is immutable.
type Record struct {
	// Items are all known ones, among them those that were removed after Since.
	Items []Item
	// Revision is the store's revision up to which all changes are known.
	Revision uint64
	// Since is the revision up to which a removal may be unknown: that of the
	// newest reading of everything that closed a gap, or 0.
	Since uint64
	// Digest is the same for all nodes that know the same at one revision.
	Digest uint32
}

// newRecord returns the record of some items.
func newRecord(items []Item, revision, since uint64) *Record {
	r := &Record{Items: items, Revision: revision, Since: since}
	for _, i := range items {
		if !i.Removed {
			r.Digest ^= i.digest()
		}
	}
	return r
}

func (i *Item) digest() uint32 {
	return uint32(xxhash.Sum64(binary.LittleEndian.AppendUint64([]byte(i.Key), i.Revision)))
}

// After returns what changed after a revision, or everything there is, which
// whole says.
//
// Who has read everything knows nothing of an entry that was removed before. As
// the difference from an earlier revision its items would lack the removal; one
// would see the asking node send requests to an endpoint long after it has left,
// though it takes all later news. From everything there is, the asking node finds
// out itself what is gone.
func (r *Record) After(revision uint64) (items []Item, whole bool) {
	whole = revision < r.Since
	for _, i := range r.Items {
		if whole && !i.Removed || !whole && i.Revision > revision {
			items = append(items, i)
		}
	}
	return items, whole
}

// forget drops the oldest removals where there are too many, and returns the
// newest revision of those it dropped.
func forget(items map[string]Item) uint64 {
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
