package deployment_test

import (
	"context"
	"errors"
	"net/netip"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"bulrushhinge.example/bulrushhinge/internal/deployment"
)

var errBad = errors.New("bad")

// coldFor is how long an endpoint of the tests is cold.
const coldFor = 3 * time.Second

// decoder decodes "e/ID" as endpoints, each in a zone of the same name, with their
// state or "at" and their address as the value, "z/ZONE" as evacuations, and all
// other keys as configurations whose version is the length of the value.
type decoder struct{}

func (decoder) Decode(i deployment.Item) (deployment.Change, error) {
	if id, ok := strings.CutPrefix(i.Key, "e/"); ok {
		if i.Removed {
			return deployment.Change{Removed: id}, nil
		}
		if string(i.Value) == "bad" {
			return deployment.Change{Removed: id}, errBad
		}
		e := &deployment.Endpoint{ID: id, Service: "s", Zone: id, Draining: string(i.Value) == "draining"}
		if at, ok := strings.CutPrefix(string(i.Value), "at "); ok {
			e.Addr = netip.MustParseAddrPort(at)
		}
		switch string(i.Value) {
		case "cold":
			e.Cold = coldFor
		case "born":
			e.Born = time.UnixMilli(1)
		}
		return deployment.Change{Endpoint: e}, nil
	}
	if zone, ok := strings.CutPrefix(i.Key, "z/"); ok {
		return deployment.Change{Evacuation: &deployment.Evacuation{Zone: zone, Ended: i.Removed}}, nil
	}
	services := map[string]deployment.Service{"s": {Name: "s", Cold: coldFor}}
	return deployment.Change{Config: &deployment.Config{Version: uint64(len(i.Value)), Services: services}}, nil
}

// at returns a position in the only epoch of a store that does not count epochs.
func at(revision uint64) deployment.Position { return deployment.Position{Revision: revision} }

func entry(id string, revision uint64, value string) deployment.Item {
	return deployment.Item{Key: "e/" + id, Value: []byte(value), Revision: revision}
}

func removal(id string, revision uint64) deployment.Item {
	return deployment.Item{Key: "e/" + id, Revision: revision, Removed: true}
}

func ids(s *deployment.State) []string {
	var list []string
	for _, e := range s.Snapshot().Endpoints["s"] {
		list = append(list, e.ID)
	}
	return list
}

func TestStateAfterUpdate(t *testing.T) {
	const drain = 2 * time.Second
	start := deployment.Update{Items: []deployment.Item{entry("a", 1, ""), entry("b", 2, "")}, Position: at(2), Whole: true, Source: deployment.SourceStore}
	cases := []struct {
		name   string
		update deployment.Update
		// wait is how long after the update the endpoints are checked.
		wait time.Duration
		want []string
	}{
		{
			name:   "a removal read from the store takes effect at once",
			update: deployment.Update{Items: []deployment.Item{removal("a", 3)}, Position: at(3), Source: deployment.SourceStore},
			want:   []string{"b"},
		},
		{
			// Guards against refusing every request just after a store outage.
			name:   "entries that are missing after an outage are kept for a while",
			update: deployment.Update{Position: at(3), Whole: true, AfterOutage: true, Source: deployment.SourceStore},
			want:   []string{"a", "b"},
		},
		{
			// Guards against requests to an endpoint 2065 ms after it has left.
			name:   "but not for longer than endpoints that leave may get requests",
			update: deployment.Update{Position: at(3), Whole: true, AfterOutage: true, Source: deployment.SourceStore},
			wait:   drain - 100*time.Millisecond,
		},
		{
			name:   "so are entries that a peer which saw the outage reports as removed",
			update: deployment.Update{Items: []deployment.Item{removal("a", 3)}, Position: at(3), Lapsing: time.Second, Source: "n1"},
			want:   []string{"a", "b"},
		},
		{
			// Guards against requests to an endpoint that left long ago.
			name:   "an entry that cannot be read names no endpoint, and the others hold",
			update: deployment.Update{Items: []deployment.Item{entry("a", 3, "bad"), entry("c", 4, "bad")}, Position: at(4), Source: deployment.SourceStore},
			want:   []string{"b"},
		},
		{
			name:   "nor is it held back after an outage",
			update: deployment.Update{Items: []deployment.Item{entry("a", 3, "bad")}, Position: at(3), Lapsing: time.Second, Source: "n1"},
			want:   []string{"b"},
		},
		{
			name:   "an older full read is ignored",
			update: deployment.Update{Position: at(1), Whole: true, Source: deployment.SourceStore},
			want:   []string{"a", "b"},
		},
		{
			name:   "an older item is ignored",
			update: deployment.Update{Items: []deployment.Item{removal("b", 2)}, Position: at(4), Source: deployment.SourceStore},
			want:   []string{"a", "b"},
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := deployment.NewState(deployment.StateConfig{Decoder: decoder{}, Drain: drain})
				defer s.Close()
				s.Apply(context.Background(), start)
				s.Apply(context.Background(), c.update)
				synctest.Wait()
				time.Sleep(c.wait)
				synctest.Wait()
				require.Equal(t, c.want, ids(s))
			})
		})
	}
}

// A configuration is never replaced by an older one, whatever its source.
func TestConfigurationIsNeverReplacedByOlder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := deployment.NewState(deployment.StateConfig{Decoder: decoder{}})
		defer s.Close()
		for _, u := range []deployment.Update{
			{Items: []deployment.Item{{Key: "config", Value: []byte("xxx"), Revision: 5}}, Position: at(5), Source: deployment.SourceStore},
			{Items: []deployment.Item{{Key: "config", Value: []byte("x"), Revision: 6}}, Position: at(6), Source: "n1"},
		} {
			s.Apply(context.Background(), u)
		}
		synctest.Wait()
		require.Equal(t, uint64(3), s.Snapshot().Config.Version)
	})
}

// Guards against requests to an endpoint 66 ms past the bound on its leaving: a
// removal is held back, and takes time to propagate as well.
func TestHeldRemovalLeavesTimeForPropagation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const drain, delay = 2 * time.Second, 400 * time.Millisecond
		s := deployment.NewState(deployment.StateConfig{Decoder: decoder{}, Drain: drain})
		defer s.Close()
		s.Apply(t.Context(), deployment.Update{Items: []deployment.Item{entry("a", 1, "")}, Position: at(1), Whole: true, AfterOutage: true, Source: deployment.SourceStore})
		time.Sleep(delay)
		s.Apply(t.Context(), deployment.Update{Items: []deployment.Item{removal("a", 2)}, Position: at(2), Source: "peer"})
		time.Sleep(drain - delay)
		require.Empty(t, ids(s))
	})
}

// Guards against nodes that keep sending requests to an endpoint whose entry was
// overwritten with an invalid one, as they learn of it from peers only.
func TestInvalidEntryPropagatesToPeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		reader := deployment.NewState(deployment.StateConfig{Decoder: decoder{}})
		defer reader.Close()
		peer := deployment.NewState(deployment.StateConfig{Decoder: decoder{}})
		defer peer.Close()
		apply := func(s *deployment.State, source string, items ...deployment.Item) {
			s.Apply(t.Context(), deployment.Update{Items: items, Position: at(items[len(items)-1].Revision), Source: source})
			synctest.Wait()
		}
		apply(reader, deployment.SourceStore, entry("a", 1, ""), entry("b", 2, ""))
		apply(peer, "reader", reader.Items()...)
		require.Equal(t, []string{"a", "b"}, ids(peer))
		apply(reader, deployment.SourceStore, entry("a", 3, "bad"))
		apply(peer, "reader", reader.Items()...)
		require.Equal(t, []string{"b"}, ids(peer))
		apply(peer, "late", entry("a", 1, ""))
		require.Equal(t, []string{"b"}, ids(peer))
		apply(reader, deployment.SourceStore, entry("a", 5, ""))
		apply(peer, "reader", reader.Items()...)
		require.Equal(t, []string{"a", "b"}, ids(peer))
	})
}

// Guards against requests to an endpoint that left before the node's start: a
// peer's older answer arrives after the full read.
func TestOlderPeerUpdateDoesNotRestoreRemovedEntry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := deployment.NewState(deployment.StateConfig{Decoder: decoder{}, Drain: 2 * time.Second})
		defer s.Close()
		s.Apply(t.Context(), deployment.Update{Items: []deployment.Item{entry("b", 2, "")}, Position: at(4), Whole: true, Source: deployment.SourceStore})
		s.Apply(t.Context(), deployment.Update{Items: []deployment.Item{entry("a", 1, ""), entry("b", 2, "")}, Position: at(2), Source: "peer"})
		synctest.Wait()
		require.Equal(t, []string{"b"}, ids(s))
	})
}

// Guards against requests to endpoints two seconds after the removal of their
// entries, minutes after a store outage: every node would start the time for
// holding removals back anew.
func TestOutageWindowIsNotRestartedByEachNode(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		entries := []deployment.Item{entry("a", 1, ""), entry("b", 2, "")}
		from := deployment.NewState(deployment.StateConfig{Decoder: decoder{}, Drain: 2 * time.Second})
		defer from.Close()
		from.Apply(t.Context(), deployment.Update{Items: entries, Position: at(2), Whole: true, AfterOutage: true, Source: deployment.SourceStore})
		synctest.Wait()
		for range 3 {
			time.Sleep(time.Second)
			to := deployment.NewState(deployment.StateConfig{Decoder: decoder{}, Drain: 2 * time.Second})
			defer to.Close()
			to.Apply(t.Context(), deployment.Update{Items: entries, Position: at(2), Lapsing: from.Lapsing(), Source: "peer"})
			synctest.Wait()
			from = to
		}
		from.Apply(t.Context(), deployment.Update{Items: []deployment.Item{removal("a", 3)}, Position: at(3), Source: "peer"})
		synctest.Wait()
		require.Equal(t, []string{"b"}, ids(from))
	})
}
