package route

import "time"

// DefaultMemory is how many chats a node remembers.
const DefaultMemory = 1 << 14

type (
	// memory holds where recent chats ran. It keeps two generations; when the
	// young one is full it becomes the old one, and what was old is forgotten.
	// It so takes a bounded space and no time to evict.
	memory struct {
		limit      int
		young, old map[string]place
	}

	// place is an endpoint and how much of a chat it holds.
	place struct {
		endpoint string
		tokens   int
		at       time.Time
	}
)

func newMemory(limit int) *memory {
	return &memory{limit: limit, young: map[string]place{}}
}

func (m *memory) get(chat string) (place, bool) {
	if p, ok := m.young[chat]; ok {
		return p, true
	}
	p, ok := m.old[chat]
	return p, ok
}

func (m *memory) put(chat string, p place) {
	if len(m.young) >= m.limit/2 {
		m.old = m.young
		m.young = make(map[string]place, len(m.old))
	}
	m.young[chat] = p
}
