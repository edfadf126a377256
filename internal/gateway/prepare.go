package gateway

import "strconv"

// prepare sets what a request's way to an endpoint of a service depends on.
func (c *call) prepare(service string) {
	name := ""
	if c.account != nil {
		name = c.account.Name
	}
	h := c.handler.config.Headers
	c.header = h.forEndpoint(c.in.Header, name)
	c.service = c.config.Services[service]
	parts := readPrompt(h.PromptParts(c.in.Header.Get(h.Prompt)))
	c.features = features(c.in.RequestURI, name, c.body, parts.shared)
	if c.route.Cached {
		c.promptKey, c.prompt = parts.placement(c.in.Header.Get(h.Model))
	}
	if c.service.Model {
		c.header.Set(h.Priority, strconv.Itoa(c.enginePriority()))
	}
	last, err := strconv.ParseUint(c.in.Header.Get(h.LastEventID), 10, 64)
	if err == nil {
		c.progress.lastEvent = max(c.progress.lastEvent, last)
	}
}
