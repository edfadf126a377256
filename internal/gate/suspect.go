package gate

const (
	// maxSuspects is how many requests that ran on one dying endpoint an
	// endpoint runs at a time.
	maxSuspects = 4
	// aloneAfter is how many deaths make a request run alone among suspects.
	aloneAfter = 2
)

// takesSuspect reports whether an endpoint may run one more suspected request.
//
// An endpoint that dies makes suspects of all that it ran. Were they to meet
// again, the innocent ones would be counted with the cause each time and be
// isolated with it. A request under strong suspicion therefore runs where no
// other suspect does: if the endpoint dies, nobody else is taken for the cause.
func (g *Gate) takesSuspect(a Ask) bool {
	together := 0
	for _, p := range g.permits {
		if p.endpoint != a.Endpoint || p.suspect == 0 {
			continue
		}
		if p.suspect >= aloneAfter || a.Suspect >= aloneAfter {
			return false
		}
		together++
	}
	return together < maxSuspects
}
