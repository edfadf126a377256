package crash

// maxForgotten bounds the cleared crashes of which only this is kept.
const maxForgotten = 4096

type (
	// forgotten are cleared crashes that have made room for others. Nodes repeat their
	// reports: one of a forgotten crash must not count as a new one.
	forgotten struct {
		set map[sighting]bool
		// order is a ring of the same crashes, and next the place of the oldest.
		order []sighting
		next  int
	}

	// sighting names a feature's crash at an endpoint.
	sighting struct {
		feature  uint64
		endpoint uint32
	}
)

// add adds a crash, in place of the oldest if there are too many.
func (f *forgotten) add(s sighting) {
	if f.set == nil {
		f.set = map[sighting]bool{}
	}
	if f.set[s] {
		return
	}
	f.set[s] = true
	if len(f.order) < maxForgotten {
		f.order = append(f.order, s)
		return
	}
	delete(f.set, f.order[f.next])
	f.order[f.next] = s
	f.next = (f.next + 1) % maxForgotten
}

// has reports whether a crash is among them.
func (f *forgotten) has(s sighting) bool { return f.set[s] }
