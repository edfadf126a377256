package permit

import (
	"maps"
	"slices"
	"sync"
	"time"

	"bulrushhinge.example/bulrushhinge/internal/kernel"
)

// releaseDelay is how long a released permit waits for another message to its owner
// to be sent with.
const (
	releaseDelay = 4 * time.Millisecond
	// maxReleases bounds the releases queued for an owner that cannot be reached.
	// Permits beyond it end with their leases.
	maxReleases = 1 << 10
)

type (
	// Holder tracks the permits of the node's running requests, from all owners. It
	// is safe for concurrent use.
	Holder struct {
		mu       sync.Mutex
		permits  map[uint64]held
		releases map[string]pendingReleases
		// lastView is the view in which owners were last checked for changes.
		lastView *kernel.View
	}

	// OwnerBatch is a batch for an owner.
	OwnerBatch struct {
		Owner string
		Batch Batch
	}

	// pendingReleases lists permits that wait to be released at one owner.
	pendingReleases struct {
		since time.Time
		list  []Release
	}

	held struct {
		since       time.Time
		endpoint    string
		owner       string
		incarnation uint64
		tokens      int
		expires     time.Time
	}
)

// NewHolder returns an empty Holder.
func NewHolder() *Holder {
	return &Holder{permits: map[uint64]held{}, releases: map[string]pendingReleases{}}
}

// Add records a permit that the owner of an endpoint granted.
func (h *Holder) Add(now time.Time, v *kernel.View, owner string, a Request) {
	n, _ := v.Node(owner)
	h.mu.Lock()
	defer h.mu.Unlock()
	h.permits[a.ID] = held{
		since: now, endpoint: a.Endpoint, owner: owner, incarnation: n.Incarnation,
		tokens: a.Tokens, expires: now.Add(a.Lease),
	}
}

// Release removes a permit and queues its release. It returns the owner, or "" if the
// permit is not held.
func (h *Holder) Release(now time.Time, id uint64) string {
	return h.drop(now, id, true)
}

// ReleaseFailed is Release for a request that failed early: how long it ran says nothing about
// the speed of its endpoint and is not reported.
func (h *Holder) ReleaseFailed(now time.Time, id uint64) string {
	return h.drop(now, id, false)
}

// QueueReleases queues releases for an owner that may have granted the permits.
func (h *Holder) QueueReleases(now time.Time, owner string, list ...Release) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, r := range list {
		h.queueRelease(now, owner, r)
	}
}

// TakeReleases removes and returns the releases queued for an owner, to be sent with
// another message.
func (h *Holder) TakeReleases(owner string) []Release {
	h.mu.Lock()
	defer h.mu.Unlock()
	list := h.releases[owner].list
	delete(h.releases, owner)
	return list
}

// Loads returns the work that the node has in progress, by endpoint, sorted by
// name.
func (h *Holder) Loads() []kernel.EndpointLoad {
	h.mu.Lock()
	defer h.mu.Unlock()
	loads := map[string]kernel.Load{}
	for _, p := range h.permits {
		loads[p.endpoint] = loads[p.endpoint].Add(kernel.Load{Requests: 1, Tokens: p.tokens})
	}
	list := make([]kernel.EndpointLoad, 0, len(loads))
	for _, name := range slices.Sorted(maps.Keys(loads)) {
		list = append(list, kernel.EndpointLoad{Endpoint: name, Load: loads[name]})
	}
	return list
}

// Load returns the work that the node has in progress at an endpoint.
func (h *Holder) Load(endpoint string) kernel.Load {
	h.mu.Lock()
	defer h.mu.Unlock()
	var l kernel.Load
	for _, p := range h.permits {
		if p.endpoint == endpoint {
			l = l.Add(kernel.Load{Requests: 1, Tokens: p.tokens})
		}
	}
	return l
}

// Due returns the batches to send now: releases whose delay has passed, and
// declarations of permits whose endpoint has another owner than the one that
// granted them, or whose owner has restarted since.
//
// An owner knows only the permits that it granted itself. After a change of owner
// the new one would consider the endpoint idle and admit the same amount of work
// again. So every node declares to the new owner what it has in progress there.
func (h *Holder) Due(now time.Time, v *kernel.View) []OwnerBatch {
	h.mu.Lock()
	defer h.mu.Unlock()
	batches := map[string]*Batch{}
	if v != h.lastView {
		h.lastView = v
		h.redeclare(now, v, batches)
	}
	for owner, r := range h.releases {
		if batches[owner] == nil && now.Sub(r.since) < releaseDelay {
			continue
		}
		if batches[owner] == nil {
			batches[owner] = &Batch{}
		}
		batches[owner].Releases = r.list
		delete(h.releases, owner)
	}
	sends := make([]OwnerBatch, 0, len(batches))
	for _, owner := range slices.Sorted(maps.Keys(batches)) {
		sends = append(sends, OwnerBatch{Owner: owner, Batch: *batches[owner]})
	}
	return sends
}

func (h *Holder) redeclare(now time.Time, v *kernel.View, batches map[string]*Batch) {
	for _, id := range slices.Sorted(maps.Keys(h.permits)) {
		p := h.permits[id]
		owner, known := ownerOf(v, p.endpoint)
		if now.After(p.expires) {
			delete(h.permits, id)
			continue
		}
		if !known || owner == (ownerKey{p.owner, p.incarnation}) {
			continue
		}
		if p.owner != owner.name {
			h.queueRelease(now, p.owner, Release{ID: id})
		}
		if batches[owner.name] == nil {
			batches[owner.name] = &Batch{}
		}
		b := batches[owner.name]
		b.Declared = append(b.Declared, Request{
			ID: id, Endpoint: p.endpoint, Node: v.Self.Name, Tokens: p.tokens, Lease: p.expires.Sub(now),
		})
		p.owner, p.incarnation = owner.name, owner.incarnation
		h.permits[id] = p
	}
}

func (h *Holder) drop(now time.Time, id uint64, ran bool) string {
	h.mu.Lock()
	defer h.mu.Unlock()
	p, ok := h.permits[id]
	if !ok {
		return ""
	}
	delete(h.permits, id)
	r := Release{ID: id}
	if ran {
		r.Took = now.Sub(p.since)
	}
	h.queueRelease(now, p.owner, r)
	return p.owner
}

func (h *Holder) queueRelease(now time.Time, owner string, item Release) {
	r := h.releases[owner]
	if len(r.list) >= maxReleases {
		return
	}
	if len(r.list) == 0 {
		r.since = now
	}
	r.list = append(r.list, item)
	h.releases[owner] = r
}

type ownerKey struct {
	name        string
	incarnation uint64
}

// ownerOf returns the owner of an endpoint.
func ownerOf(v *kernel.View, endpoint string) (ownerKey, bool) {
	e, _, ok := find(v, endpoint)
	if !ok {
		return ownerKey{}, false
	}
	n, ok := v.Node(e.Owner)
	return ownerKey{n.Name, n.Incarnation}, ok
}
