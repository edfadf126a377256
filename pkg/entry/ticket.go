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
	// TicketState is what became of the request of a ticket.
	TicketState string

	ticketAnswer struct {
		Ticket string      `json:"ticket"`
		State  TicketState `json:"state"`
	}
)

// Ticket returns what became of the request of a ticket.
func (c *Client) Ticket(ctx context.Context, ticket string) (TicketState, error) {
	return c.ticket(ctx, http.MethodGet, ticket)
}

// Void gives an unused ticket up. The state void proves that its request was
// not run and never will be.
func (c *Client) Void(ctx context.Context, ticket string) (TicketState, error) {
	return c.ticket(ctx, http.MethodDelete, ticket)
}

func (c *Client) ticket(ctx context.Context, method, ticket string) (TicketState, error) {
	a, err := c.plain.get(ctx, c, "")
	if err != nil {
		return TicketUnknown, err
	}
	var last error
	for _, addr := range a.Nodes {
		var answer ticketAnswer
		last = c.read(ctx, method, addr, PathTickets+url.PathEscape(ticket), &answer, http.StatusOK, http.StatusConflict)
		if last == nil {
			return answer.State, nil
		}
	}
	return TicketUnknown, last
}
