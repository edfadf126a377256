package route

import "time"

// DefaultMemory is the default number of chats that a node remembers.
const DefaultMemory = 1 << 14

type (
	// chatCache holds where recent chats ran. It keeps two generations: when the
	// young one is full, it replaces the old one, whose chats are dropped. This
	// bounds the memory, and eviction takes no time.
	chatCache struct {
		limit      int
		young, old map[string]location
	}

	// location is an endpoint and how much of a chat it holds.
	location struct {
		endpoint string
		tokens   int
		at       time.Time
	}
)

func newChatCache(limit int) *chatCache {
	return &chatCache{limit: limit, young: map[string]location{}}
}

func (c *chatCache) get(chat string) (location, bool) {
	if p, ok := c.young[chat]; ok {
		return p, true
	}
	p, ok := c.old[chat]
	return p, ok
}

func (c *chatCache) put(chat string, p location) {
	if len(c.young) >= c.limit/2 {
		c.old = c.young
		c.young = make(map[string]location, len(c.old))
	}
	c.young[chat] = p
}
