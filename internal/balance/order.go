package balance

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"bulrushhinge.example/bulrushhinge/internal/deployment"
)

// first returns the first endpoint in a part's rendezvous order, except one. Draining
// endpoints are included: they still hold what was sent to them.
func first(part uint64, list []*deployment.Endpoint, but *deployment.Endpoint) *deployment.Endpoint {
	var top *deployment.Endpoint
	var highest uint64
	for _, e := range list {
		if s := score(part, e); e != but && (top == nil || s > highest) {
			top, highest = e, s
		}
	}
	return top
}

// score is the weight of an endpoint in a part's rendezvous order; the highest comes
// first.
func score(part uint64, e *deployment.Endpoint) uint64 { return scoreOf(part, hashID(e.ID)) }

// scoreOf is score for an endpoint whose ID has a hash.
func scoreOf(part, id uint64) uint64 {
	var b [16]byte
	binary.LittleEndian.PutUint64(b[:], part)
	binary.LittleEndian.PutUint64(b[8:], id)
	return xxhash.Sum64(b[:])
}

func hashID(id string) uint64 { return xxhash.Sum64String(id) }
