package deployment

import "cmp"

// Position is a point in the history of the platform's store.
//
// The store reuses revisions after it was restored from a copy, so that a revision
// means nothing without its epoch.
type Position struct {
	// Epoch counts how often the store was restored, 0 if it does not say.
	Epoch uint64 `json:"epoch"`
	// Revision counts the changes within an epoch.
	Revision uint64 `json:"revision"`
}

// Compare returns -1, 0 or +1 as p is before, at or after another position.
func (p Position) Compare(o Position) int {
	return cmp.Or(cmp.Compare(p.Epoch, o.Epoch), cmp.Compare(p.Revision, o.Revision))
}

// Before reports whether p is before another position.
func (p Position) Before(o Position) bool { return p.Compare(o) < 0 }

// IsZero reports whether nothing was ever read.
func (p Position) IsZero() bool { return p == Position{} }

// Later returns the later one of two positions.
func Later(a, b Position) Position {
	if a.Before(b) {
		return b
	}
	return a
}
