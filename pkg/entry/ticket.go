package entry

import (
	"context"
	"net/http"
	"net/url"
)

// States of a ticket.
const (
	TicketUnused  TicketState = "unused"
	TicketRunning TicketState = "running"
	TicketDone    TicketState = "done"
	TicketVoid    TicketState = "void"
	TicketUnknown TicketState = "unknown"
)

type (
	// TicketState is the state of a ticket's request.
	TicketState string

	ticketAnswer struct {
		Ticket string      `json:"ticket"`
		State  TicketState `json:"state"`
	}
)

// Ticket returns the state of a ticket's request.
func (c *Client) Ticket(ctx context.Context, ticket string) (TicketState, error) {
	return c.ticket(ctx, http.MethodGet, ticket)
}

// Void voids an unused ticket. TicketVoid proves that its request was not run
// and never will be.
func (c *Client) Void(ctx context.Context, ticket string) (TicketState, error) {
	return c.ticket(ctx, http.MethodDelete, ticket)
}

func (c *Client) ticket(ctx context.Context, method, ticket string) (TicketState, error) {
	a, err := c.plainCache.get(ctx, c, "")
	if err != nil {
		return TicketUnknown, err
	}
	var last error
	for _, addr := range a.Nodes {
		var answer ticketAnswer
		last = c.fetchJSON(ctx, method, addr, PathTickets+url.PathEscape(ticket), &answer, http.StatusOK, http.StatusConflict)
		if last == nil {
			return answer.State, nil
		}
	}
	return TicketUnknown, last
}
