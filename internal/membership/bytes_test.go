package membership_test

import (
	"flag"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var atTarget = flag.Bool("target", false, "also measure fleets of 64 nodes and of the target size")

// TestControlBytes logs the cost of heartbeats, as actually encoded and framed,
// while the fleet is under load and some accounts exceed their rates. It limits the
// sum of both directions at the busiest node.
func TestControlBytes(t *testing.T) {
	cases := []struct {
		size  size
		limit int
	}{{small, 3072}, {layered, 14000}}
	if *atTarget {
		for _, s := range []size{medium, target} {
			cases = append(cases, struct {
				size  size
				limit int
			}{s, 14000})
		}
	}
	for _, c := range cases {
		f := newFleet(c.size)
		f.run(6 * time.Second)
		f.resetBytes()
		const span = 6
		begin := time.Now()
		f.run(span * time.Second)
		spent := time.Since(begin)
		var sent, received, most, beats int
		for _, n := range f.nodes {
			sent += n.sent
			received += n.received
			beats += n.beats
			most = max(most, n.sent+n.received)
		}
		per := func(v int) float64 { return float64(v) / float64(c.size.nodes) / span }
		t.Logf("%d nodes, %d endpoints: %.0f B/s sent, %.0f B/s received, %.1f messages/s a node; %d B/s both ways at the busiest node; %.2f%% of a core a node",
			c.size.nodes, c.size.endpoints, per(sent), per(received), per(beats), most/span,
			100*spent.Seconds()/span/float64(c.size.nodes))
		require.Less(t, most/span, c.limit)
		for _, name := range f.names {
			require.Len(t, f.nodes[name].View().Nodes, c.size.nodes)
		}
	}
}
