package entry_test

import (
	"context"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bulrushhinge.example/bulrushhinge/internal/loopback"
	"bulrushhinge.example/bulrushhinge/pkg/entry"
)

// Guards against a chat that cannot continue after its node has died.
func TestChatContinuesAfterNodesAreKilled(t *testing.T) {
	f := startFleet()
	defer func() { require.NoError(t, f.Close()) }()
	require.NoError(t, f.StartNode(loopback.NodeConfig{Name: "n3", Zone: "thies-c"}))
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	require.NoError(t, f.Ready(ctx))
	names := map[netip.AddrPort]string{}
	var addrs []netip.AddrPort
	for _, name := range []string{"n1", "n2", "n3"} {
		names[f.Caller(name)] = name
		addrs = append(addrs, f.Caller(name))
	}
	client := entry.New(entry.Config{Addrs: addrs, Key: loopback.Secret("a1")})
	defer client.Close()
	chat := client.Chat("depositor-7", "notices")
	o := entry.Options{MaxTokens: 50}
	s, err := chat.Ask(ctx, "first", o)
	require.NoError(t, err)
	_, err = s.Next()
	require.NoError(t, err)
	require.NoError(t, f.KillNode(names[s.Node()]))
	_, err = s.ReadAll()
	require.ErrorIs(t, err, entry.ErrCut)
	_, ok := client.Again(ctx, err, &o)
	require.True(t, ok)
	require.NoError(t, s.Close())
	for _, text := range []string{"first", "second"} {
		s = askUntilComplete(ctx, t, client, chat, text, o)
		if text == "first" {
			require.NoError(t, f.KillNode(names[s.Node()]))
		}
	}
	require.Len(t, chat.Messages(), 4)
	require.NotEmpty(t, chat.Hint())
}

// askUntilComplete retries until the answer is complete. Owners of endpoints
// may have died with their node, so that the fleet asks for retries for a
// while.
func askUntilComplete(ctx context.Context, t *testing.T, client *entry.Client, chat *entry.Chat, text string, o entry.Options) *entry.Stream {
	t.Helper()
	for {
		s, err := chat.Ask(ctx, text, o)
		if err == nil {
			_, err = s.ReadAll()
			require.NoError(t, s.Close())
		}
		if err == nil {
			return s
		}
		after, ok := client.Again(ctx, err, &o)
		require.True(t, ok, err)
		time.Sleep(after)
	}
}
