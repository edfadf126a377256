package crash

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"bulrushhinge.example/bulrushhinge/internal/deployment"
	"bulrushhinge.example/bulrushhinge/internal/http1"
)

const (
	// witnesses is how many nodes ask an endpoint of which an end is reported that is
	// not proven, on average.
	witnesses = 4
	// witnessDelay is how long they wait for that at most: others may find out sooner.
	witnessDelay = 100 * time.Millisecond
	// maxWaiting bounds the endpoints to ask. A node that is not cut off gets answers
	// from most of them anyway.
	maxWaiting = 64
)

// witness asks endpoints of which other nodes report ends that are not proven.
type witness struct {
	cancel  context.CancelFunc
	waiting chan *deployment.Endpoint
	running sync.WaitGroup
}

// startWitness starts to ask endpoints until the Tracker is closed.
func (t *Tracker) startWitness() {
	ctx, cancel := context.WithCancel(context.Background())
	t.witness.cancel, t.witness.waiting = cancel, make(chan *deployment.Endpoint, maxWaiting)
	t.witness.running.Go(func() {
		for {
			select {
			case e := <-t.witness.waiting:
				t.askWitness(ctx, e)
			case <-ctx.Done():
				return
			}
		}
	})
}

// Close ends the questions to endpoints.
func (t *Tracker) Close() {
	if t.witness.cancel != nil {
		t.witness.cancel()
		t.witness.running.Wait()
	}
}

// ask has an endpoint asked at some of the nodes.
func (t *Tracker) ask(key uint32) {
	if t.config.Nodes == nil || rand.Float64()*float64(t.config.Nodes()) >= witnesses {
		return
	}
	for _, service := range t.config.Deployment.Snapshot().Endpoints {
		for _, e := range service {
			if e.Start().Key() != key || e.Replaced {
				continue
			}
			select {
			case t.witness.waiting <- e:
			default:
			}
			return
		}
	}
}

// askWitness asks an endpoint for a connection, unless a node was connected to it by
// then.
func (t *Tracker) askWitness(ctx context.Context, e *deployment.Endpoint) {
	select {
	case <-time.After(rand.N(witnessDelay)):
	case <-ctx.Done():
		return
	}
	ctx, cancel := context.WithTimeout(ctx, checkTimeout)
	defer cancel()
	asked := time.Now()
	switch t.config.Prober.Probe(ctx, e.Addr) {
	case http1.Accepted:
		t.Reached(e, asked)
	case http1.Refused:
		t.Refused(e)
	}
}
