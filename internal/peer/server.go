// Package peer speaks the protocol between the fleet's own nodes: heartbeats,
// permits and the accepted configuration.
package peer

import (
	"context"
	"errors"
	"fmt"
	"net"
	"time"

	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"bulrushhinge.example/bulrushhinge/internal/gate"
	"bulrushhinge.example/bulrushhinge/internal/kernel"
	"bulrushhinge.example/bulrushhinge/internal/peer/peerpb"
)

// ErrServe is returned where the peer listener failed.
var ErrServe = errors.New("peer: serve")

type (
	// Beats answers heartbeats.
	Beats interface {
		// Beat takes a peer's heartbeat and returns the node's own for it.
		Beat(ctx context.Context, b *kernel.Beat) *kernel.Beat
	}

	// Permits grants permits.
	Permits interface {
		Apply(now time.Time, b gate.Batch) gate.Reply
	}

	// Values holds the accepted configuration.
	Values interface {
		// Value returns the value of a key, nil where there is none.
		Value(key string) []byte
	}

	// ServerConfig is the settings of a Server.
	ServerConfig struct {
		Listener net.Listener
		Beats    Beats
		Permits  Permits
		Values   Values
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
	mux := drpcmux.New()
	if err := peerpb.DRPCRegisterPeer(mux, &handler{config: c}); err != nil {
		return nil, fmt.Errorf("%w: %v", ErrServe, err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	s := &Server{cancel: cancel, done: make(chan error, 1)}
	server := drpcserver.New(mux)
	go func() {
		s.done <- server.Serve(ctx, c.Listener)
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

// Permit serves a batch of asks, declarations and returns.
func (h *handler) Permit(_ context.Context, r *peerpb.PermitRequest) (*peerpb.PermitReply, error) {
	return EncodeReply(h.config.Permits.Apply(time.Now(), DecodePermit(r))), nil
}

// Config serves a value of the accepted configuration.
func (h *handler) Config(_ context.Context, r *peerpb.ConfigRequest) (*peerpb.ConfigReply, error) {
	value := h.config.Values.Value(r.Key)
	return &peerpb.ConfigReply{Found: value != nil, Value: value}, nil
}
