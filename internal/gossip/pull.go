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

	"bulrushhinge.example/bulrushhinge/internal/decision"
	"bulrushhinge.example/bulrushhinge/internal/deployment"
)

const (
	itemsCall = "/bulrushhinge.Gossip/Items"
	// pullDelay is how long a node that reads the store waits for it to tell
	// what a peer already knows; watches are told at about the same time.
	pullDelay = 250 * time.Millisecond
	// pullTimeout bounds a call to a peer, whose connection may be silent.
	pullTimeout = 800 * time.Millisecond
	// peersRecalled is how many peers are asked what holds of earlier epochs.
	peersRecalled = 3
)

// errCall is returned for a call that a node does not know.
var errCall = errors.New("gossip: unknown call")

type (
	// caller calls other nodes.
	caller struct{ port uint16 }

	// server answers other nodes' calls.
	server struct {
		cancel  context.CancelFunc
		running sync.WaitGroup
	}

	// handler answers calls.
	handler struct {
		book   Book
		packer *packer
	}
)

func newCaller(port uint16) *caller { return &caller{port: port} }

func newServer(ctx context.Context, l net.Listener, book Book) *server {
	ctx, cancel := context.WithCancel(ctx)
	s := &server{cancel: cancel}
	s.running.Go(func() {
		// The server ends with its context.
		_ = drpcserver.New(handler{book: book, packer: newPacker(book)}).Serve(ctx, l)
	})
	return s
}

func (s *server) close() {
	s.cancel()
	s.running.Wait()
}

// HandleRPC answers one call.
func (h handler) HandleRPC(stream drpc.Stream, rpc string) error {
	if rpc != itemsCall {
		return errCall
	}
	var req itemsRequest
	if err := stream.MsgRecv(&req, codec{}); err != nil {
		return err
	}
	packed, err := h.packer.reply(req)
	if err != nil {
		return err
	}
	reply := *packed
	reply.Lapsing, reply.Settling = h.book.Lapsing(), h.book.Settling()
	if err := stream.MsgSend(&reply, codec{}); err != nil {
		return err
	}
	return stream.CloseSend()
}

// items asks a node for the items that changed after a position.
func (c *caller) items(ctx context.Context, ip netip.Addr, req itemsRequest) (*itemsReply, error) {
	var d net.Dialer
	raw, err := d.DialContext(ctx, "tcp4", netip.AddrPortFrom(ip, c.port).String())
	if err != nil {
		return nil, fmt.Errorf("gossip: items: %w", err)
	}
	conn := drpcconn.New(raw)
	defer func() { _ = conn.Close() }()
	var reply itemsReply
	if err := conn.Invoke(ctx, itemsCall, codec{}, &req, &reply); err != nil {
		return nil, fmt.Errorf("gossip: items: %w", err)
	}
	return &reply, nil
}

// pull takes from a peer what it has read of the store and this node has not.
//
// A node may be cut off from the store while others are not. Any node that knows
// more is asked, one at a time.
func (g *Gossip) pull(ctx context.Context, o *owner) {
	select {
	case o.pulling <- struct{}{}:
	default:
		return
	}
	g.running.Go(func() {
		defer func() { <-o.pulling }()
		if g.config.Book.Access() == deployment.Reading {
			select {
			case <-time.After(pullDelay):
			case <-ctx.Done():
				return
			}
		}
		after := g.config.Book.Snapshot().Position
		if from, ok := g.View().informed(after); ok {
			g.fetch(ctx, from, after)
		}
	})
}

// recall asks some peers, in each epoch, what still holds of earlier epochs.
//
// A node that starts just after the store was restored reads a configuration that
// is older than the one in force, and endpoints that have left. A peer may have
// started just as late.
func (g *Gossip) recall(ctx context.Context, o *owner, own, at deployment.Position) {
	if o.recalling < own.Epoch {
		o.recalling, o.recalls = own.Epoch, 0
	}
	if own.Epoch == 0 || own.Epoch != at.Epoch || o.recalls >= peersRecalled {
		return
	}
	select {
	case o.pulling <- struct{}{}:
	default:
		return
	}
	o.recalls++
	g.running.Go(func() {
		defer func() { <-o.pulling }()
		if from, ok := g.View().contemporary(own.Epoch); ok {
			g.fetch(ctx, from, own)
		}
	})
}

func (g *Gossip) fetch(ctx context.Context, from Member, after deployment.Position) {
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	items := g.config.Book.Record().Items
	req := itemsRequest{After: after.Revision, Epoch: after.Epoch, Base: largest(items)}
	reply, err := g.caller.items(ctx, from.IP, req)
	var news, former []item
	if err == nil {
		news, former, err = reply.unpack(items, req.Base)
	}
	if err != nil {
		g.config.Log.Event("pull.failed", decision.Fields{"peer": from.Name, "epoch": after.Epoch, "after": after.Revision, "error": err.Error()})
		g.config.Untold()
		return
	}
	g.config.Log.Event("pull", decision.Fields{
		"peer": from.Name, "after": after.Revision, "epoch": reply.Epoch, "revision": reply.Revision, "whole": reply.Whole, "items": len(news),
		"former": len(former), "bytes": len(reply.Packed) + len(reply.Former),
	})
	g.config.Book.Apply(ctx, deployment.Update{
		Items: mapped(news, decodeItem), Position: deployment.Position{Epoch: reply.Epoch, Revision: reply.Revision}, Whole: reply.Whole,
		Lapsing: reply.Lapsing, Former: mapped(former, decodeItem), Settling: reply.Settling, Source: from.Name,
	})
}

// unpack returns the items of a reply, and those of earlier epochs. The caller's
// own items have the base that the reply may refer to.
func (r *itemsReply) unpack(own []deployment.Item, name itemName) (news, former []item, err error) {
	var base []byte
	if r.Based {
		base = valueOf(own, name)
	}
	if news, err = unpack(r.Packed, base); err != nil || len(r.Former) == 0 {
		return news, nil, err
	}
	former, err = unpack(r.Former, base)
	return news, former, err
}
