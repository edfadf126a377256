package kernel

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Score returns the weight of a member for a key. The member with the highest
// score is first in the key's rendezvous order; a member that joins or leaves
// moves only the keys that it wins or won.
func Score(key, member string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(key)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(member)
	return d.Sum64()
}

// Rendezvous returns the nodes in the rendezvous order of a key.
func Rendezvous(key string, nodes []Node) []Node {
	order := slices.Clone(nodes)
	slices.SortFunc(order, func(a, b Node) int {
		return cmp.Compare(Score(key, b.Name), Score(key, a.Name))
	})
	return order
}
