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
	// maxEntryNodes limits the answer. maxEntryBest limits the nodes of the best
	// group, so that a caller whose availability zone fails still knows others.
	maxEntryNodes = 8
	maxEntryBest  = 6
	// A node gets fewer chats if its load exceeds loadSlack times the mean, and
	// callers of its own availability zone no longer prefer it above zoneSlack
	// times the mean. loadFloor is added to both limits, so that small loads do
	// not matter. loadExponent determines how fast a node's weight falls above
	// the limit.
	loadSlack    = 1.1
	loadExponent = 4.0
	zoneSlack    = 2.0
	loadFloor    = 8.0
)

// Groups of nodes in the order of preference.
const (
	groupZone = iota
	groupRegion
	groupOther
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
		Tickets: h.mintTickets(r, EntryTickets),
	}
	for _, n := range nodes {
		answer.Nodes = append(answer.Nodes, n.Caller)
	}
	data, err := json.Marshal(answer)
	if err != nil {
		dispatchProblem(err).write(w)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Cache-Control", "no-store")
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	_, _ = w.Write(data)
}

// Nodes returns the nodes for a chat, best first: those of the caller's
// availability zone, then those of its region, then others, and suspect nodes
// last. Leaving and dead nodes are omitted.
//
// Within a group, nodes are sorted by rendezvous hashing weighted by load, so
// that a chat returns to the same nodes while the load is balanced, and moves
// away from overloaded ones. Weights only lower probabilities: callers that ask
// at the same time do not all go to the least loaded node.
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
	return limitNodes(all)
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
	case n.Zone == zone && float64(n.Active) <= zoneSlack*mean+loadFloor:
		return groupZone
	case n.Zone == zone:
		return groupRegion
	case v.Manifest != nil && zone != "" && v.Manifest.Region(zone) != "" && v.Manifest.Region(n.Zone) == v.Manifest.Region(zone):
		return groupRegion
	default:
		return groupOther
	}
}

// score returns the node's weighted rendezvous score: a node has the highest
// score for a chat with a probability proportional to its weight.
func score(n kernel.Node, chat string, mean float64) float64 {
	weight := 1.0
	if share := loadSlack*mean + loadFloor; float64(n.Active) > share {
		weight = math.Pow(share/float64(n.Active), loadExponent)
	}
	uniform := (float64(kernel.Score(chat, n.Name)>>11) + 0.5) / (1 << 53)
	return -weight / math.Log(uniform)
}

// limitNodes shortens a list of candidates to maxEntryNodes, with at most
// maxEntryBest of the best group if others can take their place.
func limitNodes(all []candidate) []kernel.Node {
	var nodes, rest []kernel.Node
	for _, c := range all {
		if c.group == all[0].group && len(nodes) >= maxEntryBest {
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
