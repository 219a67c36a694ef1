package main

import (
	"encoding/json"
	"fmt"
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

// world holds the stand-ins, the gateways and the record of a case.
type world struct {
	dir, program string
	temp         string
	began        time.Time
	store        *store
	storeAddr    string

	mu       sync.Mutex
	lines    []string
	runs     []run
	closers  []func()
	gateways []*gateway
}

func newWorld(dir, program string) (*world, error) {
	temp, err := os.MkdirTemp("", "stand2-")
	if err != nil {
		return nil, err
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	w := &world{dir: dir, program: program, temp: temp, began: time.Now(), store: newStore(), storeAddr: ln.Addr().String()}
	server := &http.Server{Handler: w.store}
	go func() { _ = server.Serve(ln) }()
	w.onClose(func() { _ = server.Close() })
	return w, nil
}

func (w *world) onClose(f func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.closers = append(w.closers, f)
}

// log adds a line to the record.
func (w *world) log(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lines = append(w.lines, fmt.Sprintf("%8.3f ", time.Since(w.began).Seconds())+fmt.Sprintf(format, args...))
}

func (w *world) recordRun(r run) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.runs = append(w.runs, r)
}

// allRuns returns the requests that leafs ran so far.
func (w *world) allRuns() []run {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]run(nil), w.runs...)
}

// close ends all processes and stand-ins.
func (w *world) close() {
	w.mu.Lock()
	gateways, closers := w.gateways, w.closers
	w.mu.Unlock()
	for _, g := range gateways {
		g.stop(syscall.SIGKILL)
	}
	for _, f := range closers {
		f()
	}
	_ = os.RemoveAll(w.temp) // what is left is in the temporary folder of the system
}

// writeRecord writes record.txt.
func (w *world) writeRecord() error {
	w.mu.Lock()
	defer w.mu.Unlock()
	return os.WriteFile(filepath.Join(w.dir, "record.txt"), []byte(strings.Join(w.lines, "\n")+"\n"), 0o644)
}

// freeAddr returns a free port of a loopback address. Connections from this machine do not take
// ports of any other address than 127.0.0.1.
func freeAddr(ip string) (string, error) {
	ln, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return "", err
	}
	defer ln.Close()
	return ln.Addr().String(), nil
}

// gateway is a gateway process.
type gateway struct {
	world                       *world
	name, zone                  string
	front, ready, peer, metrics string
	settings                    string
	mu                          sync.Mutex
	cmd                         *exec.Cmd
	ended                       chan struct{}
	peakKB                      int
}

// newGateways assigns addresses to n gateways. The first three are the seeds.
func (w *world) newGateways(zones []string, n int) ([]*gateway, error) {
	var list []*gateway
	for i := range n {
		g := &gateway{world: w, name: fmt.Sprintf("front-%s-%d", zones[i%len(zones)], i+1), zone: zones[i%len(zones)]}
		for _, addr := range []*string{&g.front, &g.ready, &g.peer, &g.metrics} {
			var err error
			if *addr, err = freeAddr(fmt.Sprintf("127.0.1.%d", i+1)); err != nil {
				return nil, err
			}
		}
		g.settings = filepath.Join(w.temp, g.name+".json")
		list = append(list, g)
	}
	w.mu.Lock()
	w.gateways = append(w.gateways, list...)
	w.mu.Unlock()
	return list, nil
}

// writeSettings writes the settings of a gateway, as deploy/settings.jsonc does for a machine of
// bertoldi-busca. extra replaces or adds fields.
func (g *gateway) writeSettings(seeds []*gateway, first bool, extra map[string]any) error {
	var addrs []string
	for _, s := range seeds[:min(3, len(seeds))] {
		addrs = append(addrs, s.peer)
	}
	settings := map[string]any{
		"InstanceID": g.name, "Zone": g.zone, "CallerAddr": g.front, "ReadyAddr": g.ready, "ReadyPath": "/v1/ready",
		"PeerAddr": g.peer, "MetricsAddr": g.metrics, "StoreAddr": g.world.storeAddr, "Seeds": addrs, "FirstStart": first,
		"GraceMs": 6000, "ApplyMs": 3000, "DrainMs": 3000, "RepeatShare": 0.2, "RepeatSlack": 58, "RepeatWindowMs": 10000,
		"ColdOverage": 1.5, "ColdSlack": 5, "MemoryMB": 284, "CoreShare": 0.4, "CoreSpeed": 1,
	}
	for k, v := range extra {
		settings[k] = v
	}
	data, err := json.Marshal(settings)
	if err != nil {
		return err
	}
	return os.WriteFile(g.settings, data, 0o644)
}

// start starts the process with the command of deploy/system.toml.
func (g *gateway) start() error {
	out, err := os.OpenFile(filepath.Join(g.world.temp, g.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer out.Close()
	cmd := exec.Command(g.world.program, "gateway", "--settings", g.settings)
	cmd.Stdout, cmd.Stderr = out, out
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	g.mu.Lock()
	g.cmd, g.ended = cmd, ended
	g.mu.Unlock()
	go func() {
		_ = cmd.Wait() // the state is logged
		g.world.log("%s (process %d) ended: %v", g.name, cmd.Process.Pid, cmd.ProcessState)
		close(ended)
	}()
	g.world.log("%s started as process %d", g.name, cmd.Process.Pid)
	return nil
}

// signal sends a signal to the process.
func (g *gateway) signal(s syscall.Signal) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.cmd != nil {
		_ = g.cmd.Process.Signal(s) // it may have ended
	}
}

// stop sends a signal and waits until the process has ended.
func (g *gateway) stop(s syscall.Signal) {
	g.signal(s)
	g.mu.Lock()
	ended := g.ended
	g.mu.Unlock()
	if ended != nil {
		<-ended
	}
}

// running reports whether the process runs.
func (g *gateway) running() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.ended == nil {
		return false
	}
	select {
	case <-g.ended:
		return false
	default:
		return true
	}
}

// peak returns the largest resident memory of the process so far, in KiB.
func (g *gateway) peak() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.cmd == nil {
		return 0
	}
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", g.cmd.Process.Pid))
	if err != nil {
		return g.peakKB
	}
	for _, line := range strings.Split(string(data), "\n") {
		if rest, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			// A line without a number leaves the previous peak.
			_, _ = fmt.Sscanf(rest, "%d", &g.peakKB)
		}
	}
	return g.peakKB
}

// startGateways starts n gateways in zones for the first time and waits until they are ready.
// settings replaces or adds fields of their settings.
func (w *world) startGateways(zones []string, n int, settings map[string]any) ([]*gateway, error) {
	list, err := w.newGateways(zones, n)
	if err != nil {
		return nil, err
	}
	for _, g := range list {
		if err := g.writeSettings(list, true, settings); err != nil {
			return nil, err
		}
		if err := g.start(); err != nil {
			return nil, err
		}
	}
	return list, awaitReady(list, 10*time.Second)
}

// awaitReady waits until the gateways report that they are ready.
func awaitReady(list []*gateway, limit time.Duration) error {
	client := &http.Client{Timeout: time.Second}
	end := time.Now().Add(limit)
	for _, g := range list {
		for {
			resp, err := client.Get("http://" + g.ready + "/v1/ready")
			if err == nil {
				resp.Body.Close()
				if resp.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(end) {
				return fmt.Errorf("%s is not ready within %v", g.name, limit)
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	return nil
}
