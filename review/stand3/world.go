package main

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

func check(err error) {
	if err != nil {
		fmt.Fprintln(os.Stderr, "stand3:", err)
		endAll()
		os.Exit(exitNotRun)
	}
}

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// world is a small deployment: a store, leafs and gateways as processes of their own.
type world struct {
	dir      string // temporary
	program  string // of the deploy file
	trouble  bool
	store    *store
	gateways []*gateway
	started  time.Time

	mu       sync.Mutex
	file     *os.File
	record   *bufio.Writer // to file
	arrivals []arrival
	sent     map[string]time.Time // by request ID
	statuses map[string]int
	nextID   atomic.Int64
}

// newWorld opens record.txt in the folder of the case.
func newWorld(caseDir string) *world {
	dir, err := os.MkdirTemp("", "stand3")
	check(err)
	file, err := os.Create(filepath.Join(caseDir, "record.txt"))
	check(err)
	w := &world{
		dir: dir, program: "target/tanagerrock", trouble: os.Getenv("TROUBLE") != "0", store: newStore(),
		started: time.Now(), file: file, record: bufio.NewWriter(file), statuses: make(map[string]int), sent: make(map[string]time.Time),
	}
	return w
}

// log writes a line to record.txt, with the time since the start.
func (w *world) log(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.logLocked(time.Now(), format, args...)
}

// logLocked is log for a caller that holds mu.
func (w *world) logLocked(at time.Time, format string, args ...any) {
	fmt.Fprintf(w.record, "%8.3f  %s\n", at.Sub(w.started).Seconds(), fmt.Sprintf(format, args...))
}

func (w *world) arrived(a arrival) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.arrivals = append(w.arrivals, a)
	w.logLocked(a.at, "%s runs at %s, account %q", a.id, a.leaf, a.tenant)
}

// gateway is one instance of the system.
type gateway struct {
	name, zone                     string
	callers, ready, peers, metrics string
	settings                       map[string]any
	starts                         int
	cmd                            *exec.Cmd
	client                         *http.Client
}

// running holds the processes that have been started and not ended.
var running struct {
	sync.Mutex
	list []*exec.Cmd
}

// endAll ends all processes that this program started.
func endAll() {
	running.Lock()
	defer running.Unlock()
	for _, cmd := range running.list {
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
	}
	running.list = nil
}

// network is the beginning of loopback addresses that other runs at the same time do not use.
var network = fmt.Sprintf("127.%d.%d.", 1+os.Getpid()%200, 1+os.Getpid()/200%250)

// host is the address of the stand-ins. Each machine has an address of its own, with the same
// ports as all others.
var host = network + "1"

// addGateway adds an instance, which is not running yet. params are further settings.
func (w *world) addGateway(name, zone string, params map[string]any) *gateway {
	l, err := net.Listen("tcp", host+":0")
	check(err)
	go func() { check(http.Serve(l, w.store.handler())) }()
	g := &gateway{name: name, zone: zone}
	ip := fmt.Sprintf("%s%d", network, 10+len(w.gateways))
	g.callers, g.ready, g.peers, g.metrics = ip+":8104", ip+":8108", ip+":8106", ip+":9464"
	g.client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}, Timeout: 10 * time.Second}
	g.settings = map[string]any{
		"InstanceID": name, "Zone": zone, "CallerAddr": g.callers, "ReadyAddr": g.ready, "ReadyPath": "/v1/ready",
		"PeerAddr": g.peers, "MetricsAddr": g.metrics, "StoreAddr": l.Addr().String(), "FirstStart": true,
		"GraceMs": 6e3, "ApplyMs": 3000, "DrainMs": 3000, "RepeatShare": 0.2, "RepeatSlack": 52, "RepeatWindowMs": 10e3,
		"ColdOverage": 1.5, "ColdSlack": 5, "MemoryMB": 284, "CoreShare": 0.4, "CoreSpeed": 1,
	}
	for k, v := range params {
		g.settings[k] = v
	}
	w.gateways = append(w.gateways, g)
	return g
}

// startAll starts all gateways with the first three as seeds.
func (w *world) startAll() {
	for _, g := range w.gateways {
		w.start(g)
	}
}

// seeds returns the seed addresses of the deployment.
func (w *world) seeds() []string {
	var list []string
	for _, g := range w.gateways[:min(3, len(w.gateways))] {
		list = append(list, g.peers)
	}
	return list
}

// start starts a gateway as the deploy file does. FirstStart is set the first time only.
func (w *world) start(g *gateway) {
	g.settings["FirstStart"] = g.starts == 0
	w.startWith(g, w.seeds())
}

// writeSettings writes the settings file of a gateway with some seed addresses.
func (w *world) writeSettings(g *gateway, seeds []string) (file string) {
	g.settings["Seeds"] = seeds
	data, err := json.MarshalIndent(g.settings, "", "  ")
	check(err)
	file = filepath.Join(w.dir, g.name+".json")
	check(os.WriteFile(file, data, 0o644))
	return file
}

// startWith starts a gateway with some seed addresses.
func (w *world) startWith(g *gateway, seeds []string) {
	file := w.writeSettings(g, seeds)
	logFile, err := os.OpenFile(filepath.Join(w.dir, g.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	check(err)
	g.cmd = exec.Command(w.program, "gateway", "--settings", file)
	g.cmd.Stdout, g.cmd.Stderr = logFile, logFile
	g.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	check(g.cmd.Start())
	check(logFile.Close())
	g.starts++
	running.Lock()
	defer running.Unlock()
	running.list = append(running.list, g.cmd)
}

// correctSeeds writes other seeds into the settings of a running gateway and sends SIGHUP.
func (w *world) correctSeeds(g *gateway, seeds []string) {
	w.writeSettings(g, seeds)
	check(g.cmd.Process.Signal(syscall.SIGHUP))
	w.log("the settings of %s have the seeds %v now, and it gets SIGHUP", g.name, seeds)
}

// kill ends a gateway with SIGKILL and waits for its end.
func (w *world) kill(g *gateway) {
	running.Lock()
	defer running.Unlock()
	_ = g.cmd.Process.Kill()
	_ = g.cmd.Wait()
	for i, cmd := range running.list {
		if cmd == g.cmd {
			running.list = append(running.list[:i], running.list[i+1:]...)
			break
		}
	}
}

// isReady reports whether a gateway answers that it takes requests.
func (g *gateway) isReady() bool {
	ctx, cancel := context.WithTimeout(context.Background(), 500*time.Millisecond)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, "GET", "http://"+g.ready+"/v1/ready", nil)
	check(err)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// awaitReady waits until all gateways take requests.
func (w *world) awaitReady() {
	for range 200 {
		all := true
		for _, g := range w.gateways {
			all = all && g.isReady()
		}
		if all {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
	check(fmt.Errorf("the gateways are not ready"))
}

// request sends a client's request to a gateway and returns the status, 0 if there was no answer.
func (w *world) request(g *gateway, path, key string) int {
	id := fmt.Sprintf("%08x", w.nextID.Add(1))
	req, err := http.NewRequest("GET", "http://"+g.callers+path, nil)
	check(err)
	req.Host = "search.example"
	req.Header.Set("Request-Id", id)
	req.Header.Set("Timeout-Ms", "3000")
	if key != "" {
		req.Header.Set("Api-Key", key)
	}
	w.mu.Lock()
	w.sent[id] = time.Now()
	w.mu.Unlock()
	status := 0
	resp, err := g.client.Do(req)
	if err == nil {
		_, err = io.Copy(io.Discard, resp.Body)
		resp.Body.Close()
		if err == nil {
			status = resp.StatusCode
		}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.statuses[fmt.Sprintf("%s %d", g.name, status)]++
	w.logLocked(time.Now(), "%s sent to %s at %.3f, key %q, answered with %d", id, g.name, w.sent[id].Sub(w.started).Seconds(), key, status)
	return status
}

// finish writes what was answered, ends all processes and exits with the verdict.
func (w *world) finish(broken bool, verdict string) {
	endAll()
	w.log("answers by gateway and status: %v; %d requests ran", w.statuses, len(w.arrivals))
	w.log("%s", verdict)
	fmt.Println(verdict)
	check(w.record.Flush())
	check(w.file.Close())
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(w.dir)
	} else {
		fmt.Println(w.dir)
	}
	if broken {
		os.Exit(exitBroken)
	}
	os.Exit(exitHeld)
}
