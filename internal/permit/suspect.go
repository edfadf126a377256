package permit

const (
	// maxSuspects is how many requests that were running on one endpoint that died
	// may run at the same endpoint at a time.
	maxSuspects = 4
	// aloneAfter is the number of deaths from which a request runs at an endpoint
	// without other suspects.
	aloneAfter = 2
)

// admitsSuspect reports whether an endpoint may run one more suspected request.
//
// When an endpoint dies, all requests that it ran become suspects. If they ran
// together again, the innocent ones would be counted along with the cause each time
// and be isolated with it. A strongly suspected request therefore runs where no
// other suspect does: if the endpoint dies, no other request is suspected in its
// place.
func (g *Gate) admitsSuspect(a Request) bool {
	suspects := 0
	for _, p := range g.permits {
		if p.endpoint != a.Endpoint || p.suspect == 0 {
			continue
		}
		if p.suspect >= aloneAfter || a.Suspect >= aloneAfter {
			return false
		}
		suspects++
	}
	return suspects < maxSuspects
}
