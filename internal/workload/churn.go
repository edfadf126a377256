package workload

import (
	"slices"
	"time"

	"bulrushhinge.example/bulrushhinge/pkg/trace"
)

const (
	leaves  = 2
	joins   = 2
	flaps   = 2
	flapGap = 2 * time.Second
	replace = 20 * time.Second
	churnAt = 20 * time.Second
)

// churn changes the fleet: endpoints join, leave and flap, one endpoint and one
// node die and are replaced, one node stops as planned, and one revision is
// accepted.
func (m *maker) churn() {
	model := m.shape.models[0]
	present := m.shape.endpoints[model.Name]
	picks := m.random.Perm(present)
	for i := range leaves {
		m.add(m.when(), trace.Event{Kind: trace.Leave, Endpoint: endpointName(model, picks[i]+1)})
	}
	for i := range joins {
		m.join(m.when(), model, present+i)
	}
	for i := range flaps {
		m.flap(model, picks[leaves+i])
	}
	at := m.when()
	dead := picks[leaves+flaps]
	m.add(at, trace.Event{Kind: trace.Kill, Instance: endpointName(model, dead+1)})
	m.join(at+replace, model, present+joins)
	m.nodes()
	m.add(m.when(), trace.Event{Kind: trace.Accept, Revision: 2})
}

func (m *maker) flap(model trace.Model, i int) {
	at := m.when()
	for range flaps {
		m.add(at, trace.Event{Kind: trace.Kill, Instance: endpointName(model, i+1)})
		m.join(at+flapGap, model, i)
		at += 3 * flapGap
	}
}

func (m *maker) nodes() {
	picks := m.random.Perm(nodes)
	dead := m.trace.Header.Nodes[picks[0]]
	at := m.when()
	m.add(at, trace.Event{Kind: trace.Kill, Instance: dead.Instance})
	m.add(at+replace, trace.Event{Kind: trace.Join, Instance: "n9", Zone: dead.Zone})
	left := m.trace.Header.Nodes[picks[1]]
	at = m.when()
	m.add(at, trace.Event{Kind: trace.Leave, Instance: left.Instance})
	m.add(at+replace, trace.Event{Kind: trace.Join, Instance: "n10", Zone: left.Zone})
}

func (m *maker) join(at time.Duration, model trace.Model, i int) {
	m.add(at, trace.Event{Kind: trace.Join, Endpoint: endpointName(model, i+1), Zone: m.zone(i), Model: model.Name})
}

// when draws a time at which the fleet changes.
func (m *maker) when() time.Duration {
	return churnAt + time.Duration(m.random.Int64N(int64(Day-2*churnAt-replace)))
}

func (m *maker) add(at time.Duration, e trace.Event) {
	e.At = trace.Duration(at)
	m.trace.Events = append(m.trace.Events, e)
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
