package deployment

import (
	"bytes"
	"cmp"
	"encoding/binary"
	"hash/fnv"
	"net/netip"
	"slices"
	"time"
)

type (
	// Endpoint is one process that runs requests.
	Endpoint struct {
		// ID identifies the process, also after a restart.
		ID string
		// Born is when the process started, in whole milliseconds; zero if its
		// entry does not say.
		Born    time.Time
		Service string
		Addr    netip.AddrPort
		Zone    string
		// Slots is how many requests it runs at once.
		Slots int
		// Draining endpoints take no new requests.
		Draining bool
		// Position is that of its entry.
		Position
		// Version is the software's version.
		Version string
		// Cold is how much longer it was cold when it wrote its entry: slow, and
		// able to sustain only few requests.
		Cold time.Duration
		// ColdUntil is the expected end of its cold time, by this node's clock;
		// zero if it was never known to be cold.
		ColdUntil time.Time
		// Replaced says that another endpoint has since appeared at its address: it
		// is probably dead, though its entry has not lapsed yet.
		Replaced bool
		// Evacuated says that its availability zone is evacuated: nothing more may
		// be sent to it, and the requests that it runs finish there.
		Evacuated bool
	}

	// Start identifies one start of an endpoint's process.
	//
	// A process may restart under the same ID, without any of its earlier state.
	// What was learned of the earlier start (health, load, cached prompts, open
	// connections) would send requests to a cache that is gone, or keep them away
	// from a healthy process.
	Start struct {
		ID   string
		Born time.Time
	}

	// Item is one key of the platform's store with its value.
	Item struct {
		Key   string
		Value []byte
		// Revision is that of its last change, in the epoch of the update or record
		// that contains it.
		Revision uint64
		Removed  bool
	}

	// Evacuation is an operator's request to send nothing more to the endpoints of
	// an availability zone, or to end that.
	Evacuation struct {
		Zone string
		// Ended says that the evacuation has ended.
		Ended bool
	}

	// Evacuated describes an availability zone that is evacuated.
	Evacuated struct {
		// Position is that of the evacuation.
		Position
		// Since is when this node learned of it, and Source the store or peer that
		// reported it.
		Since  time.Time `json:"since"`
		Source string    `json:"source"`
	}

	// Change is what one item decodes to; at most one of the fields is set.
	Change struct {
		Config     *Config
		Endpoint   *Endpoint
		Evacuation *Evacuation
		// Removed is the ID of an endpoint whose entry is gone.
		Removed string
	}

	// Decoder decodes the platform's items. It returns an empty change for items
	// that have no meaning here. A change that comes with an error still applies:
	// an entry that cannot be decoded names no endpoint.
	Decoder interface {
		Decode(item Item) (Change, error)
	}

	// Snapshot is a node's view of the deployment at one moment. It is immutable.
	Snapshot struct {
		// Config is nil until the first configuration is known.
		Config *Config
		// Position is the one up to which all changes are known.
		Position
		// Endpoints are those of each service, sorted by ID, including draining
		// ones.
		Endpoints map[string][]*Endpoint
		// Evacuated are the availability zones that are evacuated, by name.
		Evacuated map[string]Evacuated

		// leaveNotices are the leaves that endpoints themselves have announced, and
		// unstored those that the store does not show yet, which are sent to other
		// nodes.
		leaveNotices map[Start]leaveNotice
		unstored     []leaveNotice
	}
)

// same reports whether two items are one change.
func (i *Item) same(o Item) bool {
	return i.Key == o.Key && i.Revision == o.Revision && i.Removed == o.Removed && bytes.Equal(i.Value, o.Value)
}

// Start returns the identity of this start of the endpoint's process.
func (e *Endpoint) Start() Start { return Start{ID: e.ID, Born: e.Born} }

// Key returns a hash that identifies a start in messages between nodes. Two starts
// may have the same Key.
func (s Start) Key() uint32 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(s.ID))
	if !s.Born.IsZero() {
		_, _ = h.Write(binary.LittleEndian.AppendUint64(nil, uint64(s.Born.UnixMilli())))
	}
	return h.Sum32()
}

// Find returns the endpoint of a service with this start, or nil if it is not
// known.
func (s *Snapshot) Find(service string, start Start) *Endpoint {
	list := s.Endpoints[service]
	i, ok := slices.BinarySearchFunc(list, start.ID, func(e *Endpoint, id string) int { return cmp.Compare(e.ID, id) })
	if !ok || list[i].Start() != start {
		return nil
	}
	return list[i]
}

// AcceptsRequests reports whether the endpoint may be sent new requests.
func (e *Endpoint) AcceptsRequests() bool { return !e.Draining && !e.Evacuated }

// IsCold reports whether the endpoint is cold and sustains only few requests.
func (e *Endpoint) IsCold(now time.Time) bool { return now.Before(e.ColdUntil) }
