package budget_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"bulrushhinge.example/bulrushhinge/internal/budget"
)

// Guards against retries that double the requests of a service in trouble.
func TestBudgetHoldsInEveryWindow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const window, ratio, slack = 10 * time.Second, 0.2, 56
		nodes := rapid.IntRange(1, 8).Draw(t, "nodes")
		var budgets []*budget.Budget
		for range nodes {
			budgets = append(budgets, budget.New(budget.Config{Ratio: ratio, Window: window, Slack: slack, Nodes: func() int { return nodes }}))
		}
		now := time.Now()
		var requests, repeats []time.Time
		for range rapid.IntRange(1, 400).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 200).Draw(t, "ms")) * time.Millisecond)
			b := budgets[rapid.IntRange(0, nodes-1).Draw(t, "node")]
			if rapid.Bool().Draw(t, "repeat") {
				if b.Retry(now, "s") {
					repeats = append(repeats, now)
				}
				continue
			}
			b.Request(now, "s")
			requests = append(requests, now)
		}
		for _, end := range repeats {
			if n := countWithin(repeats, end, window); float64(n) > ratio*float64(countWithin(requests, end, window+window/10))+slack {
				t.Fatalf("%d repeats", n)
			}
		}
	})
}

func countWithin(list []time.Time, end time.Time, window time.Duration) int {
	n := 0
	for _, at := range list {
		if !at.After(end) && end.Sub(at) < window {
			n++
		}
	}
	return n
}

func TestBudgetRecoversAfterWindow(t *testing.T) {
	b := budget.New(budget.Config{Ratio: 0.2, Window: time.Second, Slack: 10, Nodes: func() int { return 1 }})
	now := time.Now()
	taken := 0
	for b.Retry(now, "s") {
		taken++
	}
	require.Equal(t, 8, taken)
	require.False(t, b.Retry(now.Add(900*time.Millisecond), "s"))
	require.True(t, b.Retry(now.Add(1300*time.Millisecond), "s"))
}
