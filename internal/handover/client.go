package handover

import (
	"context"
	"fmt"
	"net/netip"
	"time"

	"storj.io/drpc"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcpool"

	"bulrushhinge.example/bulrushhinge/internal/cborcodec"
	"bulrushhinge.example/bulrushhinge/internal/http1"
)

const (
	// offerTimeout bounds the time until a node has taken an offer, a new connection
	// included: some round trips between availability zones.
	offerTimeout = 250 * time.Millisecond
	// MaxSilence is after how long without a packet a connection to a node is
	// considered dead: two probes lost.
	MaxSilence = 2500 * time.Millisecond
	// idleTimeout is how long an unused connection to a node is kept, and maxIdle how
	// many of them.
	idleTimeout = 10 * time.Second
	maxIdle     = 64
)

type (
	// Client hands requests over to other nodes. It is safe for concurrent use.
	Client struct {
		dialer http1.Dialer
		conns  *drpcpool.Pool[netip.AddrPort, *drpcconn.Conn]
	}

	// Exchange is a request that another node has taken.
	Exchange struct {
		stream drpc.Stream
		cancel context.CancelFunc
	}
)

// NewClient returns a client without connections.
func NewClient() *Client {
	return &Client{
		dialer: http1.NewDialer(http1.DialerConfig{Timeout: offerTimeout, Silence: MaxSilence}),
		conns:  drpcpool.New[netip.AddrPort, *drpcconn.Conn](drpcpool.Options{Expiration: idleTimeout, Capacity: maxIdle}),
	}
}

// Close closes all idle connections.
func (c *Client) Close() error {
	if err := c.conns.Close(); err != nil {
		return fmt.Errorf("handover: close: %w", err)
	}
	return nil
}

func (c *Client) dial(ctx context.Context, to netip.AddrPort) (*drpcconn.Conn, error) {
	raw, err := c.dialer.DialContext(ctx, "tcp4", to.String())
	if err != nil {
		return nil, err
	}
	return drpcconn.New(raw), nil
}

// Offer offers a request to a node. Any error means that it is not taken: the request
// does not run there. The end of ctx ends the exchange, at the other node too.
func (c *Client) Offer(ctx context.Context, to netip.AddrPort, o *Offer) (*Exchange, error) {
	ctx, cancel := context.WithCancel(ctx)
	timer := time.AfterFunc(offerTimeout, cancel)
	x, err := c.offer(ctx, to, o)
	if !timer.Stop() && err == nil {
		err = fmt.Errorf("%w: %w", ErrNotTaken, context.DeadlineExceeded)
	}
	if err != nil {
		cancel()
		return nil, err
	}
	x.cancel = cancel
	return x, nil
}

func (c *Client) offer(ctx context.Context, to netip.AddrPort, o *Offer) (*Exchange, error) {
	stream, err := c.conns.Get(ctx, to, c.dial).NewStream(ctx, handRPC, cborcodec.Codec{})
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNotTaken, err)
	}
	if err := stream.MsgSend(o, cborcodec.Codec{}); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNotTaken, err)
	}
	var a answer
	if err := stream.MsgRecv(&a, cborcodec.Codec{}); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNotTaken, err)
	}
	if a.Reason != "" {
		// The other node has ended the call; its result adds nothing.
		_ = stream.Close()
		return nil, fmt.Errorf("%w: %s", ErrDeclined, a.Reason)
	}
	return &Exchange{stream: stream}, nil
}

// Send sends the body, after which the request runs. ErrNotTaken means that it does
// not.
func (x *Exchange) Send(body []byte) error {
	for len(body) > partBytes {
		if err := x.stream.MsgSend(&part{Data: body[:partBytes]}, cborcodec.Codec{}); err != nil {
			return fmt.Errorf("%w: %w", ErrNotTaken, err)
		}
		body = body[partBytes:]
	}
	if err := x.stream.MsgSend(&part{Data: body, Last: true}, cborcodec.Codec{}); err != nil {
		return fmt.Errorf("%w: %w", ErrBroken, err)
	}
	return nil
}

// Next returns the next part of the response. After its end or a refusal, no others
// follow.
func (x *Exchange) Next() (*Frame, error) {
	f := &Frame{}
	if err := x.stream.MsgRecv(f, cborcodec.Codec{}); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrBroken, err)
	}
	if f.Status != 0 && !isStatus(f.Status) || f.Refusal != nil && !isStatus(f.Refusal.Status) {
		return nil, fmt.Errorf("%w: %w: status", ErrBroken, ErrMessage)
	}
	return f, nil
}

// Close ends the exchange. The other node stops the request if it still runs.
func (x *Exchange) Close() {
	// An error means that the call has ended already.
	_ = x.stream.Close()
	x.cancel()
}
