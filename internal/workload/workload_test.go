package workload_test

import (
	"bytes"
	"testing"

	"github.com/stretchr/testify/require"

	"bulrushhinge.example/bulrushhinge/internal/workload"
	"bulrushhinge.example/bulrushhinge/pkg/trace"
)

// TestMake guards against traces that differ for one seed or cannot be read back, and
// against traces that lack the deployments' sizes or a kind of change.
func TestMake(t *testing.T) {
	sizes := map[string]int{"thies": 15, "karamanlis": 24}
	require.Len(t, workload.Names(), len(sizes))
	for _, name := range workload.Names() {
		t.Run(name, func(t *testing.T) {
			first, err := workload.Make(name, 3)
			require.NoError(t, err)
			second, err := workload.Make(name, 3)
			require.NoError(t, err)
			require.Equal(t, first, second)
			var buf bytes.Buffer
			require.NoError(t, trace.Write(&buf, first))
			_, err = trace.Read(&buf)
			require.NoError(t, err)
			require.Len(t, first.Header.Endpoints, sizes[name])
			require.Len(t, first.Header.Nodes, 8)
			require.Len(t, first.Header.Accounts, 10)
			kinds := map[trace.Kind]int{}
			for _, e := range first.Events {
				kinds[e.Kind]++
			}
			for _, kind := range []trace.Kind{trace.Ask, trace.Join, trace.Leave, trace.Kill, trace.Accept} {
				require.Positive(t, kinds[kind], kind)
			}
		})
	}
	_, err := workload.Make("nowhere", 1)
	require.ErrorIs(t, err, workload.ErrUnknown)
}
