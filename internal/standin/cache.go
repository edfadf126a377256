package standin

import (
	"container/list"

	"bulrushhinge.example/bulrushhinge/internal/endpoint"
)

type (
	// prefixCache is an LRU cache of the prefixes of chats; limit and size are
	// in tokens. It is not safe for concurrent use.
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

// tokens returns the number of cached tokens of a chat.
func (c *prefixCache) tokens(chat string) int {
	e := c.entries[chat]
	if e == nil {
		return 0
	}
	return prefixOf(e).tokens
}

// store caches the prefix of a chat and evicts the least recently stored ones
// if the limit is exceeded.
func (c *prefixCache) store(chat string, tokens int) {
	if chat == "" || tokens > c.limit {
		return
	}
	c.drop(chat)
	c.entries[chat] = c.order.PushFront(&prefix{chat: chat, tokens: tokens})
	c.size += tokens
	c.events.add(endpoint.EventStore, chat, tokens)
	for c.size > c.limit {
		oldest := prefixOf(c.order.Back()).chat
		c.drop(oldest)
		c.events.add(endpoint.EventEvict, oldest, 0)
	}
}

func (c *prefixCache) drop(chat string) {
	e := c.entries[chat]
	if e == nil {
		return
	}
	c.size -= prefixOf(e).tokens
	c.order.Remove(e)
	delete(c.entries, chat)
}

func prefixOf(e *list.Element) *prefix {
	p, ok := e.Value.(*prefix)
	if !ok {
		return &prefix{}
	}
	return p
}
