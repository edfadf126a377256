// Package peer implements the protocol between the fleet's nodes: heartbeats,
// permits, leases, relayed requests and the accepted configuration.
package peer

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"net"
	"time"

	"github.com/sirupsen/logrus"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"bulrushhinge.example/bulrushhinge/internal/kernel"
	"bulrushhinge.example/bulrushhinge/internal/peer/peerpb"
	"bulrushhinge.example/bulrushhinge/internal/permit"
)

// maxReplyBytes is the size of all values in a reply above which no further one is
// added. A single value is at most 1 MiB; the transport takes maxMessageBytes.
const maxReplyBytes = 1 << 20

// ErrServe is returned if the peer listener failed.
var ErrServe = errors.New("peer: serve")

type (
	// HeartbeatHandler answers heartbeats.
	HeartbeatHandler interface {
		// Beat applies a peer's heartbeat and returns the node's own as the reply.
		Beat(ctx context.Context, b *kernel.Heartbeat) *kernel.Heartbeat
	}

	// Permits grants permits.
	Permits interface {
		Apply(now time.Time, b permit.Batch) permit.Reply
	}

	// Values holds the accepted configuration.
	Values interface {
		// Value returns the value of a key, nil if there is none.
		Value(key string) []byte
	}

	// ServerConfig is the settings of a Server.
	ServerConfig struct {
		Listener net.Listener
		// Key authenticates the node and its peers to each other.
		Key *Key
		// Handshake is the timeout of the handshake; 0 is DefaultHandshake.
		Handshake time.Duration
		Beats     HeartbeatHandler
		Permits   Permits
		Values    Values
		Relays    RelayHandler
		Leases    Leases
		// Log receives panics; nil is logrus' standard logger.
		Log logrus.FieldLogger
	}

	// Server serves peers until it is closed.
	Server struct {
		cancel context.CancelFunc
		done   chan error
	}

	handler struct {
		config ServerConfig
	}
)

// NewServer starts serving on the listener.
func NewServer(c ServerConfig) (*Server, error) {
	if c.Log == nil {
		c.Log = logrus.StandardLogger()
	}
	mux := drpcmux.New()
	if err := peerpb.DRPCRegisterPeer(mux, &handler{config: c}); err != nil {
		return nil, fmt.Errorf("%w: %v", ErrServe, err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	s := &Server{cancel: cancel, done: make(chan error, 1)}
	server := drpcserver.NewWithOptions(&endHandler{Handler: mux, log: c.Log}, serverOptions())
	go func() {
		s.done <- server.Serve(ctx, &listener{Listener: c.Listener, config: c.Key.config(), timeout: cmp.Or(c.Handshake, DefaultHandshake)})
	}()
	return s, nil
}

// Close stops serving and closes the listener.
func (s *Server) Close() error {
	s.cancel()
	if err := <-s.done; err != nil {
		return fmt.Errorf("%w: %v", ErrServe, err)
	}
	return nil
}

// Beat serves a heartbeat.
func (h *handler) Beat(ctx context.Context, b *peerpb.Heartbeat) (*peerpb.Heartbeat, error) {
	return EncodeBeat(h.config.Beats.Beat(ctx, DecodeBeat(b))), nil
}

// Permit serves a stream of batches of permit requests, declarations and releases.
func (h *handler) Permit(stream peerpb.DRPCPeer_PermitStream) error {
	for {
		r, err := stream.Recv()
		if err != nil {
			return err
		}
		reply := EncodeReply(h.config.Permits.Apply(time.Now(), DecodePermit(r)))
		reply.Number = r.Number
		if err := stream.Send(reply); err != nil {
			return err
		}
	}
}

// Config serves values of the accepted configuration. Values that do not fit into
// one reply are left out; the peer requests them again.
func (h *handler) Config(_ context.Context, r *peerpb.ConfigRequest) (*peerpb.ConfigReply, error) {
	reply := &peerpb.ConfigReply{Values: map[string][]byte{}}
	size := 0
	for _, key := range r.Keys {
		value := h.config.Values.Value(key)
		if value == nil {
			continue
		}
		size += len(value)
		if size > maxReplyBytes && len(reply.Values) > 0 {
			break
		}
		reply.Values[key] = value
	}
	return reply, nil
}
