package standin

import (
	"container/heap"

	"bulrushhinge.example/bulrushhinge/internal/endpoint"
)

type (
	// batch holds the requests that an engine runs at once and a queue of
	// those that wait, highest priority first. It is not safe for concurrent
	// use.
	batch struct {
		size    int
		running int
		waiting waitHeap
		tokens  int
		serial  uint64
	}

	// slot is a request in the batch or in its queue.
	slot struct {
		priority int
		serial   uint64
		tokens   int
		index    int
		// ready is closed once the request may run.
		ready chan struct{}
	}

	waitHeap []*slot
)

// add adds a request; it runs at once if the batch has room.
func (b *batch) add(priority, tokens int) *slot {
	b.serial++
	b.tokens += tokens
	p := &slot{priority: priority, serial: b.serial, tokens: tokens, index: -1, ready: make(chan struct{})}
	if b.running < b.size {
		b.running++
		close(p.ready)
		return p
	}
	heap.Push(&b.waiting, p)
	return p
}

// remove removes a running or waiting request. A running one makes room for the
// first in the queue.
func (b *batch) remove(p *slot) {
	b.tokens -= p.tokens
	if p.index >= 0 {
		heap.Remove(&b.waiting, p.index)
		return
	}
	if len(b.waiting) == 0 {
		b.running--
		return
	}
	next, ok := heap.Pop(&b.waiting).(*slot)
	if ok {
		close(next.ready)
	}
}

// load returns the load of running and waiting requests together.
func (b *batch) load() endpoint.LoadReport {
	return endpoint.LoadReport{Requests: b.running + len(b.waiting), Tokens: b.tokens}
}

// Len returns the number of waiting requests.
func (h waitHeap) Len() int { return len(h) }

// Less orders by descending priority, then by arrival.
func (h waitHeap) Less(i, j int) bool {
	if h[i].priority != h[j].priority {
		return h[i].priority > h[j].priority
	}
	return h[i].serial < h[j].serial
}

// Swap swaps two waiting requests.
func (h waitHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index = i
	h[j].index = j
}

// Push adds a waiting request.
func (h *waitHeap) Push(x any) {
	p, ok := x.(*slot)
	if !ok {
		return
	}
	p.index = len(*h)
	*h = append(*h, p)
}

// Pop removes the last request of the slice.
func (h *waitHeap) Pop() any {
	last := len(*h) - 1
	p := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	p.index = -1
	return p
}
