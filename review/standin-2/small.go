package main

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"
)

// zones are the zones of the deployment.
var zones = []string{"hall-escale", "hall-randoulene", "hall-mbour1"}

// workerLines returns the lines that the workers have logged.
func (w *world) workerLines() []string {
	var lines []string
	logs, _ := filepath.Glob(filepath.Join(w.dir, "worker-*.log"))
	for _, name := range logs {
		data, _ := os.ReadFile(name)
		lines = append(lines, strings.Split(string(data), "\n")...)
	}
	return lines
}

// small starts workers of a service and nodes, and waits until they are ready.
func (w *world) small(service string, workers, nodes int, extra ...string) error {
	for i := range workers {
		flags := extra
		if w.linked {
			k, err := newLink(w.ip(80+i), fmt.Sprintf("%s:%d", w.ip(40+i), w.ports[0]))
			if err != nil {
				return err
			}
			w.links = append(w.links, k)
			flags = append(slices.Clone(extra), "--public", k.addr())
		}
		p, err := w.worker(fmt.Sprintf("i-%08x", 0x7f3a91c0+i), service, zones[i%len(zones)], 40+i, flags...)
		if err != nil {
			return err
		}
		w.workers = append(w.workers, p)
	}
	var seeds []string
	for i := range min(nodes, 3) {
		seeds = append(seeds, w.ip(10+i))
	}
	for i := range nodes {
		p, err := w.node(fmt.Sprintf("front-%s-%d", zones[i%len(zones)], 1+i/len(zones)), zones[i%len(zones)], 10+i, seeds, w.settings...)
		if err != nil {
			return err
		}
		w.nodeProcs = append(w.nodeProcs, p)
	}
	if err := w.ready(service, workers); err != nil {
		return err
	}
	// From now on the nodes are in touch.
	time.Sleep(4 * time.Second)
	return nil
}
