package loopback_test

import (
	"io"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bulrushhinge.example/bulrushhinge/internal/kernel"
	"bulrushhinge.example/bulrushhinge/internal/platform"
	"bulrushhinge.example/bulrushhinge/pkg/entry"
)

// Guards against this failure: a renewal letter goes out twice, or its caller never gets it.
func TestProcessPausedInADispatchRunsOnce(t *testing.T) {
	c := stopConfig()
	f := start(t, c)
	node := startProcess(t, f, "n9")
	require.NoError(t, f.List(platform.Instance{
		Name: "n9", Kind: kernel.KindNode, Zone: "thies-a", Addr: node.Callers, Peer: node.Peers,
	}))
	awaitEntry(t, f.Caller("n2"), node.Callers, true)
	awaitAnswer(t, node.Callers)
	body := strings.Replace(notice(1), `"max_tokens":8`, `"max_tokens":200`, 1)
	first := exchange{addr: node.Callers, path: chatPath, body: body}.must(t, f)
	require.Equal(t, http.StatusPreconditionRequired, first.status, first.text)
	ticket := first.header.Get(entry.HeaderTicket)

	resp, err := exchange{addr: node.Callers, path: chatPath, body: body, ticket: ticket}.request(t.Context(), f)
	require.NoError(t, err)
	_, err = io.ReadFull(resp.Body, make([]byte, 64))
	require.NoError(t, err)
	node.pause(t)
	resp.Body.Close()
	for _, name := range []string{"n1", "n2", "n3"} {
		x := exchange{node: name, path: chatPath, body: body, ticket: ticket, timeout: "300ms"}.must(t, f)
		require.Equal(t, string(entry.RanUnknown), x.header.Get(entry.HeaderRan), x.text)
	}
	time.Sleep(kernel.MaxViewAge)
	require.NoError(t, node.command.Process.Signal(syscall.SIGCONT))
	// A node that took the paused one for dead says unknown until it hears from
	// it; the caller comes back.
	again := exchange{node: "n2", path: chatPath, body: body, ticket: ticket}.must(t, f)
	for again.header.Get(entry.HeaderRan) == string(entry.RanUnknown) && t.Context().Err() == nil {
		time.Sleep(10 * time.Millisecond)
		again = exchange{node: "n2", path: chatPath, body: body, ticket: ticket}.must(t, f)
	}
	require.Equal(t, http.StatusOK, again.status, again.text)
	require.True(t, strings.HasSuffix(again.text, "data: [DONE]\n\n"), again.text)
	require.Equal(t, 1, runs(f, c, body))
}
