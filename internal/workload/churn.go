package workload

import (
	"slices"
	"time"

	"bulrushhinge.example/bulrushhinge/pkg/trace"
)

const (
	leaves       = 2
	joins        = 2
	flaps        = 2
	flapGap      = 2 * time.Second
	replaceDelay = 20 * time.Second
	churnMargin  = 20 * time.Second
)

// churn changes the fleet: endpoints join, leave and flap, one endpoint and one node
// die and are replaced, one node makes a planned stop, and one revision is accepted.
func (g *generator) churn() {
	model := g.shape.models[0]
	present := g.shape.endpoints[model.Name]
	picks := g.random.Perm(present)
	for i := range leaves {
		g.add(g.eventTime(), trace.Event{Kind: trace.Leave, Endpoint: endpointName(model, picks[i]+1)})
	}
	for i := range joins {
		g.join(g.eventTime(), model, present+i)
	}
	for i := range flaps {
		g.flap(model, picks[leaves+i])
	}
	at := g.eventTime()
	dead := picks[leaves+flaps]
	g.add(at, trace.Event{Kind: trace.Kill, Instance: endpointName(model, dead+1)})
	g.join(at+replaceDelay, model, present+joins)
	g.churnNodes()
	g.add(g.eventTime(), trace.Event{Kind: trace.Accept, Revision: 2})
}

func (g *generator) flap(model trace.Model, i int) {
	at := g.eventTime()
	for range flaps {
		g.add(at, trace.Event{Kind: trace.Kill, Instance: endpointName(model, i+1)})
		g.join(at+flapGap, model, i)
		at += 3 * flapGap
	}
}

func (g *generator) churnNodes() {
	picks := g.random.Perm(nodes)
	dead := g.trace.Header.Nodes[picks[0]]
	at := g.eventTime()
	g.add(at, trace.Event{Kind: trace.Kill, Instance: dead.Instance})
	g.add(at+replaceDelay, trace.Event{Kind: trace.Join, Instance: "n9", Zone: dead.Zone})
	left := g.trace.Header.Nodes[picks[1]]
	at = g.eventTime()
	g.add(at, trace.Event{Kind: trace.Leave, Instance: left.Instance})
	g.add(at+replaceDelay, trace.Event{Kind: trace.Join, Instance: "n10", Zone: left.Zone})
}

func (g *generator) join(at time.Duration, model trace.Model, i int) {
	g.add(at, trace.Event{Kind: trace.Join, Endpoint: endpointName(model, i+1), Zone: g.zone(i), Model: model.Name})
}

// eventTime draws the time of a change of the fleet.
func (g *generator) eventTime() time.Duration {
	return churnMargin + time.Duration(g.random.Int64N(int64(Day-2*churnMargin-replaceDelay)))
}

func (g *generator) add(at time.Duration, e trace.Event) {
	e.At = trace.Duration(at)
	g.trace.Events = append(g.trace.Events, e)
}

// Names returns the names of all workloads, sorted.
func Names() []string {
	names := make([]string, 0, len(shapes))
	for name := range shapes {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}
