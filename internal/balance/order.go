package balance

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"bulrushhinge.example/bulrushhinge/internal/deployment"
)

// first returns the endpoint that comes first in a part's rendezvous order, but
// for one that is left out. Draining ones are among them: they still keep what
// was sent to them.
func first(part uint64, list []*deployment.Endpoint, but *deployment.Endpoint) *deployment.Endpoint {
	var best *deployment.Endpoint
	var highest uint64
	for _, e := range list {
		if s := score(part, e); e != but && (best == nil || s > highest) {
			best, highest = e, s
		}
	}
	return best
}

// score is an endpoint's place in a part's rendezvous order; the highest is
// first.
func score(part uint64, e *deployment.Endpoint) uint64 {
	var b [16]byte
	binary.LittleEndian.PutUint64(b[:], part)
	binary.LittleEndian.PutUint64(b[8:], xxhash.Sum64String(e.ID))
	return xxhash.Sum64(b[:])
}
