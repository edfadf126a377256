package fleet

import (
	"errors"
	"fmt"
	"net"
	"net/netip"
	"time"

	"bulrushhinge.example/bulrushhinge/platform/standin"
)

const (
	// maxNamed is how many addresses a directory names at most.
	maxNamed = 64
	// meetPoll is how often the directories are asked.
	meetPoll = 20 * time.Millisecond
)

// ErrApart is returned where nodes have not found each other.
var ErrApart = errors.New("fleet: the nodes have not found each other")

// Meet waits until the directory of each node names all of them, or as many as
// it may.
func Meet(nodes []standin.Settings, within time.Duration) error {
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(meetPoll) {
		met := 0
		for _, n := range nodes {
			if list, _, err := standin.Resolve(n.Directory()); err == nil && len(list) == min(len(nodes), maxNamed) {
				met++
			}
		}
		if met == len(nodes) {
			return nil
		}
	}
	return ErrApart
}

// FreePort returns a port that was free at an address just now.
func FreePort(ip netip.Addr) (uint16, error) {
	l, err := net.Listen("tcp4", netip.AddrPortFrom(ip, 0).String())
	if err != nil {
		return 0, fmt.Errorf("fleet: free port: %w", err)
	}
	defer func() { _ = l.Close() }()
	return netip.MustParseAddrPort(l.Addr().String()).Port(), nil
}
