package replay

import "container/list"

type (
	// prefixCache is the LRU cache of prompt prefixes of a fake endpoint.
	prefixCache struct {
		capacity int
		held     int
		order    *list.List
		chats    map[string]*list.Element
	}

	cachedChat struct {
		chat   string
		tokens int
	}
)

func newPrefixCache(capacity int) *prefixCache {
	return &prefixCache{capacity: capacity, order: list.New(), chats: map[string]*list.Element{}}
}

// tokens returns how many tokens of a chat are cached, without marking it as used.
func (c *prefixCache) tokens(chat string) int {
	if e := c.chats[chat]; e != nil {
		held, _ := e.Value.(*cachedChat)
		return held.tokens
	}
	return 0
}

// use returns how many tokens of a chat are cached and marks it as used.
func (c *prefixCache) use(chat string) int {
	if e := c.chats[chat]; e != nil {
		c.order.MoveToFront(e)
	}
	return c.tokens(chat)
}

// store caches a chat's tokens and evicts others as needed. A chat larger than the
// cache is not stored.
func (c *prefixCache) store(chat string, tokens int) {
	if tokens > c.capacity {
		return
	}
	e := c.chats[chat]
	if e == nil {
		e = c.order.PushFront(&cachedChat{chat: chat})
		c.chats[chat] = e
	}
	c.order.MoveToFront(e)
	held, _ := e.Value.(*cachedChat)
	c.held += tokens - held.tokens
	held.tokens = tokens
	for c.held > c.capacity {
		c.evict()
	}
}

func (c *prefixCache) evict() {
	last := c.order.Back()
	held, _ := c.order.Remove(last).(*cachedChat)
	delete(c.chats, held.chat)
	c.held -= held.tokens
}
