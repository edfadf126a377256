package gateway_test

import (
	"fmt"
	"net/netip"
	"testing"

	"github.com/stretchr/testify/require"

	"bulrushhinge.example/bulrushhinge/internal/gateway"
)

func TestNearest(t *testing.T) {
	// Nodes are named by their port; each zone's name begins with its region's.
	regions := map[string]string{"a1": "a", "a2": "a", "b1": "b", "c1": "c"}
	cases := []struct {
		name      string
		caller    gateway.Caller
		ready     []string
		residency []string
		want      []int
	}{
		{name: "two nodes in its zone", caller: gateway.Caller{Region: "a", Zone: "a1"}, ready: []string{"a1", "a1", "a2", "b1"}, want: []int{1, 2}},
		{name: "one node in its zone is not enough", caller: gateway.Caller{Region: "a", Zone: "a1"}, ready: []string{"a1", "a2", "b1"}, want: []int{1, 2}},
		{name: "one node in its zone and no other in its region", caller: gateway.Caller{Region: "a", Zone: "a1"}, ready: []string{"a1", "b1"}, want: []int{1}},
		{name: "a residency region if its own has no node", caller: gateway.Caller{Region: "a", Zone: "a1"}, ready: []string{"b1", "c1"}, residency: []string{"c"}, want: []int{2}},
		{name: "its own region before a residency region", caller: gateway.Caller{Region: "a", Zone: "a1"}, ready: []string{"a2", "c1"}, residency: []string{"c"}, want: []int{1}},
		{name: "any node as a last resort", caller: gateway.Caller{Region: "a", Zone: "a1"}, ready: []string{"b1", "c1"}, want: []int{1, 2}},
		{name: "a caller in an unknown region", caller: gateway.Caller{Region: "x", Zone: "x1"}, ready: []string{"b1", "c1"}, residency: []string{"b"}, want: []int{1}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var ready []gateway.Node
			for i, zone := range c.ready {
				ready = append(ready, gateway.Node{Zone: zone, Callers: netip.MustParseAddrPort(fmt.Sprint("10.0.0.1:", i+1))})
			}
			var got []int
			for _, a := range gateway.Nearest(c.caller, ready, regions, c.residency) {
				got = append(got, int(a.Port()))
			}
			require.Equal(t, c.want, got)
		})
	}
}
