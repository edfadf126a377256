package caller

import (
	"cmp"
	"encoding/json"
	"math"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"time"

	"bulrushhinge.example/bulrushhinge/internal/kernel"
	"bulrushhinge.example/bulrushhinge/pkg/entry"
)

const (
	entryKeep   = 30 * time.Second
	entryJitter = 10 * time.Second
	// maxEntryNodes bounds the answer; maxEntryNear keeps room in it for nodes
	// outside the best group, so that a caller whose availability zone fails
	// still knows where to go.
	maxEntryNodes = 8
	maxEntryNear  = 6
	// loadSlack is how far above the mean a node's load may lie before chats
	// move away from it, and nearShare how far before callers of its own
	// availability zone do. loadFloor keeps small numbers from counting, and
	// loadPower is how fast chances fall with the load above.
	loadSlack = 1.1
	loadPower = 4.0
	nearShare = 2.0
	loadFloor = 8.0
)

// Groups of nodes, the best first.
const (
	groupZone = iota
	groupRegion
	groupFar
	groupSuspect
)

type candidate struct {
	node  kernel.Node
	group int
	score float64
}

func (h *Handler) entry(w http.ResponseWriter, r *http.Request) {
	v := h.config.View()
	query := r.URL.Query()
	chat := query.Get("chat")
	if len(chat) > maxChatBytes || len(query.Get("zone")) > maxChatBytes {
		badRequest(errLongName).write(w)
		return
	}
	if chat == "" {
		chat = strconv.FormatUint(rand.Uint64(), 16)
	}
	nodes := Nodes(v, query.Get("zone"), chat)
	if len(nodes) == 0 {
		notReady().write(w)
		return
	}
	answer := entry.Answer{
		KeepMS:  (entryKeep + rand.N(entryJitter)).Milliseconds(),
		Tickets: h.freshTickets(r, EntryTickets),
	}
	for _, n := range nodes {
		answer.Nodes = append(answer.Nodes, n.Caller)
	}
	data, err := json.Marshal(answer)
	if err != nil {
		refused(err).write(w)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Cache-Control", "no-store")
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	_, _ = w.Write(data)
}

// Nodes returns the nodes for a chat, best first: those of the caller's
// availability zone, then of its region, then others, and those that did not
// answer of late at the end. Nodes that are stopping are left out.
//
// Within a group the order is a rendezvous order weighted by load, so that a
// chat comes back to the same nodes while loads are even and leaves one that
// carries more than its share. The weights only lower chances: callers that ask
// at the same moment don't all go to the least loaded node.
func Nodes(v *kernel.View, zone, chat string) []kernel.Node {
	mean := meanActive(v.Nodes)
	var all []candidate
	for _, n := range v.Nodes {
		if n.State == kernel.Leaving || n.State == kernel.Dead || !n.Caller.IsValid() {
			continue
		}
		if n.Name == v.Self.Name && v.Manifest == nil {
			continue
		}
		all = append(all, candidate{node: n, group: group(v, n, zone, mean), score: score(n, chat, mean)})
	}
	slices.SortFunc(all, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.group, b.group), cmp.Compare(b.score, a.score))
	})
	return spread(all)
}

func meanActive(nodes []kernel.Node) float64 {
	total, count := 0, 0
	for _, n := range nodes {
		if n.State == kernel.Live {
			total += n.Active
			count++
		}
	}
	return float64(total) / float64(max(count, 1))
}

func group(v *kernel.View, n kernel.Node, zone string, mean float64) int {
	switch {
	case n.State == kernel.Suspect:
		return groupSuspect
	case n.Zone == zone && float64(n.Active) <= nearShare*mean+loadFloor:
		return groupZone
	case n.Zone == zone:
		return groupRegion
	case v.Manifest != nil && zone != "" && v.Manifest.Region(zone) != "" && v.Manifest.Region(n.Zone) == v.Manifest.Region(zone):
		return groupRegion
	default:
		return groupFar
	}
}

// score is the node's weighted rendezvous score: among nodes of weights w the
// one with the highest score wins a chat with a chance in proportion to w.
func score(n kernel.Node, chat string, mean float64) float64 {
	weight := 1.0
	if share := loadSlack*mean + loadFloor; float64(n.Active) > share {
		weight = math.Pow(share/float64(n.Active), loadPower)
	}
	uniform := (float64(kernel.Score(chat, n.Name)>>11) + 0.5) / (1 << 53)
	return -weight / math.Log(uniform)
}

// spread shortens a list of candidates so that not all are of the best group.
func spread(all []candidate) []kernel.Node {
	var nodes, rest []kernel.Node
	for _, c := range all {
		if c.group == all[0].group && len(nodes) >= maxEntryNear {
			rest = append(rest, c.node)
			continue
		}
		if len(nodes) < maxEntryNodes {
			nodes = append(nodes, c.node)
		}
	}
	missing := max(min(maxEntryNodes-len(nodes), len(rest)), 0)
	return append(nodes, rest[:missing]...)
}
