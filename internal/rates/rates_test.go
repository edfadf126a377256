package rates_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bulrushhinge.example/bulrushhinge/internal/rates"
)

func TestSum(t *testing.T) {
	const stale = 10 * time.Second
	now := time.Unix(1000, 0)
	cases := []struct {
		name string
		fill func(b rates.Table)
		want map[string]float64
	}{
		{name: "nothing", fill: func(rates.Table) {}, want: map[string]float64{"own": 1}},
		{
			name: "of several nodes",
			fill: func(b rates.Table) {
				b.Set(now, "n1", "own", 2)
				b.Set(now, "n2", "own", 3)
				b.Set(now, "n2", "other", 4)
			},
			want: map[string]float64{"own": 6, "other": 4},
		},
		{
			name: "the newest of each",
			fill: func(b rates.Table) {
				b.Set(now, "n1", "own", 2)
				b.Set(now, "n1", "own", 5)
			},
			want: map[string]float64{"own": 6},
		},
		{name: "removed", fill: func(b rates.Table) { b.Set(now, "n1", "own", 2); b.Set(now, "n1", "own", 0) }, want: map[string]float64{"own": 1}},
		{name: "stale", fill: func(b rates.Table) { b.Set(now.Add(-stale), "n1", "own", 2) }, want: map[string]float64{"own": 1}},
		{name: "restarted node", fill: func(b rates.Table) { b.Set(now, "n1", "own", 2); b.Reset("n1") }, want: map[string]float64{"own": 1}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			b := rates.Table{}
			c.fill(b)
			sums := map[string]float64{"own": 1}
			b.Sum(now, sums, stale)
			require.Equal(t, c.want, sums)
			for _, samples := range b {
				require.NotEmpty(t, samples)
			}
		})
	}
}
