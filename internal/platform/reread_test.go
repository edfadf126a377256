package platform_test

import (
	"testing"
	"testing/synctest"
	"time"

	"bulrushhinge.example/bulrushhinge/internal/platform"
)

func TestReaderReadsAtOnceWhenAskedTo(t *testing.T) {
	// Guards against this failure: a process that wakes from a pause acts on an old configuration.
	synctest.Test(t, func(t *testing.T) {
		asked := make(chan struct{}, 1)
		f, s := newFakePlatform(), &fakeSink{}
		r := platform.NewReader(platform.ReaderConfig{
			Source: f, Sink: s, Log: quiet(), Cache: newCache(), Reread: asked, Poll: time.Hour,
		})
		defer r.Close()
		f.accept(t, sample(1, 3))
		time.Sleep(inForce)
		f.mu.Lock()
		f.blind = true
		f.mu.Unlock()
		time.Sleep(time.Minute)
		f.accept(t, sample(2, 3))
		time.Sleep(10 * time.Second)
		requireRevisions(t, s, 1)
		asked <- struct{}{}
		time.Sleep(time.Second)
		requireRevisions(t, s, 1, 2)
	})
}
