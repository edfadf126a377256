package soak

import (
	"context"
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// memoryLimit is the memory of the smallest machine.
	memoryLimit = 160 << 20
	// watchInterval is how often the processes are looked at.
	watchInterval = 50 * time.Millisecond
)

// processes records the memory of the nodes' processes, and those that end by
// themselves.
type processes struct {
	mu sync.Mutex
	// most is the most resident memory of a process, and mostOf its name.
	most   int
	mostOf string
	broken []string
}

// watchProcesses watches the nodes' processes until ctx ends. One that has ended by
// itself is started again.
func (s *soak) watchProcesses(ctx context.Context) {
	for sleep(ctx, watchInterval) {
		for _, n := range s.nodes {
			if !n.restarting.TryLock() {
				continue
			}
			name := fmt.Sprintf("%s (start %d)", n.Node, n.Starts())
			if n.WaitExit(0) {
				s.processes.recordEnd(name, time.Since(s.began))
				s.recordError(n.Start())
			} else {
				s.processes.recordMemory(name, residentMemory(n.PID()))
			}
			n.restarting.Unlock()
		}
	}
}

func (p *processes) recordEnd(name string, at time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.broken = append(p.broken, fmt.Sprintf("%s ended by itself at %.1f s", name, at.Seconds()))
}

func (p *processes) recordMemory(name string, bytes int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if bytes > p.most {
		p.most, p.mostOf = bytes, name
	}
}

// report returns the most memory that a process used.
func (p *processes) report() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return fmt.Sprintf("%.1f MB resident at most, in %s", float64(p.most)/(1<<20), p.mostOf)
}

func (p *processes) check() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	broken := p.broken
	if p.most > memoryLimit {
		broken = append(broken, fmt.Sprintf("%s used %d bytes of memory", p.mostOf, p.most))
	}
	return broken
}

// residentMemory returns the resident memory of a process, 0 if it has ended.
func residentMemory(pid int) int {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(text))
	if len(fields) < 2 {
		return 0
	}
	pages, err := strconv.Atoi(fields[1])
	if err != nil {
		return 0
	}
	return pages * os.Getpagesize()
}
