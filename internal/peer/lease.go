package peer

import (
	"context"
	"net/netip"
	"time"

	"bulrushhinge.example/bulrushhinge/internal/kernel"
	"bulrushhinge.example/bulrushhinge/internal/peer/peerpb"
	"bulrushhinge.example/bulrushhinge/internal/poison"
)

// Leases grants the right to run suspected requests.
type Leases interface {
	Acquire(now time.Time, l poison.Lease) bool
	Release(now time.Time, l poison.Lease, died bool)
}

// Acquire requests a lease from a node, and reports whether it was granted.
func (c *Client) Acquire(ctx context.Context, to netip.AddrPort, l poison.Lease) (bool, error) {
	reply, err := c.rpcClient(ctx, to).Lease(ctx, encodeLease(l))
	if err != nil {
		return false, unreachable(to, err)
	}
	return reply.Granted, nil
}

// ReleaseLease releases a lease. died reports that the endpoint died while it ran the
// request.
func (c *Client) ReleaseLease(ctx context.Context, to netip.AddrPort, l poison.Lease, died bool) error {
	req := encodeLease(l)
	req.Release, req.Died = true, died
	if _, err := c.rpcClient(ctx, to).Lease(ctx, req); err != nil {
		return unreachable(to, err)
	}
	return nil
}

// Lease serves the acquisition and release of leases.
func (h *handler) Lease(_ context.Context, r *peerpb.LeaseRequest) (*peerpb.LeaseReply, error) {
	lease := poison.Lease{Fingerprint: r.Print, ID: r.Id, Duration: time.Duration(r.LeaseMs) * time.Millisecond}
	if r.Release {
		h.config.Leases.Release(time.Now(), lease, r.Died)
		return &peerpb.LeaseReply{}, nil
	}
	return &peerpb.LeaseReply{Granted: h.config.Leases.Acquire(time.Now(), lease)}, nil
}

func encodeLease(l poison.Lease) *peerpb.LeaseRequest {
	return &peerpb.LeaseRequest{Print: l.Fingerprint, Id: l.ID, LeaseMs: uint32(max(l.Duration.Milliseconds(), 0))}
}

func encodeSuspect(s kernel.Suspicion) *peerpb.Suspect {
	return &peerpb.Suspect{Print: s.Fingerprint, Endpoints: s.Endpoints, AgeMs: uint32(max(s.Age.Milliseconds(), 0))}
}

func decodeSuspect(s *peerpb.Suspect) kernel.Suspicion {
	return kernel.Suspicion{Fingerprint: s.Print, Endpoints: s.Endpoints, Age: time.Duration(s.AgeMs) * time.Millisecond}
}
