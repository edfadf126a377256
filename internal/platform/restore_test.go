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

// listSink keeps the newest instance list that was offered.
type listSink struct {
	mu     sync.Mutex
	newest kernel.Instances
}

// Offer implements platform.Sink.
func (l *listSink) Offer(ev kernel.Event) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if list, ok := ev.(kernel.Instances); ok && list.Version > l.newest.Version {
		l.newest = list
	}
}

func (l *listSink) names() (names []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, i := range l.newest.List {
		names = append(names, i.Name)
	}
	return names
}

// Guards against a list that is never applied because a platform restored from a
// backup reuses a version number.
func TestReaderTakesListAfterPlatformRestore(t *testing.T) {
	const lost = 3
	for rewritten := 1; rewritten <= lost+1; rewritten++ {
		t.Run(fmt.Sprintf("%d lost, %d written since", lost, rewritten), func(t *testing.T) {
			p := standin.NewPlatform()
			set := func(name string) {
				p.Set(platform.KeyInstances, fmt.Appendf(nil, `[{"name":%q,"kind":"node","zone":"a","addr":"127.0.0.1:1","peer":"127.0.0.1:2"}]`, name))
			}
			served := httptest.NewServer(p)
			defer served.Close()
			client := platform.NewClient(platform.ClientConfig{Addr: netip.MustParseAddrPort(served.Listener.Addr().String()), Wait: 100 * time.Millisecond})
			defer client.Close()
			sink := &listSink{}
			r := platform.NewReader(platform.ReaderConfig{Source: client, Sink: sink, Log: discardLog(), Cache: newCache()})
			defer r.Close()
			requireList := func(name string) {
				require.Eventually(t, func() bool {
					names := sink.names()
					return len(names) == 1 && names[0] == name
				}, 30*time.Second, time.Millisecond, name)
			}
			set("copied")
			requireList("copied")
			copied := time.Now()
			for n := range lost {
				set(fmt.Sprint("lost", n))
			}
			requireList(fmt.Sprint("lost", lost-1))
			p.Restore(copied)
			for n := range rewritten {
				set(fmt.Sprint("again", n))
			}
			requireList(fmt.Sprint("again", rewritten-1))
		})
	}
}
