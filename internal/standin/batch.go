package standin

import (
	"container/heap"

	"bulrushhinge.example/bulrushhinge/internal/endpoint"
)

type (
	// batch is the requests that an engine runs at once and those that wait,
	// in the order of their priorities. Its owner locks it.
	batch struct {
		size    int
		running int
		waiting waitHeap
		tokens  int
		serial  uint64
	}

	// place is a request's place in the batch or before it.
	place struct {
		priority int
		serial   uint64
		tokens   int
		index    int
		// ready is closed once the request may run.
		ready chan struct{}
	}

	waitHeap []*place
)

// join adds a request.
func (b *batch) join(priority, tokens int) *place {
	b.serial++
	b.tokens += tokens
	p := &place{priority: priority, serial: b.serial, tokens: tokens, index: -1, ready: make(chan struct{})}
	if b.running < b.size {
		b.running++
		close(p.ready)
		return p
	}
	heap.Push(&b.waiting, p)
	return p
}

// leave ends a request, whether it ran or still waited.
func (b *batch) leave(p *place) {
	b.tokens -= p.tokens
	if p.index >= 0 {
		heap.Remove(&b.waiting, p.index)
		return
	}
	if len(b.waiting) == 0 {
		b.running--
		return
	}
	next, ok := heap.Pop(&b.waiting).(*place)
	if ok {
		close(next.ready)
	}
}

func (b *batch) load() endpoint.LoadReport {
	return endpoint.LoadReport{Requests: b.running + len(b.waiting), Tokens: b.tokens}
}

// Len returns how many requests wait.
func (h waitHeap) Len() int { return len(h) }

// Less puts higher priorities first, and earlier requests among equals.
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
	p, ok := x.(*place)
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
