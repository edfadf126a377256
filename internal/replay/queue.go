package replay

import (
	"container/heap"
	"time"
)

type (
	// queue is the event queue and clock of the simulation. Events of the same
	// time run in the order in which they were added.
	queue struct {
		now    time.Duration
		serial uint64
		events eventHeap
	}

	event struct {
		at     time.Duration
		serial uint64
		run    func()
	}

	eventHeap []event
)

// at schedules an event at a time; a time in the past counts as now.
func (q *queue) at(at time.Duration, run func()) {
	q.serial++
	heap.Push(&q.events, event{at: max(at, q.now), serial: q.serial, run: run})
}

// after schedules an event after a delay.
func (q *queue) after(d time.Duration, run func()) { q.at(q.now+d, run) }

// run runs all events up to and including a time.
func (q *queue) run(until time.Duration) {
	for len(q.events) > 0 && q.events[0].at <= until {
		e, _ := heap.Pop(&q.events).(event)
		q.now = e.at
		e.run()
	}
	q.now = until
}

func (h eventHeap) Len() int { return len(h) }

func (h eventHeap) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].serial < h[j].serial
}

func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push adds an event at the end.
func (h *eventHeap) Push(x any) {
	e, _ := x.(event)
	*h = append(*h, e)
}

// Pop removes the event at the end.
func (h *eventHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	old[len(old)-1] = event{}
	*h = old[:len(old)-1]
	return e
}
