package platform_test

import (
	"fmt"
	"net/http/httptest"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bulrushhinge.example/bulrushhinge/internal/kernel"
	"bulrushhinge.example/bulrushhinge/internal/platform"
	"bulrushhinge.example/bulrushhinge/internal/standin"
)

// lists keeps the newest instance list that was offered.
type lists struct {
	mu     sync.Mutex
	newest kernel.Instances
}

// Offer implements platform.Sink.
func (l *lists) Offer(ev kernel.Event) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if list, ok := ev.(kernel.Instances); ok && list.Version > l.newest.Version {
		l.newest = list
	}
}

func (l *lists) names() (names []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, i := range l.newest.List {
		names = append(names, i.Name)
	}
	return names
}

// Guards against a list that is never taken since the restored platform gave its
// version out before.
func TestListOfARestoredPlatformIsTaken(t *testing.T) {
	const lost = 3
	for again := 1; again <= lost+1; again++ {
		t.Run(fmt.Sprintf("%d lost, %d written since", lost, again), func(t *testing.T) {
			p := standin.NewPlatform()
			set := func(name string) {
				p.Set(platform.KeyInstances, fmt.Appendf(nil, `[{"name":%q,"kind":"node","zone":"a","addr":"127.0.0.1:1","peer":"127.0.0.1:2"}]`, name))
			}
			served := httptest.NewServer(p)
			defer served.Close()
			client := platform.NewClient(platform.ClientConfig{Addr: netip.MustParseAddrPort(served.Listener.Addr().String()), Wait: 100 * time.Millisecond})
			defer client.Close()
			sink := &lists{}
			r := platform.NewReader(platform.ReaderConfig{Source: client, Sink: sink, Log: quiet(), Cache: newCache()})
			defer r.Close()
			has := func(name string) {
				require.Eventually(t, func() bool {
					names := sink.names()
					return len(names) == 1 && names[0] == name
				}, 30*time.Second, time.Millisecond, name)
			}
			set("copied")
			has("copied")
			copied := time.Now()
			for n := range lost {
				set(fmt.Sprint("lost", n))
			}
			has(fmt.Sprint("lost", lost-1))
			p.Restore(copied)
			for n := range again {
				set(fmt.Sprint("again", n))
			}
			has(fmt.Sprint("again", again-1))
		})
	}
}
