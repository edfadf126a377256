package deployment

import (
	"cmp"
	"encoding/binary"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// removalsKept is how many removed items a node remembers: some 340 starts of
// endpoints a day are to be borne, so that this is more than a day, in 100 KB.
const removalsKept = 1000

// Record is what a node has read of the store, as it tells it to other nodes. It
// is immutable.
type Record struct {
	// Items are all known ones of the epoch, among them those that were removed
	// after Since.
	Items []Item
	// Position is the one up to which all changes are known.
	Position
	// Since is the epoch's revision up to which a removal may be unknown: that of
	// the newest reading of everything that closed a gap, or 0.
	Since uint64
	// Former are items of earlier epochs that still hold though the present one
	// does not have them.
	Former []Item
	// Digest is the same for all nodes that know the same at one revision.
	Digest uint32
}

// newRecord returns the record of a book.
func newRecord(b *book) *Record {
	r := &Record{Items: slices.Collect(maps.Values(b.items)), Position: b.position, Since: b.since, Former: b.formers()}
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

// After returns what changed after a position, or everything there is, which
// whole says.
//
// Who has read everything knows nothing of an entry that was removed before. As
// the difference from an earlier revision its items would lack the removal; one
// would see the asking node send requests to an endpoint long after it has left,
// though it takes all later news. From everything there is, the asking node finds
// out itself what is gone.
//
// Nor is there a difference between two epochs, in which one revision names two
// changes.
func (r *Record) After(p Position) (items []Item, whole bool) {
	whole = p.Epoch != r.Epoch || p.Revision < r.Since
	for _, i := range r.Items {
		if whole && !i.Removed || !whole && i.Revision > p.Revision {
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
