package entry

import (
	"context"
	"errors"
	"time"
)

// pause is the time before a request is sent again where the fleet names none.
const pause = 500 * time.Millisecond

// Again reports whether a request may be sent again after an error, and after
// which time. It changes the options to those of the next try.
//
// A request that must not be repeated is sent again only where it was not run,
// or under its ticket, which joins it to the run there may have been. Where the
// fleet cannot tell and the ticket is still unused, giving the ticket up proves
// that the request was not run.
func (c *Client) Again(ctx context.Context, err error, o *Options) (after time.Duration, ok bool) {
	var refused *Refusal
	if !errors.As(err, &refused) {
		return pause, errors.Is(err, ErrNoNode)
	}
	o.Ticket = refused.Ticket
	after = refused.RetryAfter()
	switch {
	case refused.Ran == RanNot:
		return after, after > 0
	case refused.Status == 0:
		return max(after, pause), !o.Once || o.Ticket != ""
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
	return pause, true
}
