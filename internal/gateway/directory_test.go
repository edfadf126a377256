package gateway_test

import (
	"fmt"
	"net/netip"
	"testing"

	"github.com/stretchr/testify/require"

	"bulrushhinge.example/bulrushhinge/internal/gateway"
)

func TestNearestNodesOfACaller(t *testing.T) {
	// Nodes are named by their port; each zone's name begins with its region's.
	regions := map[string]string{"a1": "a", "a2": "a", "b1": "b", "c1": "c"}
	cases := []struct {
		name   string
		caller gateway.Caller
		ready  []string
		homes  []string
		want   []int
	}{
		{name: "two of its zone", caller: gateway.Caller{Region: "a", Zone: "a1"}, ready: []string{"a1", "a1", "a2", "b1"}, want: []int{1, 2}},
		{name: "one of its zone does not suffice", caller: gateway.Caller{Region: "a", Zone: "a1"}, ready: []string{"a1", "a2", "b1"}, want: []int{1, 2}},
		{name: "but is better than nothing of its region", caller: gateway.Caller{Region: "a", Zone: "a1"}, ready: []string{"a1", "b1"}, want: []int{1}},
		{name: "another region that is a home", caller: gateway.Caller{Region: "a", Zone: "a1"}, ready: []string{"b1", "c1"}, homes: []string{"c"}, want: []int{2}},
		{name: "its own goes before homes", caller: gateway.Caller{Region: "a", Zone: "a1"}, ready: []string{"a2", "c1"}, homes: []string{"c"}, want: []int{1}},
		{name: "any where there is no other", caller: gateway.Caller{Region: "a", Zone: "a1"}, ready: []string{"b1", "c1"}, want: []int{1, 2}},
		{name: "a caller of an unknown region", caller: gateway.Caller{Region: "x", Zone: "x1"}, ready: []string{"b1", "c1"}, homes: []string{"b"}, want: []int{1}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var ready []gateway.Node
			for i, zone := range c.ready {
				ready = append(ready, gateway.Node{Zone: zone, Callers: netip.MustParseAddrPort(fmt.Sprint("10.0.0.1:", i+1))})
			}
			var got []int
			for _, a := range gateway.Nearest(c.caller, ready, regions, c.homes) {
				got = append(got, int(a.Port()))
			}
			require.Equal(t, c.want, got)
		})
	}
}
