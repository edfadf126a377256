package loopback_test

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bulrushhinge.example/bulrushhinge/internal/caller"
	"bulrushhinge.example/bulrushhinge/internal/loopback"
	"bulrushhinge.example/bulrushhinge/internal/standin"
	"bulrushhinge.example/bulrushhinge/pkg/entry"
)

// Guards against this failure: a fleet that is asked for ten times what its engines can do
// answers ever fewer requests, says of some that they were not run although they were, or still
// refuses when the surge is over.
func TestOverloadRefusesWhatWasNotRun(t *testing.T) {
	t.Parallel()
	const (
		batch   = 2
		callers = 240
		span    = 4 * time.Second
	)
	c := loopback.Thies()
	var active atomic.Int64
	c.Limits = caller.Config{Timeout: 300 * time.Millisecond, MaxTimeout: 300 * time.Millisecond, Active: &active}
	for i := range c.Endpoints {
		c.Endpoints[i].Engine = standin.EndpointConfig{MaxBatch: batch}
	}
	f := start(t, c)
	l := &load{fleet: f, nodes: c.Nodes, stop: make(chan struct{}), fates: map[string]fate{}}
	var kinds sync.Map
	for i := range callers {
		l.done.Go(func() { l.press(i, &kinds) })
	}
	time.Sleep(span)
	// A busy machine takes longer to answer any of them within their deadline.
	require.Eventually(t, l.both, patience, 100*time.Millisecond, "some requests are answered and some refused")
	fates := l.end()
	ran := timesRun(f, c)
	whole, notRun := 0, 0
	for mark, what := range fates {
		r, refused := what.notRun()
		switch {
		case what.err == nil:
			whole++
			require.Positive(t, ran[mark], mark)
		case refused:
			notRun++
			require.Zero(t, ran[mark], "%s was said not to have run: %v", mark, r)
			require.Positive(t, r.RetryAfterMS, "a refused caller is told when to come back")
		}
	}
	t.Logf("%d requests: %d whole, %d refused as not run, %d else", len(fates), whole, notRun, len(fates)-whole-notRun)
	kinds.Range(func(kind, count any) bool {
		n, _ := count.(*atomic.Int64)
		t.Logf("%v: %d", kind, n.Load())
		return true
	})
	require.Positive(t, whole)
	require.Positive(t, notRun)
	client := entry.New(entry.Config{Addrs: l.addrs(), Key: loopback.Secret("a1")})
	defer client.Close()
	require.NoError(t, l.repeat(client, "request 0.last;", false))
}

// notRun returns the refusal that says that a request was not run.
func (f fate) notRun() (*entry.Refusal, bool) {
	var r *entry.Refusal
	refused := errors.As(f.err, &r)
	return r, refused && r.Ran == entry.RanNot
}

// both reports whether a request was answered, and one was refused as not run.
func (l *load) both() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	whole, notRun := false, false
	for _, f := range l.fates {
		_, refused := f.notRun()
		whole, notRun = whole || f.err == nil, notRun || refused
	}
	return whole && notRun
}

// press sends requests without a second try.
func (l *load) press(number int, kinds *sync.Map) {
	client := entry.New(entry.Config{Addrs: l.addrs(), Key: loopback.Secret(fmt.Sprintf("a%d", number%10+1))})
	defer client.Close()
	for i := 0; ; i++ {
		select {
		case <-l.stop:
			return
		default:
		}
		mark := fmt.Sprintf("request %d.%d;", number, i)
		err := l.send(client, mark, &entry.Options{MaxTokens: loadTokens})
		l.mu.Lock()
		l.fates[mark] = fate{err: err}
		l.mu.Unlock()
		count, _ := kinds.LoadOrStore(kindOf(err), &atomic.Int64{})
		n, _ := count.(*atomic.Int64)
		n.Add(1)
	}
}

func kindOf(err error) string {
	var r *entry.Refusal
	switch {
	case err == nil:
		return "whole"
	case errors.As(err, &r):
		return fmt.Sprintf("%s (%s)", r.Type, r.Ran)
	case errors.Is(err, context.DeadlineExceeded):
		return "timeout"
	default:
		return err.Error()
	}
}
