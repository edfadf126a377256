package gossip

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"time"

	"storj.io/drpc"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcserver"

	"bulrushhinge.example/bulrushhinge/internal/catchup"
	"bulrushhinge.example/bulrushhinge/internal/cborcodec"
	"bulrushhinge.example/bulrushhinge/internal/decision"
	"bulrushhinge.example/bulrushhinge/internal/deployment"
)

const (
	itemsRPC = "/bulrushhinge.Gossip/Items"
	// pullDelay is how long a node that reads the store waits for the store to
	// deliver what a peer already has; all watches receive a change at about the
	// same time.
	pullDelay = 250 * time.Millisecond
	// pullTimeout bounds a call to a peer, whose connection may be unresponsive.
	pullTimeout = 800 * time.Millisecond
	// applyTimeout bounds the wait for a reply's items to be in force, which is
	// checked each applyCheck. Without it, a node would ask for the same items
	// again.
	applyTimeout = time.Second
	applyCheck   = 5 * time.Millisecond
	// maxPreviousPulls is how many peers are asked for items of previous epochs.
	maxPreviousPulls = 3
)

var (
	// errUnknownRPC is returned for an RPC that the node does not implement.
	errUnknownRPC = errors.New("gossip: unknown call")
	// errBusy is returned if a peer sends too many replies already.
	errBusy = errors.New("gossip: peer is busy")
)

type (
	// client calls other nodes.
	client struct{ port uint16 }

	// server answers other nodes' calls.
	server struct {
		cancel  context.CancelFunc
		running sync.WaitGroup
	}

	// handler answers calls.
	handler struct {
		replica Replica
		packer  *packer
		limit   *catchup.Server
	}
)

func newClient(port uint16) *client { return &client{port: port} }

func newServer(ctx context.Context, l net.Listener, replica Replica) *server {
	ctx, cancel := context.WithCancel(ctx)
	s := &server{cancel: cancel}
	s.running.Go(func() {
		// Serve returns when its context is canceled.
		_ = drpcserver.New(handler{replica: replica, packer: newPacker(replica), limit: &catchup.Server{}}).Serve(ctx, l)
	})
	return s
}

func (s *server) close() {
	s.cancel()
	s.running.Wait()
}

// HandleRPC serves one RPC.
func (h handler) HandleRPC(stream drpc.Stream, rpc string) error {
	if rpc != itemsRPC {
		return errUnknownRPC
	}
	var req itemsRequest
	if err := stream.MsgRecv(&req, cborcodec.Codec{}); err != nil {
		return err
	}
	packed, err := h.packer.reply(req)
	if err != nil {
		return err
	}
	size := len(packed.Packed) + len(packed.Previous)
	reply := itemsReply{Busy: true}
	if h.limit.Begin(size) {
		defer h.limit.End(size)
		reply = *packed
		reply.Lapsing, reply.Settling = h.replica.Lapsing(), h.replica.Settling()
	}
	if err := stream.MsgSend(&reply, cborcodec.Codec{}); err != nil {
		return err
	}
	return stream.CloseSend()
}

// items requests the items that changed after a position from a node.
func (c *client) items(ctx context.Context, ip netip.Addr, req itemsRequest) (*itemsReply, error) {
	var d net.Dialer
	raw, err := d.DialContext(ctx, "tcp4", netip.AddrPortFrom(ip, c.port).String())
	if err != nil {
		return nil, fmt.Errorf("gossip: items: %w", err)
	}
	conn := drpcconn.New(raw)
	defer func() { _ = conn.Close() }()
	var reply itemsReply
	if err := conn.Invoke(ctx, itemsRPC, cborcodec.Codec{}, &req, &reply); err != nil {
		return nil, fmt.Errorf("gossip: items: %w", err)
	}
	if reply.Busy {
		return nil, errBusy
	}
	return &reply, nil
}

// pull fetches from peers what they have read of the store and this node lacks.
//
// A node may be cut off from the store while others are not. Any node that is
// ahead may be asked; only one pull runs at a time.
func (g *Gossip) pull(ctx context.Context, l *loop, now time.Time) {
	select {
	case l.pulling <- struct{}{}:
	default:
		return
	}
	relay := !g.usesRelays() || l.relay.First(now)
	g.running.Go(func() {
		defer func() { <-l.pulling }()
		if g.config.Replica.Access() == deployment.Reading && !wait(ctx, pullDelay) {
			return
		}
		for g.pullOnce(ctx, l.puller, relay) {
			if ctx.Err() != nil {
				return
			}
		}
	})
}

// pullOnce asks one peer, or waits until it may, and reports whether to go on.
func (g *Gossip) pullOnce(ctx context.Context, p *catchup.Puller, relay bool) bool {
	view, after := g.View(), g.config.Replica.Snapshot().Position
	ahead := view.aheadOf(after)
	if len(ahead) == 0 {
		p.Done()
		return false
	}
	peer, pause, ok := p.Next(time.Now(), catchup.Fleet{Ahead: ahead, Nodes: view.Known, Relay: relay})
	if !ok || pause > 0 {
		return ok && wait(ctx, pause)
	}
	err := g.fetch(ctx, peer, after)
	switch {
	case err == nil:
		p.Done()
		return false
	case errors.Is(err, errBusy):
		p.Busy(time.Now(), peer)
	case p.Failed(time.Now(), peer, view.Known):
		g.config.Reread()
		return false
	}
	return true
}

// wait waits and reports whether the time has passed before ctx ended.
func wait(ctx context.Context, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}

// pullPrevious asks a peer for the items of previous epochs that are still valid,
// up to maxPreviousPulls times per epoch.
//
// A node that starts just after the store was restored reads a configuration
// older than the one in force, and endpoints that have left. More than one peer
// is asked, as a peer may have started just as late.
func (g *Gossip) pullPrevious(ctx context.Context, l *loop, own, at deployment.Position) {
	if l.previousPullsEpoch < own.Epoch {
		l.previousPullsEpoch, l.previousPulls = own.Epoch, 0
	}
	if own.Epoch == 0 || own.Epoch != at.Epoch || l.previousPulls >= maxPreviousPulls {
		return
	}
	select {
	case l.pulling <- struct{}{}:
	default:
		return
	}
	l.previousPulls++
	g.running.Go(func() {
		defer func() { <-l.pulling }()
		from, ok := g.View().inEpoch(own.Epoch)
		if !ok {
			return
		}
		if err := g.fetch(ctx, from, own); err != nil && !errors.Is(err, errBusy) {
			g.config.Reread()
		}
	})
}

// fetch asks a peer for the items after a position, and returns once they are in
// force. Its errors are errBusy and those of the call.
func (g *Gossip) fetch(ctx context.Context, from catchup.Peer, after deployment.Position) error {
	limited, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	items := g.config.Replica.Record().Items
	req := itemsRequest{After: after.Revision, Epoch: after.Epoch, Base: largest(items)}
	reply, err := g.client.items(limited, from.IP, req)
	if errors.Is(err, errBusy) {
		g.config.Metrics.busy.Inc()
		return err
	}
	var changed, previous []item
	if err == nil {
		changed, previous, err = reply.unpack(items, req.Base)
	}
	if err != nil {
		g.config.Log.Event("pull.failed", decision.Fields{"peer": from.Name, "epoch": after.Epoch, "after": after.Revision, "error": err.Error()})
		return err
	}
	g.config.Log.Event("pull", decision.Fields{
		"peer": from.Name, "after": after.Revision, "epoch": reply.Epoch, "revision": reply.Revision, "whole": reply.Whole, "items": len(changed),
		"former": len(previous), "bytes": len(reply.Packed) + len(reply.Previous),
	})
	g.config.Replica.Apply(ctx, deployment.Update{
		Items: mapSlice(changed, decodeItem), Position: deployment.Position{Epoch: reply.Epoch, Revision: reply.Revision}, Whole: reply.Whole,
		Lapsing: reply.Lapsing, Previous: mapSlice(previous, decodeItem), Settling: reply.Settling, Source: from.Name,
	})
	g.awaitApplied(ctx, deployment.Position{Epoch: reply.Epoch, Revision: reply.Revision})
	return nil
}

// awaitApplied waits until the node's state is at a position.
func (g *Gossip) awaitApplied(ctx context.Context, at deployment.Position) {
	deadline := time.Now().Add(applyTimeout)
	for g.config.Replica.Snapshot().Before(at) && time.Now().Before(deadline) && wait(ctx, applyCheck) {
		continue
	}
}

// unpack returns the changed items of a reply, and those of previous epochs. The
// requester's own items contain the base that the reply may refer to.
func (r *itemsReply) unpack(own []deployment.Item, name itemName) (changed, previous []item, err error) {
	var base []byte
	if r.Based {
		base = valueOf(own, name)
	}
	if changed, err = unpack(r.Packed, base); err != nil || len(r.Previous) == 0 {
		return changed, nil, err
	}
	previous, err = unpack(r.Previous, base)
	return changed, previous, err
}
