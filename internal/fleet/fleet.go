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
	// maxListed is the most addresses that a directory lists.
	maxListed = 64
	// pollInterval is how often the directories are polled.
	pollInterval = 20 * time.Millisecond
)

// ErrIncomplete is returned if the directories do not list all nodes in time.
var ErrIncomplete = errors.New("fleet: the directories do not list all nodes")

// WaitForMembers waits until the directory of each node lists all of them, or as many
// as a directory can. It returns ErrIncomplete on timeout.
func WaitForMembers(nodes []standin.Settings, timeout time.Duration) error {
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(pollInterval) {
		complete := 0
		for _, n := range nodes {
			if list, _, err := standin.Resolve(n.Directory()); err == nil && len(list) == min(len(nodes), maxListed) {
				complete++
			}
		}
		if complete == len(nodes) {
			return nil
		}
	}
	return ErrIncomplete
}

// FreePort returns a port of ip that is free at the moment; it is not reserved.
func FreePort(ip netip.Addr) (uint16, error) {
	l, err := net.Listen("tcp4", netip.AddrPortFrom(ip, 0).String())
	if err != nil {
		return 0, fmt.Errorf("fleet: free port: %w", err)
	}
	defer func() { _ = l.Close() }()
	return netip.MustParseAddrPort(l.Addr().String()).Port(), nil
}
