package peer_test

import (
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"bulrushhinge.example/bulrushhinge/internal/builtin"
	"bulrushhinge.example/bulrushhinge/internal/kernel"
	"bulrushhinge.example/bulrushhinge/internal/peer"
	"bulrushhinge.example/bulrushhinge/internal/peer/peerpb"
	"bulrushhinge.example/bulrushhinge/internal/permit"
	"bulrushhinge.example/bulrushhinge/pkg/manifest"
)

// encoded returns the encoded messages, each also truncated, and malformed data.
func encoded(f *testing.F, messages ...proto.Message) [][]byte {
	f.Helper()
	var list [][]byte
	for _, m := range messages {
		data, err := proto.Marshal(m)
		require.NoError(f, err)
		list = append(list, data, data[:len(data)/2])
	}
	return append(list, nil, []byte{0xff, 0xff, 0xff, 0xff, 0x0f})
}

func newKernel() (*kernel.Kernel, *permit.Gate, time.Time) {
	now := time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)
	k, permits := builtin.New(kernel.Node{Name: "n1", Zone: "a"}, builtin.Config{})
	addr := netip.MustParseAddrPort("127.0.0.1:1")
	k.Step(now, kernel.Accepted{Manifest: &manifest.Manifest{
		Revision: 1, Deployments: []manifest.Deployment{{Name: "d", Bound: 1.5}}, Zones: []manifest.Zone{{Name: "a", Region: "r"}},
		Services: []manifest.Service{{Name: "s", Deployment: "d"}},
	}})
	k.Step(now, kernel.Instances{Version: 1, List: []kernel.Instance{
		{Name: "n1", Kind: kernel.KindNode, Zone: "a", Addr: addr, Peer: addr},
		{Name: "n2", Kind: kernel.KindNode, Zone: "a", Addr: addr, Peer: addr},
		{Name: "w1", Kind: kernel.KindEndpoint, Zone: "a", Service: "s", Addr: addr},
	}})
	return k, permits, now
}

// FuzzHeartbeat decodes a heartbeat and applies it to a complete kernel: a peer with
// a newer or broken version must not crash the node.
func FuzzHeartbeat(f *testing.F) {
	for _, data := range encoded(f,
		peer.EncodeBeat(&kernel.Heartbeat{Node: "n2", Incarnation: 7, Serial: 1, Revision: 9, Loads: []kernel.EndpointLoad{{Endpoint: "w1"}}}),
		peer.EncodeBeat(&kernel.Heartbeat{Node: "n2", Leaving: true, Suspects: []kernel.Suspicion{{Fingerprint: 1, Endpoints: []string{"w1"}, Age: time.Second}}}),
	) {
		f.Add(data)
	}
	f.Fuzz(func(_ *testing.T, data []byte) {
		var m peerpb.Heartbeat
		if proto.Unmarshal(data, &m) != nil {
			return
		}
		k, _, now := newKernel()
		for i := range 3 {
			k.Step(now.Add(time.Duration(i)*time.Second), kernel.HeartbeatReceived{Heartbeat: peer.DecodeBeat(&m)})
			k.Step(now.Add(time.Duration(i)*time.Second), kernel.Tick{})
		}
		_ = k.View()
		_ = k.Dump(now)
		_ = peer.EncodeBeat(k.Beat(now, "n2"))
	})
}

// FuzzPermit decodes permit requests and releases and applies them to a gate.
func FuzzPermit(f *testing.F) {
	for _, data := range encoded(f,
		peer.EncodePermit("n2", permit.Batch{Requests: []permit.Request{{ID: 1, Endpoint: "w1", Tokens: 100, Lease: time.Minute, Suspect: 2}}, Releases: []permit.Release{{ID: 4, Took: time.Second}}}),
	) {
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		var m peerpb.PermitRequest
		if proto.Unmarshal(data, &m) != nil {
			return
		}
		_, permits, now := newKernel()
		batch := peer.DecodePermit(&m)
		reply := permits.Apply(now, batch)
		require.Len(t, reply.Verdicts, len(batch.Requests), "each request has a verdict")
		permits.Expire(now.Add(time.Hour))
		for _, l := range permits.Loads() {
			require.GreaterOrEqual(t, l.Load.Requests, 0)
			require.GreaterOrEqual(t, l.Load.Tokens, 0)
		}
	})
}
