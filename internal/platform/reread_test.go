package platform_test

import (
	"testing"
	"testing/synctest"
	"time"

	"bulrushhinge.example/bulrushhinge/internal/platform"
)

func TestWatcherRereadsOnRequest(t *testing.T) {
	// Guards against a process that resumes from a pause and uses an old
	// configuration while it waits on a dead watch.
	synctest.Test(t, func(t *testing.T) {
		reread := make(chan struct{}, 1)
		f, s := newFakePlatform(), &fakeSink{}
		r := platform.NewReader(platform.ReaderConfig{
			Source: f, Sink: s, Log: discardLog(), Cache: newCache(), Reread: reread, Poll: time.Hour,
		})
		defer r.Close()
		f.accept(t, sample(1, 3))
		time.Sleep(applyTimeout)
		f.mu.Lock()
		f.watchStuck = true
		f.mu.Unlock()
		time.Sleep(time.Minute)
		f.accept(t, sample(2, 3))
		time.Sleep(10 * time.Second)
		requireRevisions(t, s, 1)
		reread <- struct{}{}
		time.Sleep(time.Second)
		requireRevisions(t, s, 1, 2)
	})
}
