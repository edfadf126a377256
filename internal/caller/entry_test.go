package caller_test

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bulrushhinge.example/bulrushhinge/internal/caller"
	"bulrushhinge.example/bulrushhinge/internal/kernel"
	"bulrushhinge.example/bulrushhinge/pkg/entry"
	"bulrushhinge.example/bulrushhinge/pkg/manifest"
)

const entryChats = 4000

// fleet returns a view of nodes n0, n1, ..., which are spread over three
// availability zones. The first two zones form one region.
func fleet(nodes int) *kernel.View {
	v := &kernel.View{Manifest: &manifest.Manifest{Zones: []manifest.Zone{
		{Name: "z0", Region: "east"}, {Name: "z1", Region: "east"}, {Name: "z2", Region: "west"},
	}}}
	for i := range nodes {
		v.Nodes = append(v.Nodes, kernel.Node{
			Name: fmt.Sprintf("n%d", i), Zone: fmt.Sprintf("z%d", i%3),
			Caller: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 80),
		})
	}
	return v
}

// firstChoices counts for how many of entryChats chats each node is the first choice.
func firstChoices(v *kernel.View, zone string) map[string]int {
	count := map[string]int{}
	for i := range entryChats {
		count[caller.Nodes(v, zone, fmt.Sprintf("chat-%d", i))[0].Name]++
	}
	return count
}

// Guards against callers who are sent to another availability zone or region, or to a suspect
// node, while there is a better node.
func TestEntryPrefersZoneThenRegion(t *testing.T) {
	v := fleet(6)
	v.Nodes[0].State = kernel.Suspect
	for i := range 100 {
		var zones []string
		for _, n := range caller.Nodes(v, "z0", fmt.Sprint(i)) {
			zones = append(zones, n.Zone)
		}
		require.Equal(t, []string{"z0", "z1", "z1", "z2", "z2", "z0"}, zones, "the suspect node comes last")
	}
}

// Guards against callers who are sent to a node that is leaving, dead or not configured.
func TestEntryOmitsUnavailableNodes(t *testing.T) {
	v := fleet(4)
	v.Self = v.Nodes[3]
	v.Nodes[1].State = kernel.Leaving
	v.Nodes[2].State = kernel.Dead
	require.Len(t, caller.Nodes(v, "", "c"), 2)
	v.Manifest = nil
	require.Len(t, caller.Nodes(v, "", "c"), 1, "the node itself has no configuration yet")
}

// Guards against chats that are unevenly distributed, or that change their node because of a
// small difference in load.
func TestEntryOrderIsEvenAndStable(t *testing.T) {
	v := fleet(8)
	before := firstChoices(v, "")
	for name, n := range before {
		require.InDelta(t, entryChats/8, n, entryChats/20, name)
	}
	order := caller.Nodes(v, "", "chat-1")
	for i := range v.Nodes {
		v.Nodes[i].Active = 100 + i
	}
	require.Equal(t, order, withoutActive(caller.Nodes(v, "", "chat-1")), "small differences in load must not change the order")
}

// Guards against a node that keeps getting callers while it serves far more than the others.
func TestEntryMovesChatsOffLoadedNodes(t *testing.T) {
	v := fleet(8)
	for i := range v.Nodes {
		v.Nodes[i].Active = 100
	}
	v.Nodes[0].Active = 900
	count := firstChoices(v, "")
	require.Less(t, count["n0"], entryChats/8*2/5)
	require.Positive(t, count["n0"], "a loaded node must not be dropped, or its load would oscillate")
	for i := 1; i < 8; i++ {
		require.Greater(t, count[fmt.Sprintf("n%d", i)], entryChats/8)
	}
	near := firstChoices(v, "z0")
	require.Zero(t, near["n0"], "the zone's other nodes must come first")
}

// Guards against an entry answer that grows with the fleet, or that has nodes of one
// availability zone only, so that the zone's failure leaves its callers without a node.
func TestEntryAnswerIsBoundedAndSpansZones(t *testing.T) {
	v := fleet(60)
	nodes := caller.Nodes(v, "z0", "c")
	require.Len(t, nodes, 8)
	zones := map[string]int{}
	for _, n := range nodes {
		zones[n.Zone]++
	}
	require.Equal(t, 6, zones["z0"])
}

// Guards against callers who got entry answers together and renew them all at the same time.
func TestEntryAnswersExpireAtDifferentTimes(t *testing.T) {
	s, _ := serve(t, &endpoints{}, caller.Config{})
	resp, text, err := do(t, request(t, "GET", s.URL+entry.PathEntry, ""))
	require.NoError(t, err)
	require.Equal(t, 503, resp.StatusCode, "the only node has no address: %s", text)
	keeps := map[time.Duration]bool{}
	h := caller.New(caller.Config{View: func() *kernel.View { return fleet(3) }})
	for range 20 {
		var a entry.Answer
		require.NoError(t, json.Unmarshal(record(t, h, "GET", entry.PathEntry+"?zone=z1&chat=c"), &a))
		require.Len(t, a.Nodes, 3)
		require.GreaterOrEqual(t, a.Keep(), 30*time.Second)
		require.Less(t, a.Keep(), 40*time.Second)
		keeps[a.Keep()] = true
	}
	require.Greater(t, len(keeps), 10)
}

func withoutActive(nodes []kernel.Node) []kernel.Node {
	for i := range nodes {
		nodes[i].Active = 0
	}
	return nodes
}
