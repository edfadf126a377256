package examples_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"bulrushhinge.example/bulrushhinge/examples"
	"bulrushhinge.example/bulrushhinge/pkg/manifest"
)

func TestSizes(t *testing.T) {
	for _, c := range []struct {
		name                              string
		zones, engines, workers, accounts int
	}{
		{examples.Thies, 3, 12, 3, 10},
		{examples.Karamanlis, 4, 20, 4, 10},
	} {
		t.Run(c.name, func(t *testing.T) {
			e, err := examples.Load(c.name)
			require.NoError(t, err)
			require.Len(t, e.Manifest.Zones, c.zones)
			require.Len(t, e.Manifest.Accounts, c.accounts)
			require.Len(t, e.Nodes, 8)
			kinds := map[manifest.Kind]int{}
			for _, i := range append(e.Nodes, e.Endpoints...) {
				require.NotEmpty(t, e.Manifest.Region(i.Zone), i.Name)
			}
			for _, i := range e.Endpoints {
				s, ok := e.Manifest.Service(i.Service)
				require.True(t, ok, i.Name)
				kinds[s.Kind]++
			}
			require.Equal(t, map[manifest.Kind]int{manifest.KindChat: c.engines, manifest.KindPlain: c.workers}, kinds)
		})
	}
}

func TestUnknownExample(t *testing.T) {
	_, err := examples.Load("nowhere")
	require.ErrorIs(t, err, examples.ErrExample)
}

func ExampleLoad() {
	e, err := examples.Load(examples.Thies)
	if err != nil {
		fmt.Println(err)
		return
	}
	s, _ := e.Manifest.ServiceOf("notices")
	fmt.Println(s.Name, len(e.Endpoints), "endpoints")
	// Output: engines 15 endpoints
}
