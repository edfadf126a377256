package endpoint

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"time"
)

const orderTimeout = 5 * time.Second

// ErrFenced is returned when an endpoint refused an order whose fencing number
// is not above those it has accepted.
var ErrFenced = errors.New("endpoint: order refused as outdated")

type (
	// Order tells an endpoint what to load and which role to take.
	Order struct {
		// Fence is the order's fencing number.
		Fence    uint64   `json:"fence"`
		Revision uint64   `json:"revision"`
		Models   []string `json:"models"`
		Adapters []string `json:"adapters,omitempty"`
		Role     string   `json:"role,omitempty"`
	}

	// OrderReply is the answer to an order.
	OrderReply struct {
		// Fence is the highest fencing number that the endpoint has accepted.
		Fence uint64 `json:"fence"`
	}
)

// Order sends an order. It returns ErrFenced, with the endpoint's fencing
// number, if the endpoint refused it, and ErrLost if it is unknown whether the
// order was accepted.
func (c *Client) Order(ctx context.Context, addr netip.AddrPort, o Order) (OrderReply, error) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	body, err := json.Marshal(o)
	if err != nil {
		return OrderReply{}, fmt.Errorf("%w: order: %v", ErrNotRun, err)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr.String()+"/v1/orders", bytes.NewReader(body))
	if err != nil {
		return OrderReply{}, fmt.Errorf("%w: order: %v", ErrNotRun, err)
	}
	req.Header.Set("Content-Type", "application/json")
	// A resent order has the same fencing number, so that it does no harm.
	resp, err := c.shared.Do(req)
	if err != nil {
		return OrderReply{}, fmt.Errorf("%w: order: %v", ErrLost, err)
	}
	defer resp.Body.Close()
	return orderReply(resp)
}

func orderReply(resp *http.Response) (OrderReply, error) {
	var reply OrderReply
	if resp.StatusCode != http.StatusOK && resp.StatusCode != http.StatusConflict {
		return reply, fmt.Errorf("%w: order: status %d", ErrLost, resp.StatusCode)
	}
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxLoadBytes)).Decode(&reply); err != nil {
		return reply, fmt.Errorf("%w: order: %v", ErrLost, err)
	}
	if resp.StatusCode == http.StatusConflict {
		return reply, ErrFenced
	}
	return reply, nil
}
