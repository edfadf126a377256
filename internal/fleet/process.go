// Package fleet runs the real program as processes on loopback, for soak runs,
// experiments and tests.
package fleet

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

// Process is one node of an installation on loopback, run by the real program.
type Process struct {
	standin.Settings
	// Program is the program's path, and Folder receives settings and logs.
	Program string
	Folder  string
	// Args are further arguments of the program.
	Args []string

	mu     sync.Mutex
	cmd    *exec.Cmd
	starts int
	exited chan struct{}
}

// Start writes the settings and starts the program; each start has a log file of its
// own.
func (p *Process) Start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	file := filepath.Join(p.Folder, p.Node+".conf")
	if err := os.WriteFile(file, []byte(p.File()), 0o600); err != nil {
		return fmt.Errorf("fleet: %s: %w", p.Node, err)
	}
	p.starts++
	log, err := os.Create(filepath.Join(p.Folder, fmt.Sprintf("%s-%d.log", p.Node, p.starts)))
	if err != nil {
		return fmt.Errorf("fleet: %s: %w", p.Node, err)
	}
	cmd := exec.Command(p.Program, append([]string{"serve"}, p.Args...)...)
	cmd.Env = append(os.Environ(), platform.SettingsEnv+"="+file)
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("fleet: %s: %w", p.Node, err)
	}
	exited := make(chan struct{})
	p.cmd, p.exited = cmd, exited
	go func() {
		// A process that was killed ends with an error.
		_ = cmd.Wait()
		_ = log.Close()
		close(exited)
	}()
	return nil
}

// Signal sends a signal to the process that was started last, if any.
func (p *Process) Signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil && p.cmd.Process != nil {
		_ = p.cmd.Process.Signal(s)
	}
}

// WaitExit waits until the process has exited, and reports whether it did before the
// timeout.
func (p *Process) WaitExit(timeout time.Duration) bool {
	p.mu.Lock()
	exited := p.exited
	p.mu.Unlock()
	select {
	case <-exited:
		return true
	case <-time.After(timeout):
		return false
	}
}

// PID returns the ID of the process that was started last, 0 if there is none.
func (p *Process) PID() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil || p.cmd.Process == nil {
		return 0
	}
	return p.cmd.Process.Pid
}

// Starts returns how often the program was started.
func (p *Process) Starts() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.starts
}
