package standin

import (
	"container/list"

	"bulrushhinge.example/bulrushhinge/internal/endpoint"
)

type (
	// prefixCache holds the prefixes of chats in limited memory; the least
	// recently used goes first. Its owner locks it.
	prefixCache struct {
		limit   int
		size    int
		order   *list.List
		entries map[string]*list.Element
		events  eventLog
	}

	prefix struct {
		chat   string
		tokens int
	}
)

func newPrefixCache(limit int) *prefixCache {
	return &prefixCache{limit: limit, order: list.New(), entries: map[string]*list.Element{}}
}

// tokens returns how much of a chat is held.
func (c *prefixCache) tokens(chat string) int {
	e := c.entries[chat]
	if e == nil {
		return 0
	}
	return held(e).tokens
}

// store keeps a chat's prefix and evicts others where memory runs out.
func (c *prefixCache) store(chat string, tokens int) {
	if chat == "" || tokens > c.limit {
		return
	}
	c.drop(chat)
	c.entries[chat] = c.order.PushFront(&prefix{chat: chat, tokens: tokens})
	c.size += tokens
	c.events.add(endpoint.EventStore, chat, tokens)
	for c.size > c.limit {
		oldest := held(c.order.Back()).chat
		c.drop(oldest)
		c.events.add(endpoint.EventEvict, oldest, 0)
	}
}

func (c *prefixCache) drop(chat string) {
	e := c.entries[chat]
	if e == nil {
		return
	}
	c.size -= held(e).tokens
	c.order.Remove(e)
	delete(c.entries, chat)
}

func held(e *list.Element) *prefix {
	p, ok := e.Value.(*prefix)
	if !ok {
		return &prefix{}
	}
	return p
}
