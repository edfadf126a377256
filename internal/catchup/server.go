package catchup

import "sync"

const (
	// maxInFlight bounds the bytes of the replies in progress: what a link of
	// 10 Mbit/s sends in 0.4 s, half of the time for which peers wait.
	maxInFlight = 512 << 10
	// minCost is what a reply counts at least, for its processor time.
	minCost = 16 << 10
)

// Server limits the replies that a node sends to its peers at a time. It is safe for
// concurrent use.
type Server struct {
	mu       sync.Mutex
	inFlight int
}

// Begin reports whether a reply of some size may be sent now; End must follow if it
// may. A reply that exceeds the limit by itself is sent alone.
//
// Without a limit, replies to many peers share the link, all of them exceed the
// peers' timeout, and the peers ask again.
func (s *Server) Begin(bytes int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.inFlight > 0 && s.inFlight+max(bytes, minCost) > maxInFlight {
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
