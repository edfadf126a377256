package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	host    = "ficu95.example"
	apiKey  = "n2ctnfzs989anu6wsjnb"
	account = "hule930"
)

type (
	// world is a small deployment on loopback addresses: a store, workers and the
	// project's own processes.
	world struct {
		dir     string
		trouble bool
		record  *os.File
		mu      sync.Mutex
		store   *store
		storeAt string
		// net is the part of the loopback range that the deployment uses.
		net     string
		ports   [6]int
		procs   []*proc
		nodes   []string
		began   time.Time
		workers []*proc
		closed  bool
		// linked says that the nodes reach the workers over links.
		linked    bool
		links     []*link
		nodeProcs []*proc
		// settings are lines that replace those of the nodes' settings files.
		settings []string
	}

	// proc is a process that the case started.
	proc struct {
		name string
		args []string
		env  []string
		out  string
		cmd  *exec.Cmd
		done chan struct{}
	}
)

// newWorld starts a deployment with a store only. The record is written to a folder.
func newWorld(folder string) (*world, error) {
	dir, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return nil, err
	}
	record, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		return nil, err
	}
	w := &world{dir: dir, trouble: os.Getenv("TROUBLE") != "0", record: record, store: newStore(), began: time.Now()}
	w.net = fmt.Sprintf("127.%d.%d", 16+rand.IntN(200), rand.IntN(250))
	for i := range w.ports {
		l, err := net.Listen("tcp4", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		w.ports[i] = l.Addr().(*net.TCPAddr).Port
		defer func() { _ = l.Close() }()
	}
	l, err := net.Listen("tcp4", w.ip(1)+":0")
	if err != nil {
		return nil, err
	}
	w.storeAt = l.Addr().String()
	go func() { _ = http.Serve(l, w.store) }()
	go w.store.lapse()
	w.note("deployment in %s.0/24, trouble %v", w.net, w.trouble)
	return w, nil
}

func (w *world) ip(n int) string { return fmt.Sprintf("%s.%d", w.net, n) }

// note writes a line to the record.
func (w *world) note(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	_, _ = fmt.Fprintf(w.record, "%s %s\n", time.Now().Format(stampFormat), fmt.Sprintf(format, args...))
}

// close ends all processes, adds the workers' logs to the record and removes the
// temporary folder.
func (w *world) close() {
	w.mu.Lock()
	w.closed = true
	w.mu.Unlock()
	for _, p := range w.procs {
		p.kill()
	}
	logs, _ := filepath.Glob(filepath.Join(w.dir, "worker-*.log"))
	for _, name := range logs {
		data, _ := os.ReadFile(name)
		_, _ = fmt.Fprintf(w.record, "\n== %s\n%s", filepath.Base(name), data)
	}
	_ = w.record.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(w.dir)
	} else {
		fmt.Println("kept", w.dir)
	}
}

func (w *world) start(name string, env []string, args ...string) (*proc, error) {
	p := &proc{name: name, args: args, env: append(os.Environ(), env...), out: filepath.Join(w.dir, name+".out")}
	w.procs = append(w.procs, p)
	return p, p.start()
}

func (p *proc) start() error {
	out, err := os.OpenFile(p.out, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer func() { _ = out.Close() }()
	p.cmd = exec.Command(p.args[0], p.args[1:]...)
	p.cmd.Env, p.cmd.Stdout, p.cmd.Stderr = p.env, out, out
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.cmd.Start(); err != nil {
		return err
	}
	p.done = make(chan struct{})
	go func(cmd *exec.Cmd, done chan struct{}) {
		_ = cmd.Wait()
		close(done)
	}(p.cmd, p.done)
	return nil
}

// restarts starts a process again some time after each of its ends, until the world is
// closed.
func (w *world) restarts(p *proc, after time.Duration) {
	for {
		<-p.done
		time.Sleep(after)
		w.mu.Lock()
		closed := w.closed
		if !closed {
			_ = p.start()
		}
		w.mu.Unlock()
		if closed {
			return
		}
	}
}

func (p *proc) signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

func (p *proc) kill() {
	p.signal(syscall.SIGKILL)
	<-p.done
}

// worker starts a worker process.
func (w *world) worker(id, service, zone string, n int, extra ...string) (*proc, error) {
	self, err := os.Executable()
	if err != nil {
		return nil, err
	}
	args := []string{
		self, "worker", "--id", id, "--service", service, "--zone", zone, "--addr", fmt.Sprintf("%s:%d", w.ip(n), w.ports[0]),
		"--store", w.storeAt, "--log", filepath.Join(w.dir, "worker-"+id+".log"),
	}
	return w.start("worker-"+id, nil, append(args, extra...)...)
}

// node starts one of the project's processes with the command of the deploy file.
func (w *world) node(name, zone string, n int, seeds []string, extra ...string) (*proc, error) {
	settings := map[string]string{
		"node_name": name, "role": "router", "machine_class": "front", "serves": "front,control,directory", "ip": w.ip(n), "zone": zone, "region": "thies",
		"zones.hall-escale": "thies", "zones.hall-randoulene": "thies", "zones.hall-mbour1": "thies",
		"listen.front": fmt.Sprintf("%s:%d", w.ip(n), w.ports[1]), "listen.ready": fmt.Sprintf("%s:%d", w.ip(n), w.ports[2]),
		"listen.control": fmt.Sprintf("%s:%d", w.ip(n), w.ports[3]), "listen.directory": fmt.Sprintf("%s:%d", w.ip(n), w.ports[4]),
		"internal_ports": fmt.Sprintf("%d,%d", w.ports[5], w.ports[5]+10), "bootstrap": "true", "in_fault_budget": "false",
		"limits.cpu_share": "0.4", "limits.cores": "1", "limits.memory_mb": "284", "limits.max_fds": "4100", "limits.link_mbps": "1000.0", "limits.disk_mb": "0",
		"discovery": "platform", "entry": "directory", "heartbeat_ms": "1200",
		"contracts":              "base,drain,config,cost,retry,recover,engine,stream,tenants,platform",
		"bounds.config_apply_ms": "2000", "bounds.drain_ms": "2000", "bounds.grace_s": "8", "bounds.retry_budget_ratio": "0.2", "bounds.budget_window_s": "10",
		"bounds.retry_slack": "56", "bounds.cap_x": "2", "bounds.ttl_max_s": "5", "platform.address": w.storeAt, "platform.form": "read",
	}
	var list []string
	for _, s := range seeds {
		list = append(list, fmt.Sprintf("%s:%d", s, w.ports[3]))
	}
	settings["seeds"] = strings.Join(list, ",")
	for _, e := range extra {
		name, value, _ := strings.Cut(e, "=")
		settings[name] = value
	}
	var text strings.Builder
	for name, value := range settings {
		fmt.Fprintf(&text, "%s=%s\n", name, value)
	}
	path := filepath.Join(w.dir, name+".conf")
	if err := os.WriteFile(path, []byte(text.String()), 0o644); err != nil {
		return nil, err
	}
	w.nodes = append(w.nodes, w.ip(n))
	return w.start(name, []string{"BULRUSHHINGE_NODE_FILE=" + path}, "target/bulrushhinge", "serve", "--owners", "0.25", "--cost-order", "owned")
}

// ready waits until all nodes are ready and know so many workers of a service.
func (w *world) ready(service string, workers int) error {
	ctx, cancel := context.WithTimeout(context.Background(), 15*time.Second)
	defer cancel()
	for ctx.Err() == nil {
		all := true
		for _, ip := range w.nodes {
			resp, err := http.Get(fmt.Sprintf("http://%s:%d/bulrushhinge/ready", ip, w.ports[2]))
			if err != nil {
				all = false
				continue
			}
			_ = resp.Body.Close()
			all = all && resp.StatusCode == http.StatusOK
		}
		if all && w.known(service) >= workers {
			return nil
		}
		time.Sleep(50 * time.Millisecond)
	}
	return fmt.Errorf("the nodes did not become ready")
}

// known returns how many workers of a service the first node lists in its state.
func (w *world) known(service string) int {
	resp, err := http.Get(fmt.Sprintf("http://%s:9464/state", w.nodes[0]))
	if err != nil {
		return 0
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0
	}
	return strings.Count(string(data), `"Service":"`+service+`"`) + strings.Count(string(data), `"Service": "`+service+`"`)
}

// front returns the address at which a node takes clients.
func (w *world) front(n int) string { return fmt.Sprintf("%s:%d", w.nodes[n], w.ports[1]) }
