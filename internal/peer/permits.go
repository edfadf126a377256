package peer

import (
	"context"
	"errors"
	"net/netip"
	"sync"

	"bulrushhinge.example/bulrushhinge/internal/peer/peerpb"
)

const (
	// maxQueued is the number of messages that can wait to be written to one
	// peer. A call that times out on a full queue reports the peer as unreachable.
	maxQueued = 256
	// maxUnanswered is the number of consecutive messages without a reply in
	// time after which the stream is closed and opened anew.
	maxUnanswered = 32
)

var (
	errStreamEnded = errors.New("stream ended")
	errNoAnswer    = errors.New("too many messages without a reply in time")
)

type (
	// permitStreams keeps one open stream to each peer that the node requests
	// permits from. Separate calls would each carry the name of the call, its end
	// and two more TLS records, which is several times the size of the message.
	permitStreams struct {
		client *Client
		ctx    context.Context
		cancel context.CancelFunc
		done   sync.WaitGroup
		mu     sync.Mutex
		closed bool
		byAddr map[netip.AddrPort]*permitStream
	}

	// permitStream is the stream to one peer. One goroutine opens it and reads,
	// another one writes.
	permitStream struct {
		queue chan *peerpb.PermitRequest
		// ctx ends when the stream can no longer be used.
		ctx context.Context
		end context.CancelCauseFunc

		mu         sync.Mutex
		number     uint64
		waiting    map[uint64]chan *peerpb.PermitReply
		unanswered int
	}
)

func newPermitStreams(c *Client) *permitStreams {
	ctx, cancel := context.WithCancel(context.Background())
	return &permitStreams{client: c, ctx: ctx, cancel: cancel, byAddr: map[netip.AddrPort]*permitStream{}}
}

// call sends a message to a peer and waits for its reply.
func (p *permitStreams) call(ctx context.Context, to netip.AddrPort, m *peerpb.PermitRequest) (*peerpb.PermitReply, error) {
	s := p.stream(to)
	if s == nil {
		return nil, errStreamEnded
	}
	return s.call(ctx, m)
}

func (p *permitStreams) close() {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	p.cancel()
	p.done.Wait()
}

// stream returns the stream to a peer, and starts to open one if there is none. It
// returns nil once the streams are closed.
func (p *permitStreams) stream(to netip.AddrPort) *permitStream {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil
	}
	if s := p.byAddr[to]; s != nil && s.ctx.Err() == nil {
		return s
	}
	ctx, end := context.WithCancelCause(p.ctx)
	s := &permitStream{
		queue:   make(chan *peerpb.PermitRequest, maxQueued),
		ctx:     ctx,
		end:     end,
		waiting: map[uint64]chan *peerpb.PermitReply{},
	}
	p.byAddr[to] = s
	p.done.Go(func() {
		s.run(&p.done, func() (peerpb.DRPCPeer_PermitClient, error) {
			return p.client.rpcClient(ctx, to).Permit(ctx)
		})
		p.forget(to, s)
	})
	return s
}

func (p *permitStreams) forget(to netip.AddrPort, s *permitStream) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.byAddr[to] == s {
		delete(p.byAddr, to)
	}
}

// run opens the stream, starts the writer and reads until the stream ends.
func (s *permitStream) run(done *sync.WaitGroup, open func() (peerpb.DRPCPeer_PermitClient, error)) {
	defer s.end(errStreamEnded)
	stream, err := open()
	if err != nil {
		return
	}
	defer stream.Close()
	done.Go(func() { s.write(stream) })
	for {
		reply, err := stream.Recv()
		if err != nil {
			return
		}
		s.deliver(reply)
	}
}

func (s *permitStream) write(stream peerpb.DRPCPeer_PermitClient) {
	for {
		select {
		case m := <-s.queue:
			if err := stream.Send(m); err != nil {
				s.end(err)
				return
			}
		case <-s.ctx.Done():
			return
		}
	}
}

func (s *permitStream) call(ctx context.Context, m *peerpb.PermitRequest) (*peerpb.PermitReply, error) {
	answer := s.register(m)
	defer s.forget(m.Number)
	select {
	case s.queue <- m:
	case <-s.ctx.Done():
		return nil, context.Cause(s.ctx)
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	select {
	case reply := <-answer:
		return reply, nil
	case <-s.ctx.Done():
		return nil, context.Cause(s.ctx)
	case <-ctx.Done():
		s.recordTimeout()
		return nil, ctx.Err()
	}
}

// register sets a message's number and returns the channel for its reply.
func (s *permitStream) register(m *peerpb.PermitRequest) <-chan *peerpb.PermitReply {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.number++
	m.Number = s.number
	answer := make(chan *peerpb.PermitReply, 1)
	s.waiting[m.Number] = answer
	return answer
}

func (s *permitStream) forget(number uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.waiting, number)
}

// deliver passes a reply to the call that waits for it. A reply that comes too late
// is dropped.
func (s *permitStream) deliver(reply *peerpb.PermitReply) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unanswered = 0
	if answer := s.waiting[reply.Number]; answer != nil {
		delete(s.waiting, reply.Number)
		answer <- reply
	}
}

// recordTimeout counts a message that got no reply in time.
//
// A peer whose instance was removed does not reset the connection: TCP alone would
// keep the stream for many minutes, and every permit request would time out although
// the peer is back at the same address. After maxUnanswered messages without any
// reply, the stream is opened anew.
func (s *permitStream) recordTimeout() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unanswered++
	if s.unanswered >= maxUnanswered {
		s.end(errNoAnswer)
	}
}
