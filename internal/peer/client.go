package peer

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"time"

	"storj.io/drpc"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcpool"

	"bulrushhinge.example/bulrushhinge/internal/kernel"
	"bulrushhinge.example/bulrushhinge/internal/peer/peerpb"
	"bulrushhinge.example/bulrushhinge/internal/permit"
)

const (
	poolCapacity    = 1024
	poolKeyCapacity = 8
	poolExpiration  = time.Minute
	dialTimeout     = time.Second
)

// ErrUnreachable is returned if a peer did not answer. Whether it received the
// message is unknown.
var ErrUnreachable = errors.New("peer: unreachable")

type (
	// Dialer opens connections to peers.
	Dialer interface {
		DialContext(ctx context.Context, network, address string) (net.Conn, error)
	}

	// ClientConfig is the settings of a Client.
	ClientConfig struct {
		// Self is the name of the calling node.
		Self string
		// Incarnation is that of the calling node.
		Incarnation uint64
		// Dialer opens connections; nil is a plain net.Dialer.
		Dialer Dialer
		// Key authenticates the node and its peers to each other.
		Key *Key
	}

	// Client calls peers. It is safe for concurrent use.
	Client struct {
		config ClientConfig
		pool   *drpcpool.Pool[netip.AddrPort, drpcpool.Conn]
		permit *permitStreams
	}
)

// NewClient returns a Client.
func NewClient(c ClientConfig) *Client {
	if c.Dialer == nil {
		c.Dialer = &net.Dialer{Timeout: dialTimeout}
	}
	client := &Client{
		config: c,
		pool: drpcpool.New[netip.AddrPort, drpcpool.Conn](drpcpool.Options{
			Expiration:  poolExpiration,
			Capacity:    poolCapacity,
			KeyCapacity: poolKeyCapacity,
		}),
	}
	client.permit = newPermitStreams(client)
	return client
}

// Close closes all connections.
func (c *Client) Close() error {
	c.permit.close()
	return c.pool.Close()
}

// Beat sends a heartbeat and returns the peer's own.
func (c *Client) Beat(ctx context.Context, to netip.AddrPort, b *kernel.Heartbeat) (*kernel.Heartbeat, error) {
	reply, err := c.rpcClient(ctx, to).Beat(ctx, EncodeBeat(b))
	if err != nil {
		return nil, unreachable(to, err)
	}
	return DecodeBeat(reply), nil
}

// Permit sends a batch to the owner of its endpoints.
func (c *Client) Permit(ctx context.Context, to netip.AddrPort, b permit.Batch) (permit.Reply, error) {
	answer, err := c.permit.call(ctx, to, EncodePermit(c.config.Self, b))
	if err != nil {
		return permit.Reply{}, unreachable(to, err)
	}
	reply := DecodeReply(answer)
	if len(reply.Verdicts) != len(b.Requests) {
		return permit.Reply{}, fmt.Errorf("%w: %v sent %d verdicts for %d requests", ErrUnreachable, to, len(reply.Verdicts), len(b.Requests))
	}
	return reply, nil
}

// Values reads values of the accepted configuration by key, in as many calls as
// their size requires. Keys that the peer does not have are left out.
func (c *Client) Values(ctx context.Context, to netip.AddrPort, keys []string) (map[string][]byte, error) {
	values := make(map[string][]byte, len(keys))
	for len(keys) > 0 {
		reply, err := c.rpcClient(ctx, to).Config(ctx, &peerpb.ConfigRequest{Keys: keys})
		if err != nil {
			return nil, unreachable(to, err)
		}
		var missing []string
		for _, key := range keys {
			if value, ok := reply.Values[key]; ok {
				values[key] = value
			} else {
				missing = append(missing, key)
			}
		}
		// Stop at a reply without any of the keys, which would repeat forever.
		if len(missing) == len(keys) {
			return values, nil
		}
		keys = missing
	}
	return values, nil
}

func (c *Client) rpcClient(ctx context.Context, to netip.AddrPort) peerpb.DRPCPeerClient {
	conn := c.pool.Get(ctx, to, func(ctx context.Context, to netip.AddrPort) (drpcpool.Conn, error) {
		raw, err := c.config.Dialer.DialContext(ctx, "tcp", to.String())
		if err != nil {
			return nil, err
		}
		secure, err := c.config.Key.clientHandshake(ctx, raw)
		if err != nil {
			return nil, err
		}
		return drpcconn.NewWithOptions(secure, drpcconn.Options{Manager: managerOptions()}), nil
	})
	return peerpb.NewDRPCPeerClient(drpc.Conn(conn))
}

func unreachable(to netip.AddrPort, err error) error {
	return fmt.Errorf("%w: %v: %v", ErrUnreachable, to, err)
}
