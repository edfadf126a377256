package main

import (
	"bufio"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	heartbeat = 1200 * time.Millisecond
	drainTime = 2 * time.Second
	graceTime = 8 * time.Second
	startTime = 20 * time.Second
)

type (
	fields = map[string]any

	// system is a small deployment on loopback: a store, some nodes and workers. The
	// nodes are the project's own program, run by the command of the deploy file.
	system struct {
		root    string
		folder  string
		network string
		record  *record
		store   *store
		closing atomic.Bool
		address string

		mu      sync.Mutex
		nodes   []*process
		workers map[string]*process
		// lines are the methods and targets that clients sent, by request; runs are the
		// workers' lines about requests that ran.
		lines map[string]string
		runs  []string
		// ranAt are the workers that ran each request.
		ranAt map[string]map[string]bool
	}

	// process is a node or a worker.
	process struct {
		name string
		// addr is where it serves requests, and base the first of a node's ports.
		addr string
		base int
		cmd  *exec.Cmd
		done chan struct{}
	}

	// workerConfig configures a worker.
	workerConfig struct {
		service  string
		unframed int
		pause    time.Duration
		slots    int
		// backAfter is how long the worker is down after it has crashed by itself; with
		// 0, it does not come back.
		backAfter time.Duration
	}
)

// newSystem starts a store.
func newSystem(root string, r *record) (*system, error) {
	folder, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	s := &system{
		root: root, folder: folder, record: r, store: newStore(), workers: map[string]*process{}, lines: map[string]string{}, ranAt: map[string]map[string]bool{},
		network: fmt.Sprintf("127.%d.%d.", 64+rand.IntN(64), 1+rand.IntN(250)),
	}
	l, err := net.Listen("tcp4", s.network+"200:0")
	if err != nil {
		return nil, err
	}
	s.address = l.Addr().String()
	go func() { _ = http.Serve(l, s.store) }()
	return s, nil
}

// configure writes a configuration.
func (s *system) configure(version int, routes []fields, services []string) {
	var list []fields
	for _, name := range services {
		list = append(list, fields{"name": name, "health_path": "/health", "max_connections": 110, "protocol": "h1", "tls": false})
	}
	at := s.store.put("op/config", fields{
		"version": version, "routes": routes, "services": list,
		"limits":  fields{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []fields{{"name": "tenant-a", "api_keys": []string{"key-a"}, "priority": 1}},
	})
	s.record.add("config version=%d confirmed=%.3f", version, at.Sub(s.record.began).Seconds())
}

func route(name, prefix, kind, service string, attempts int) fields {
	return fields{
		"name": name, "host": "shop.example", "path_prefix": prefix, "kind": kind, "timeout_ms": 12000, "target_latency_ms": 800, "priority": 1,
		"service": service, "max_attempts": attempts, "public": false, "sticky_sessions": false, "stream_resume": false, "gap_aim_ms": 300,
	}
}

// startNodes starts nodes and waits until all are ready.
func (s *system) startNodes(n int) error {
	base, err := freePorts(s.network, n)
	if err != nil {
		return err
	}
	for i := 1; i <= n; i++ {
		node := &process{name: fmt.Sprintf("front-%d", i), addr: fmt.Sprintf("%s%d:%d", s.network, i, base+20), base: base}
		s.nodes = append(s.nodes, node)
		if err := s.startNode(node, i, min(n, 3)); err != nil {
			return err
		}
	}
	for _, node := range s.nodes {
		if !eventually(startTime, func() bool { return node.ready() }) {
			return fmt.Errorf("%s is not ready", node.name)
		}
	}
	return nil
}

// startNode starts a node with the command of the deploy file.
func (s *system) startNode(node *process, number, seeds int) error {
	ip := fmt.Sprintf("%s%d", s.network, number)
	var list []string
	for i := 1; i <= seeds; i++ {
		list = append(list, fmt.Sprintf("%s%d:%d", s.network, i, node.base+23))
	}
	settings := []string{
		"node_name=" + node.name, "role=router", "machine_class=front", "serves=front,control,directory", "ip=" + ip, "zone=z1", "region=r1", "zones.z1=r1",
		fmt.Sprintf("listen.front=%s:%d", ip, node.base+20), fmt.Sprintf("listen.ready=%s:%d", ip, node.base+21),
		fmt.Sprintf("listen.directory=%s:%d", ip, node.base+22), fmt.Sprintf("listen.control=%s:%d", ip, node.base+23),
		fmt.Sprintf("internal_ports=%d,%d", node.base, node.base+15), "seeds=" + strings.Join(list, ","), "bootstrap=true", "in_fault_budget=false",
		"limits.cpu_share=0.4", "limits.cores=1", "limits.memory_mb=284", "limits.max_fds=4100", "limits.link_mbps=1000.0", "limits.disk_mb=0",
		"discovery=platform", "entry=directory", "heartbeat_ms=1200", "contracts=base,drain,config,cost,retry,recover,engine,stream,tenants,platform",
		"fault_tolerance.machines=1", "fault_tolerance.zones=0", "fault_tolerance.regions=0",
		"bounds.seed_lag_s=3", "bounds.addr_reuse_s=2", "bounds.contact_ms=3000", "bounds.ack_ms=4000", "bounds.catch_up_s=4", "bounds.drain_ms=2000",
		"bounds.grace_s=8", "bounds.loss_slack_ms=200", "bounds.config_apply_ms=2000", "bounds.downgrade_slack_ms=250", "bounds.max_stretch_ms=5000",
		"bounds.fail_closed=false", "bounds.revoke_ms=5000", "bounds.retry_budget_ratio=0.2", "bounds.budget_window_s=10", "bounds.retry_slack=56",
		"bounds.recover_s=12", "bounds.pass_ms=120", "bounds.reuse_window_s=10", "bounds.cap_x=2", "bounds.ttl_max_s=5",
		"platform.address=" + s.address, "platform.form=read", "platform.writes_per_s=400", "platform.reads_per_s=2000", "platform.history_s=20",
		"platform.value_bytes=1048576", "platform.ttl_min_ms=1000",
	}
	file := filepath.Join(s.folder, node.name+".conf")
	if err := os.WriteFile(file, []byte(strings.Join(settings, "\n")+"\n"), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(s.folder, node.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	node.cmd = exec.Command(filepath.Join(s.root, "target/bulrushhinge"), "serve", "--owners", "0.25", "--cost-order", "owned")
	node.cmd.Dir = s.root
	node.cmd.Env = append(os.Environ(), "BULRUSHHINGE_NODE_FILE="+file)
	node.cmd.Stdout, node.cmd.Stderr = log, log
	s.record.add("start node=%s", node.name)
	return node.start()
}

// startWorker starts a worker and registers it.
func (s *system) startWorker(id string, c workerConfig) (*process, error) {
	self, err := os.Executable()
	if err != nil {
		return nil, err
	}
	w := &process{name: id}
	w.cmd = exec.Command(self, "worker", "--id", id, "--addr", s.network+"100:0", fmt.Sprintf("--slots=%d", c.slots), fmt.Sprintf("--unframed=%d", c.unframed), "--pause", c.pause.String())
	w.cmd.Stderr = os.Stderr
	out, in, err := os.Pipe()
	if err != nil {
		return nil, err
	}
	w.cmd.Stdout = in
	err = w.start()
	_ = in.Close()
	if err != nil {
		return nil, err
	}
	lines := bufio.NewScanner(out)
	if !lines.Scan() {
		return nil, errors.New("worker does not listen")
	}
	w.addr = strings.TrimPrefix(lines.Text(), "listening ")
	go func() {
		for lines.Scan() {
			s.record.add("worker=%s %s", id, lines.Text())
			s.ran(id, lines.Text())
		}
		s.ended(id, c)
	}()
	s.mu.Lock()
	s.workers[id] = w
	s.mu.Unlock()
	s.record.add("start worker=%s addr=%s", id, w.addr)
	s.register(id, c, "ready")
	return w, nil
}

// ran keeps a worker's line about a request that ran.
func (s *system) ran(worker, line string) {
	rest, ok := strings.CutPrefix(line, "run ")
	if !ok {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runs = append(s.runs, line)
	id, _, _ := strings.Cut(rest, " ")
	if s.ranAt[id] == nil {
		s.ranAt[id] = map[string]bool{}
	}
	s.ranAt[id][worker] = true
}

// restart starts a node that has ended again.
func (s *system) restart(node *process) error {
	for i, n := range s.nodes {
		if n == node {
			return s.startNode(node, i+1, min(len(s.nodes), 3))
		}
	}
	return nil
}

// ended lets the entry of a worker that has crashed lapse, and starts the worker again
// under a new id if it comes back.
func (s *system) ended(id string, c workerConfig) {
	if s.closing.Load() {
		return
	}
	s.record.add("crashed worker=%s", id)
	time.AfterFunc(3*heartbeat, func() { s.store.remove("servers/" + id) })
	if c.backAfter == 0 {
		return
	}
	time.AfterFunc(c.backAfter, func() {
		if s.closing.Load() {
			return
		}
		if _, err := s.startWorker(id+"b", c); err != nil {
			s.record.add("worker=%s is not back: %v", id, err)
		}
	})
}

// register writes a worker's entry and returns when the store has accepted it.
func (s *system) register(id string, c workerConfig, state string) time.Time {
	s.mu.Lock()
	addr := s.workers[id].addr
	s.mu.Unlock()
	at := s.store.put("servers/"+id, fields{
		"service": c.service, "address": addr, "zone": "z1", "version": "v1", "slots": c.slots, "state": state, "cold_remaining_ms": 0, "sequence": 1,
	})
	s.record.add("entry worker=%s state=%s confirmed=%.3f", id, state, at.Sub(s.record.began).Seconds())
	return at
}

// kill ends a worker as a crash does.
func (s *system) kill(id string) {
	s.mu.Lock()
	w := s.workers[id]
	s.mu.Unlock()
	s.record.add("kill worker=%s", id)
	w.signal(syscall.SIGKILL)
}

// close ends all processes.
func (s *system) close() error {
	s.closing.Store(true)
	for _, n := range s.nodes {
		n.signal(syscall.SIGTERM)
	}
	for _, n := range s.nodes {
		n.wait(graceTime)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, w := range s.workers {
		w.signal(syscall.SIGKILL)
	}
	for _, w := range s.workers {
		w.wait(time.Second)
	}
	if os.Getenv("KEEP") != "" {
		s.record.add("folder=%s", s.folder)
		return nil
	}
	return os.RemoveAll(s.folder)
}

func (p *process) start() error {
	if err := p.cmd.Start(); err != nil {
		return err
	}
	p.done = make(chan struct{})
	go func() {
		_ = p.cmd.Wait()
		close(p.done)
	}()
	return nil
}

func (p *process) signal(sig syscall.Signal) {
	if p.cmd != nil && p.cmd.Process != nil {
		_ = p.cmd.Process.Signal(sig)
	}
}

// wait waits until the process has ended, and kills it after a time.
func (p *process) wait(d time.Duration) {
	if p.done == nil {
		return
	}
	select {
	case <-p.done:
	case <-time.After(d):
		p.signal(syscall.SIGKILL)
		<-p.done
	}
}

// ready asks a node whether it serves callers.
func (p *process) ready() bool {
	host, _, _ := net.SplitHostPort(p.addr)
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get(fmt.Sprintf("http://%s:%d/bulrushhinge/ready", host, p.base+21))
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func eventually(limit time.Duration, check func() bool) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if check() {
			return true
		}
	}
	return false
}

// freePorts returns the first of 24 ports that are free on all nodes' addresses.
func freePorts(network string, nodes int) (int, error) {
	for range 50 {
		base := 20000 + rand.IntN(9000)
		if allFree(network, nodes, base) {
			return base, nil
		}
	}
	return 0, errors.New("no free ports")
}

func allFree(network string, nodes, base int) bool {
	for n := 1; n <= nodes; n++ {
		for port := base; port < base+24; port++ {
			l, err := net.Listen("tcp4", fmt.Sprintf("%s%d:%d", network, n, port))
			if err != nil {
				return false
			}
			_ = l.Close()
		}
	}
	return true
}
