package loopback_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"bulrushhinge.example/bulrushhinge/internal/loopback"
)

// Guards against this failure: during a partition between nodes callers get no answers,
// although the node they reach still reaches endpoints.
func TestPartitionBetweenNodesLosesNothing(t *testing.T) {
	f := start(t, loopback.Thies())
	one := []string{"n1", "n2", "n3", "n4"}
	other := []string{"n5", "n6", "n7", "n8"}
	f.Network.Cut(one, other)
	askAll(t, f, "cut", one, other)
	f.Network.Heal(one, other)
	askAll(t, f, "healed", one, other)
}

func askAll(t *testing.T, f *loopback.Fleet, chat string, sides ...[]string) {
	t.Helper()
	for _, nodes := range sides {
		for _, node := range nodes {
			body := fmt.Sprintf(`{"model":"notices","stream":true,"messages":[{"role":"user","content":"%s %s"}]}`, chat, node)
			resp, text := post(t, f.Caller(node), "/v1/chat/completions", "a1", body)
			require.Equal(t, http.StatusOK, resp.StatusCode, text)
			require.True(t, strings.HasSuffix(text, "data: [DONE]\n\n"), text)
		}
	}
}
