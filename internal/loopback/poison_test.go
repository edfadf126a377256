package loopback_test

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bulrushhinge.example/bulrushhinge/internal/kernel"
	"bulrushhinge.example/bulrushhinge/internal/loopback"
	"bulrushhinge.example/bulrushhinge/internal/standin"
	"bulrushhinge.example/bulrushhinge/pkg/entry"
)

const poisonText = "poison"

// poisoned starts eight nodes whose engines all crash on the marked request.
func poisoned(t *testing.T) (*loopback.Fleet, loopback.Config, engines) {
	t.Helper()
	c := loopback.Thies()
	f := start(t, c)
	l := enginesOf(f, c)
	for _, e := range l {
		e.SetFaults(standin.EndpointFaults{Crash: poisonText, CrashAt: 2})
	}
	return f, c, l
}

func lost(f *loopback.Fleet, c loopback.Config) int {
	return len(c.Endpoints) - len(enginesOf(f, c))
}

func longBody(text string) string {
	return fmt.Sprintf(`{"model":"notices","max_tokens":100,"messages":[{"role":"user","content":%q}]}`, text)
}

// heard waits until every node knows of an isolated request. A copy that reaches
// a node before may cost one endpoint more, which is not what this file's first
// test counts.
func heard(t *testing.T, f *loopback.Fleet, c loopback.Config) {
	t.Helper()
	for _, n := range c.Nodes {
		require.Eventually(t, func() bool {
			for _, s := range f.Node(n.Name).View().Suspects {
				if s.Isolated() {
					return true
				}
			}
			return false
		}, time.Minute, 10*time.Millisecond, n.Name)
	}
}

// Guards against this failure: one engine after another dies until none is left.
func TestPoisonIsIsolatedAfterThreeEndpoints(t *testing.T) {
	t.Parallel()
	f, c, _ := poisoned(t)
	var wait sync.WaitGroup
	for i := range 48 {
		wait.Go(func() {
			node := c.Nodes[i%len(c.Nodes)].Name
			x, err := exchange{node: node, path: chatPath, body: longBody(fmt.Sprint("innocent ", i)), repeatable: true}.do(f)
			if err != nil || x.status != http.StatusOK {
				t.Error("a request that shared an endpoint got no answer: ", err, x.text)
			}
		})
	}
	began := time.Now()
	for _, n := range c.Nodes {
		x := exchange{node: n.Name, path: chatPath, body: longBody(poisonText), repeatable: true}.must(t, f)
		require.Equal(t, http.StatusUnprocessableEntity, x.status, x.text)
		require.Contains(t, x.text, `"type":"isolated"`)
		heard(t, f, c)
	}
	wait.Wait()
	t.Logf("endpoints lost: %d, after %v", lost(f, c), time.Since(began))
	require.LessOrEqual(t, lost(f, c), kernel.IsolateAfter)
}

// Guards against this failure: the same, faster than nodes hear of each other.
func TestPoisonAtEveryNodeAtOnce(t *testing.T) {
	t.Parallel()
	f, c, l := poisoned(t)
	var wait sync.WaitGroup
	for _, n := range c.Nodes {
		wait.Go(func() {
			x, err := exchange{node: n.Name, path: chatPath, body: longBody(poisonText), repeatable: true}.do(f)
			if err != nil || x.status == http.StatusOK {
				t.Error(err, x.text)
			}
		})
	}
	wait.Wait()
	t.Logf("endpoints lost: %d, runs: %d", lost(f, c), l.runs(longBody(poisonText)))
	require.LessOrEqual(t, lost(f, c), kernel.IsolateAfter+len(c.Nodes)-1)
	x := exchange{node: "n1", path: chatPath, body: longBody("after"), repeatable: true}.must(t, f)
	require.Equal(t, http.StatusOK, x.status, x.text)
	x = exchange{node: "n1", path: chatPath, body: longBody(poisonText), repeatable: true}.must(t, f)
	require.Equal(t, http.StatusUnprocessableEntity, x.status, x.text)
	require.Equal(t, string(entry.RanNot), x.header.Get(entry.HeaderRan))
}
