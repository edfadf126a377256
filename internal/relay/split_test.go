package relay_test

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"

	"bulrushhinge.example/bulrushhinge/internal/relay"
)

// pair is a relay of a loaded fleet and a node that follows it.
type pair struct {
	now             time.Time
	timing          relay.Timing
	relay, follower *relay.Node
	peers           []relay.Peer
	nodes, loads    int
	sequence        uint64
}

// newPair returns a relay of a fleet with some nodes, each of which has requests at
// some endpoints of its own.
func newPair(nodes, loads int) *pair {
	now := time.Unix(1, 0)
	p := &pair{now: now, timing: relay.NewTiming(nodes), nodes: nodes, loads: loads}
	p.relay = relay.New(relay.Config{ID: 1, Zone: "z", Power: 800})
	p.follower = relay.New(relay.Config{ID: 2, Zone: "z", Power: 100})
	for id := range relay.ID(nodes) {
		power := 100
		if id != 1 && id < 4 {
			power = 800
		}
		p.peers = append(p.peers, relay.Peer{ID: id + 1, Zone: "z", Addr: addrOf(id + 1), Power: power, FirstSeen: now, LastSeen: now})
	}
	return p
}

func addrOf(id relay.ID) netip.Addr {
	return netip.AddrFrom4([4]byte{10, 0, byte(id >> 8), byte(id)})
}

// loadsOf returns a node's requests in progress, the same number at each endpoint.
func (p *pair) loadsOf(id relay.ID, each int) map[uint32]int {
	loads := map[uint32]int{}
	for i := range p.loads {
		loads[uint32(int(id)*p.loads+i)] = each
	}
	return loads
}

// step lets all nodes report, and returns the datagrams that the follower is sent.
func (p *pair) step(t *testing.T, each int) []relay.Message {
	p.sequence++
	p.now = p.now.Add(p.timing.Step)
	own := relay.Report{ID: 2, Sequence: p.sequence, Loads: p.loadsOf(2, each)}
	p.follower.Step(p.now, p.timing, append(p.peers[:1:1], p.peers[2:4]...), own)
	for id := relay.ID(2); int(id) <= p.nodes; id++ {
		p.relay.ReceiveReport(p.now, relay.Report{ID: id, Addr: addrOf(id), Sequence: p.sequence, Follows: id == 2, Loads: p.loadsOf(id, each), PendingPrefill: p.loadsOf(id, 5000*each)})
	}
	var list []relay.Message
	for _, m := range p.relay.Step(p.now, p.timing, p.peers[1:], relay.Report{ID: 1, Sequence: p.sequence}) {
		if m.To == addrOf(2) && m.Summary != nil && m.Summary.Fleet {
			data, err := cbor.Marshal(m.Summary)
			require.NoError(t, err)
			require.LessOrEqual(t, len(data), maxDatagram)
			list = append(list, m)
		}
	}
	return list
}

func (p *pair) deliver(m relay.Message) bool {
	return p.follower.ReceiveSummary(p.now, p.peers[0], m.Summary, m.Sequence)
}

// Guards against summaries that are too large for a datagram, so that no node of a
// large fleet knows the loads when most endpoints are busy.
func TestSummaryOfBusyFleetFitsDatagrams(t *testing.T) {
	for _, c := range []struct{ nodes, loads int }{{20, 5}, {585, 10}, {1000, 10}} {
		t.Run(fmt.Sprint(c.nodes, " nodes, ", c.nodes*c.loads, " endpoints"), func(t *testing.T) {
			p := newPair(c.nodes, c.loads)
			list := p.step(t, 3)
			rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
			for i, m := range list {
				last := i == len(list)-1
				require.Equal(t, last || i+1 == len(list)*3/4, p.deliver(m), "use the summary")
				require.False(t, p.deliver(m), "the same datagram again")
			}
			fleet, sums := p.follower.Fleet(p.now), p.follower.Sums(p.now)
			require.Equal(t, c.nodes, fleet.Covered.Len())
			require.Len(t, fleet.Statuses, c.nodes)
			require.Len(t, sums.Loads, (c.nodes-2)*c.loads)
			for id := relay.ID(3); int(id) <= c.nodes; id++ {
				for key, n := range p.loadsOf(id, 3) {
					require.Equal(t, n, sums.Loads[key])
				}
			}
		})
	}
}

// Guards against loads that disappear because one datagram of several is lost.
func TestLostShardLeavesOlderLoads(t *testing.T) {
	p := newPair(585, 10)
	for _, m := range p.step(t, 3) {
		p.deliver(m)
	}
	list := p.step(t, 4)
	require.Greater(t, len(list), 2)
	for _, m := range list[1:] {
		p.deliver(m)
	}
	sums := p.follower.Sums(p.now)
	counts := map[int]int{}
	for _, n := range sums.Loads {
		counts[n]++
	}
	require.Equal(t, 583*10, counts[3]+counts[4])
	require.Positive(t, counts[3])
	require.Greater(t, counts[4], counts[3])
	p.now = p.now.Add(p.timing.Valid + time.Millisecond)
	require.Nil(t, p.follower.Sums(p.now), "no datagram for a long time")
}
