package main

import (
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"
)

// emptySegment has a configuration add a route for all other paths of a host. Clients send
// paths to it that begin with an empty segment, and others.
func emptySegment(w *world) (bool, error) {
	if err := w.configure(7, safeRoute); err != nil {
		return false, err
	}
	if err := w.small("wuno96b", 2, 2); err != nil {
		return false, err
	}
	if w.trouble {
		every := safeRoute
		every.Name, every.Prefix = "r-every", "/"
		if err := w.configure(12, safeRoute, every); err != nil {
			return false, err
		}
		w.note("version 12 adds a route for /")
	}
	time.Sleep(contact)
	sent := map[string]string{}
	for i := range 20 {
		a := ask{node: w.front(i % 2), method: http.MethodGet, path: fmt.Sprintf("/lohu930/2f?n=%d", i), pieces: 1, deadline: 3 * time.Second}
		if i%4 > 1 {
			a.path = "/" + a.path
		}
		r := a.send()
		sent[r.id] = a.path
		w.note("request %s GET %s: status %d", r.id, a.path, r.status)
	}
	runs, changed := 0, 0
	for _, line := range w.workerLines() {
		_, rest, ok := strings.Cut(line, ": runs ")
		f := strings.Fields(rest)
		if !ok || len(f) != 3 || sent[f[0]] == "" {
			continue
		}
		runs++
		if f[2] != sent[f[0]] {
			changed++
			w.note("request %s was sent as %s and run as %s", f[0], sent[f[0]], f[2])
		}
	}
	w.note("%d of %d requests ran, %d with another path", runs, len(sent), changed)
	if w.trouble && runs == 0 {
		return false, fmt.Errorf("no request ran")
	}
	return changed > 0, nil
}

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

// zones are the zones of the deployment.
var zones = []string{"hall-escale", "hall-randoulene", "hall-mbour1"}

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
