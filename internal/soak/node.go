package soak

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"bulrushhinge.example/bulrushhinge/platform"
	"bulrushhinge.example/bulrushhinge/platform/standin"
)

// node is one real process of the fleet.
type node struct {
	standin.Settings
	program string
	folder  string
	// store stands between the node and the store.
	store *proxy
	// front stands between callers and the node.
	front *proxy

	// turn is held from a planned or unplanned end to the next start: two faults
	// that restart one node would leave a process that nobody ends.
	turn sync.Mutex
	mu   sync.Mutex
	cmd  *exec.Cmd
	// incarnation counts starts.
	incarnation int
	exited      chan struct{}
}

// start starts the process; its log goes to a file of its own.
func (n *node) start() error {
	n.mu.Lock()
	defer n.mu.Unlock()
	file := filepath.Join(n.folder, n.Node+".conf")
	if err := os.WriteFile(file, []byte(n.File()), 0o600); err != nil {
		return fmt.Errorf("soak: %s: %w", n.Node, err)
	}
	n.incarnation++
	log, err := os.Create(filepath.Join(n.folder, fmt.Sprintf("%s-%d.log", n.Node, n.incarnation)))
	if err != nil {
		return fmt.Errorf("soak: %s: %w", n.Node, err)
	}
	n.cmd = exec.Command(n.program, "serve")
	n.cmd.Env = append(os.Environ(), platform.SettingsEnv+"="+file)
	n.cmd.Stdout, n.cmd.Stderr = log, log
	if err := n.cmd.Start(); err != nil {
		return fmt.Errorf("soak: %s: %w", n.Node, err)
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
