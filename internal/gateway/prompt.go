package gateway

import (
	"iter"

	"bulrushhinge.example/bulrushhinge/internal/balance"
)

const (
	// maxPartTokens is the largest size of a part that is accepted: ten times the
	// longest prompts that engines take today.
	maxPartTokens = 1_000_000
	// maxSharedParts bounds the shared parts of a prompt that are looked at.
	maxSharedParts = 64
)

type (
	// Part is one part of a prompt, as its caller names it.
	Part struct {
		ID string
		// Tokens is its size, 0 if it is unknown.
		Tokens int
	}

	// promptParts are the parts of a request's prompt.
	promptParts struct {
		// shared are the IDs of the parts that other requests may share, in order: all
		// but the last one, which belongs to the request or its session.
		shared []string
		// deepest is the last part but one, or the only part, and own the last one of
		// several.
		deepest Part
		own     Part
		count   int
	}
)

// readPrompt reads the parts of a prompt, of which callers may send any number.
func readPrompt(parts iter.Seq[Part]) promptParts {
	var p promptParts
	var last Part
	for part := range parts {
		if p.count > 0 {
			p.deepest = last
			if last.ID != "" && len(p.shared) < maxSharedParts {
				p.shared = append(p.shared, last.ID)
			}
		}
		last = part
		p.count++
	}
	if p.count < 2 {
		p.deepest = last
		return p
	}
	p.own = last
	return p
}

// placement returns the name of the deepest part that other requests share, and the
// prompt's size. A prompt of one part is shared as a whole.
func (p promptParts) placement(model string) (string, balance.Prompt) {
	if p.count == 0 {
		return "", balance.Prompt{}
	}
	return model + "/" + p.deepest.ID, balance.Prompt{Own: plausible(p.own.Tokens), Shared: plausible(p.deepest.Tokens)}
}

// plausible returns a part's size, 0 if it is none that a prompt can have.
func plausible(tokens int) int {
	if tokens < 0 || tokens > maxPartTokens {
		return 0
	}
	return tokens
}

// enginePriority returns the request's priority at an engine, from 0 to 9; the
// account's takes precedence over the route's.
func (c *call) enginePriority() int {
	const ranks, last = 3, 9
	account := 0
	if c.account != nil {
		account = c.account.Priority
	}
	return min(account*ranks+min(c.route.Priority, ranks-1), last)
}
