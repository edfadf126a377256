package catchup

import (
	"sync"
	"time"
)

const (
	// minLink is the capacity that a link has at least, in bytes a second.
	minLink = 10_000_000 / 8
	// maxBacklog is how long the replies in progress may occupy the link: half of the
	// time for which peers wait.
	maxBacklog = 400 * time.Millisecond
	// minCost is what a reply counts at least, for its processor time.
	minCost = 16 << 10
)

// Server limits the replies that a node sends to its peers at a time. It is safe for
// concurrent use.
type Server struct {
	maxInFlight int
	mu          sync.Mutex
	inFlight    int
}

// NewServer returns a Server that has nothing to send. The link is the capacity of the
// node's own, in bytes a second; 0 if it is not known.
func NewServer(link int) *Server {
	return &Server{maxInFlight: int(maxBacklog.Seconds() * float64(max(link, minLink)))}
}

// Begin reports whether a reply of some size may be sent now; End must follow if it
// may. A reply that exceeds the limit by itself is sent alone.
//
// Without a limit, replies to many peers share the link, all of them exceed the
// peers' timeout, and the peers ask again.
func (s *Server) Begin(bytes int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.inFlight > 0 && s.inFlight+max(bytes, minCost) > s.maxInFlight {
		return false
	}
	s.inFlight += max(bytes, minCost)
	return true
}

// End records that a reply of some size has been sent.
func (s *Server) End(bytes int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inFlight -= max(bytes, minCost)
}
