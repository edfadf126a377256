package soak

import (
	"fmt"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// node is one real process of the fleet.
type node struct {
	name    string
	ip      netip.Addr
	port    uint16
	program string
	folder  string
	// store stands between the node and the store.
	store *proxy
	// front stands between callers and the node.
	front *proxy

	mu  sync.Mutex
	cmd *exec.Cmd
	// incarnation counts starts.
	incarnation int
	exited      chan struct{}
}

func (n *node) at(offset uint16) netip.AddrPort { return netip.AddrPortFrom(n.ip, n.port+offset) }

// settings is the platform's settings file of the node.
func (n *node) settings(seeds []string) string {
	lines := []string{
		"node_name=" + n.name, "zone=z1", "region=r1", "ip=" + n.ip.String(),
		"listen.front=" + n.at(1).String(), "listen.directory=" + n.at(2).String(), "listen.ready=" + n.at(3).String(),
		fmt.Sprintf("internal_ports=%d,%d", n.port, n.port+15), "seeds=" + strings.Join(seeds, ","),
		"platform.address=" + n.store.addr().String(), "limits.memory_mb=284",
		fmt.Sprintf("bounds.drain_ms=%d", drainBound.Milliseconds()), fmt.Sprintf("bounds.grace_s=%v", grace.Seconds()),
		"bounds.ttl_max_s=5", "bounds.retry_budget_ratio=0.2", "bounds.budget_window_s=10", fmt.Sprintf("bounds.retry_slack=%d", retrySlack),
	}
	return strings.Join(lines, "\n") + "\n"
}

// start starts the process; its log goes to a file of its own.
func (n *node) start(seeds []string) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	file := filepath.Join(n.folder, n.name+".conf")
	if err := os.WriteFile(file, []byte(n.settings(seeds)), 0o600); err != nil {
		return fmt.Errorf("soak: %s: %w", n.name, err)
	}
	n.incarnation++
	log, err := os.Create(filepath.Join(n.folder, fmt.Sprintf("%s-%d.log", n.name, n.incarnation)))
	if err != nil {
		return fmt.Errorf("soak: %s: %w", n.name, err)
	}
	n.cmd = exec.Command(n.program, "serve")
	n.cmd.Env = append(os.Environ(), "BULRUSHHINGE_NODE_FILE="+file)
	n.cmd.Stdout, n.cmd.Stderr = log, log
	if err := n.cmd.Start(); err != nil {
		return fmt.Errorf("soak: %s: %w", n.name, err)
	}
	exited := make(chan struct{})
	n.exited = exited
	cmd := n.cmd
	go func() {
		// A process that was killed ends with an error.
		_ = cmd.Wait()
		_ = log.Close()
		close(exited)
	}()
	return nil
}

// signal sends a signal to the process that this node started.
func (n *node) signal(s syscall.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cmd != nil && n.cmd.Process != nil {
		_ = n.cmd.Process.Signal(s)
	}
}

// gone waits until the process has ended, and reports whether it has in time.
func (n *node) gone(within time.Duration) bool {
	n.mu.Lock()
	exited := n.exited
	n.mu.Unlock()
	select {
	case <-exited:
		return true
	case <-time.After(within):
		return false
	}
}

// life returns how often the process was started.
func (n *node) life() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.incarnation
}
