package entry

import (
	"context"
	"errors"
	"time"
)

// defaultRetryDelay is the delay before a retry where the fleet names none.
const defaultRetryDelay = 500 * time.Millisecond

// Again reports whether a request may be retried after an error, and after
// which delay. It changes the options to those of the next try.
//
// A request that must not be repeated is retried only if it was not run, or
// with its ticket, which joins it to the run if there was one. If the fleet
// does not know whether it was run and the ticket is still unused, voiding the
// ticket proves that it was not.
func (c *Client) Again(ctx context.Context, err error, o *Options) (after time.Duration, ok bool) {
	var refused *Refusal
	if !errors.As(err, &refused) {
		return defaultRetryDelay, errors.Is(err, ErrNoNode)
	}
	o.Ticket = refused.Ticket
	after = refused.RetryAfter()
	switch {
	case refused.Ran == RanNot:
		return after, after > 0
	case refused.Status == 0:
		return max(after, defaultRetryDelay), !o.Once || o.Ticket != ""
	case after > 0 && (!o.Once || o.Ticket != ""):
		return after, true
	case o.Ticket == "":
		return 0, false
	}
	state, err := c.Void(ctx, o.Ticket)
	if err != nil || state != TicketVoid {
		return 0, false
	}
	o.Ticket = ""
	return defaultRetryDelay, true
}
