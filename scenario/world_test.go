package scenario

import (
	"bytes"
	"encoding/json"
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

	"github.com/pkg/errors"
	"github.com/rogpeppe/go-internal/testscript"

	"tanagerrock/core/trwire"
	"tanagerrock/standin/trfakeplatform"
)

const (
	hangLimit = 30 * time.Second      // ends a poll that hangs; no verdict depends on it
	pollPause = 10 * time.Millisecond // between two looks of a poll
)

// Ports are below the range from which the system takes ports for outgoing
// connections, so that a restarted process gets its port again.
const (
	firstPort = 12_000
	portCount = 18_000
)

type worldKey struct{}

// world is the state of one script.
type world struct {
	dir  string
	path string // of the search for programs

	procs map[string]*proc
	loads map[string]*load
	marks map[string]int64 // Unix time in ns
	bal   *balancer
	look  *sampler
}

// proc is a process that the script started.
type proc struct {
	name     string
	args     []string
	addr     string // control of a stand-in, callers of an instance
	peerAddr string
	zone     string // of an instance
	cmd      *exec.Cmd
	done     chan struct{} // closed when the process has ended
	err      error         // of its end
}

// beforeStart sets what the system offers to end processes with the test binary.
var beforeStart = func(*exec.Cmd) {}

func setup(env *testscript.Env) error {
	w := &world{
		dir:   env.WorkDir,
		path:  env.Getenv("PATH"),
		procs: map[string]*proc{},
		loads: map[string]*load{},
		marks: map[string]int64{},
		bal:   newBalancer(),
		look:  newSampler(),
	}
	env.Values[worldKey{}] = w
	env.Defer(w.close)
	return nil
}

func (w *world) close() {
	for _, l := range w.loads {
		l.stop()
	}
	w.bal.stop()
	w.look.stop()
	for _, p := range w.procs {
		if p.running() {
			_ = p.cmd.Process.Kill()
			<-p.done
		}
	}
}

func (p *proc) running() bool {
	select {
	case <-p.done:
		return false
	default:
		return true
	}
}

func (w *world) proc(ts *testscript.TestScript, name string) *proc {
	p := w.procs[name]
	if p == nil {
		ts.Fatalf("no process %q was started", name)
	}
	return p
}

// drawn holds the ports of all scripts, which run in parallel: a port that one of
// them has drawn and not yet bound, or whose process is down, is not free.
var drawn sync.Map

// freeAddr returns a loopback address with a port that was free just now and
// that no other script has drawn.
func freeAddr() (string, error) {
	for range 100 {
		addr := fmt.Sprintf("127.0.0.1:%d", firstPort+rand.IntN(portCount))
		if _, taken := drawn.LoadOrStore(addr, true); taken {
			continue
		}
		if ln, err := net.Listen("tcp", addr); err == nil {
			return addr, ln.Close()
		}
	}
	return "", errors.New("no free port")
}

func (w *world) lookPath(program string) string {
	for _, dir := range filepath.SplitList(w.path) {
		file := filepath.Join(dir, program)
		if info, err := os.Stat(file); err == nil && !info.IsDir() {
			return file
		}
	}
	return program
}

// run starts the process p and waits until probe succeeds.
func (w *world) run(ts *testscript.TestScript, p *proc, probe string) {
	out, err := os.OpenFile(filepath.Join(w.dir, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	ts.Check(err)
	defer out.Close()
	p.cmd = exec.Command(w.lookPath(p.args[0]), p.args[1:]...)
	p.cmd.Stdout, p.cmd.Stderr = out, out
	beforeStart(p.cmd)
	ts.Check(p.cmd.Start())
	p.done = make(chan struct{})
	go func() {
		p.err = p.cmd.Wait()
		close(p.done)
	}()
	w.procs[p.name] = p
	poll(ts, "start of "+p.name, func() error {
		if !p.running() {
			ts.Fatalf("%s ended: %v\n%s", p.name, p.err, ts.ReadFile(p.name+".log"))
		}
		return get("http://"+p.addr+probe, nil)
	})
}

// poll calls f until it returns nil.
func poll(ts *testscript.TestScript, what string, f func() error) {
	limit := time.Now().Add(hangLimit)
	for {
		err := f()
		if err == nil {
			return
		}
		if time.Now().After(limit) {
			ts.Fatalf("%s: %v", what, err)
		}
		time.Sleep(pollPause)
	}
}

// httpClient serves control and status calls.
var httpClient = &http.Client{Timeout: 5 * time.Second}

// get reads JSON into v unless v is nil.
func get(url string, v any) error {
	resp, err := httpClient.Get(url)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return err
	}
	if resp.StatusCode/100 != 2 {
		return errors.Errorf("%s: %s", url, resp.Status)
	}
	if v == nil {
		return nil
	}
	return json.Unmarshal(body, v)
}

// post sends JSON and reads JSON into v unless v is nil.
func post(url string, body any, v any) error {
	raw, ok := body.([]byte)
	if !ok {
		var err error
		if raw, err = json.Marshal(body); err != nil {
			return err
		}
	}
	resp, err := httpClient.Post(url, "application/json", bytes.NewReader(raw))
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	reply, err := io.ReadAll(resp.Body)
	if err != nil {
		return err
	}
	if resp.StatusCode/100 != 2 {
		return errors.Errorf("%s: %s: %s", url, resp.Status, reply)
	}
	if v == nil {
		return nil
	}
	return json.Unmarshal(reply, v)
}

func (w *world) settings(ts *testscript.TestScript, name string, v any) string {
	raw, err := json.Marshal(v)
	ts.Check(err)
	file := filepath.Join(w.dir, name+".json")
	ts.Check(os.WriteFile(file, raw, 0o600))
	return file
}

func cmdStart(w *world, ts *testscript.TestScript, args []string) {
	switch args[0] {
	case "platform":
		w.startStandIn(ts, "platform", "/control/counts", func(addr string) any {
			return map[string]any{"Listen": addr, "StateFile": filepath.Join(w.dir, "store.json")}
		})
		ts.Setenv("TANAGERROCK_PLATFORM", "http://"+w.procs["platform"].addr)
	case "link":
		w.startStandIn(ts, "link", "/control/links", func(addr string) any {
			return map[string]any{"Control": addr}
		})
	case "leafs":
		w.startStandIn(ts, "leafs", "/control/instances", func(addr string) any {
			var s map[string]any
			ts.Check(json.Unmarshal([]byte(ts.ReadFile(args[1])), &s))
			s["Control"] = addr
			s["Platform"] = "http://" + w.proc(ts, "platform").addr
			return s
		})
	case "instance":
		w.startInstance(ts, args[1], args[2], len(args) > 3 && args[3] == "link")
	default:
		ts.Fatalf("cannot start %q", args[0])
	}
}

// startStandIn starts a stand-in, at the address that it had before if it is
// started again.
func (w *world) startStandIn(ts *testscript.TestScript, name, probe string, settings func(addr string) any) {
	p := w.procs[name]
	if p == nil {
		addr, err := freeAddr()
		ts.Check(err)
		p = &proc{name: name, addr: addr}
		p.args = []string{"tanagerstandin", name, "-settings", w.settings(ts, name, settings(addr))}
	}
	w.run(ts, p, probe)
}

func (w *world) startInstance(ts *testscript.TestScript, name, zone string, link bool) {
	p := w.procs[name]
	if p == nil {
		p = w.newInstance(ts, name, zone, link)
	}
	w.run(ts, p, "/livez")
	ts.Check(w.list(trfakeplatform.ListChange{Add: []trwire.Instance{{
		ID: name, Role: trwire.RoleEntry, Zone: zone, Addr: p.addr, PeerAddr: p.peerAddr, State: trwire.StateLive,
	}}}))
	if w.procs["link"] != nil {
		w.bal.setFar(name, w.addLink(ts, map[string]any{"From": "callers", "To": name, "Target": p.addr, "DelayMs": farDelayMs}))
	}
	w.bal.add(name, p.addr)
	w.look.add(name, p.addr)
	w.setEntries(ts)
}

func (w *world) newInstance(ts *testscript.TestScript, name, zone string, link bool) *proc {
	addr, err := freeAddr()
	ts.Check(err)
	peerAddr, err := freeAddr()
	ts.Check(err)
	platform := w.proc(ts, "platform").addr
	if link {
		platform = w.addLink(ts, map[string]any{"From": name, "To": "platform", "Target": platform})
	}
	var seeds []string
	for _, other := range w.procs {
		if other.peerAddr != "" && other.running() {
			seeds = append(seeds, other.peerAddr)
		}
	}
	p := &proc{name: name, addr: addr, peerAddr: peerAddr, zone: zone}
	p.args = []string{"tanagerrock", "serve", "--settings", w.settings(ts, name, map[string]any{
		"InstanceID": name, "Zone": zone, "CallerAddr": addr, "PeerAddr": peerAddr,
		"Platform": []string{"http://" + platform}, "Seeds": seeds,
		"ReadyOffMs": 300, "DrainMs": 2_000, "LogLevel": "debug", "Seed": len(w.procs),
	})}
	return p
}

// addLink opens a link and returns its address.
func (w *world) addLink(ts *testscript.TestScript, link map[string]any) string {
	var reply struct{ Addr string }
	ts.Check(post("http://"+w.proc(ts, "link").addr+"/control/links", link, &reply))
	return reply.Addr
}

// list changes the platform's instance list.
func (w *world) list(c trfakeplatform.ListChange) error {
	return post("http://"+w.procs["platform"].addr+"/control/instances", c, nil)
}

// setEntries lets operator commands reach the running instances.
func (w *world) setEntries(ts *testscript.TestScript) {
	var entries []string
	for _, p := range w.instances() {
		entries = append(entries, p.addr)
	}
	ts.Setenv("TANAGERROCK_ENTRY", strings.Join(entries, ","))
}

// instances returns the running instances.
func (w *world) instances() []*proc {
	var list []*proc
	for _, p := range w.procs {
		if p.peerAddr != "" && p.running() {
			list = append(list, p)
		}
	}
	return list
}

func cmdTerminate(w *world, ts *testscript.TestScript, args []string) {
	p := w.proc(ts, args[0])
	ts.Check(p.cmd.Process.Signal(syscall.SIGTERM))
	w.ended(ts, p)
	if p.err != nil {
		ts.Fatalf("%s ended: %v\n%s", p.name, p.err, ts.ReadFile(p.name+".log"))
	}
	if p.peerAddr != "" {
		ts.Check(w.list(trfakeplatform.ListChange{Remove: []string{p.name}}))
	}
}

func cmdCrash(w *world, ts *testscript.TestScript, args []string) {
	p := w.proc(ts, args[0])
	ts.Check(p.cmd.Process.Kill())
	w.ended(ts, p)
}

func (w *world) ended(ts *testscript.TestScript, p *proc) {
	select {
	case <-p.done:
	case <-time.After(hangLimit):
		ts.Fatalf("%s does not end", p.name)
	}
	w.bal.remove(p.name)
	w.look.remove(p.name)
	w.setEntries(ts)
}

func cmdFreeze(w *world, ts *testscript.TestScript, args []string) {
	ts.Check(w.proc(ts, args[0]).cmd.Process.Signal(syscall.SIGSTOP))
}

func cmdThaw(w *world, ts *testscript.TestScript, args []string) {
	ts.Check(w.proc(ts, args[0]).cmd.Process.Signal(syscall.SIGCONT))
}

func cmdControl(w *world, ts *testscript.TestScript, args []string) {
	body := []byte("{}")
	if len(args) > 2 {
		body = []byte(args[2])
	}
	ts.Check(post("http://"+w.proc(ts, args[0]).addr+"/control/"+args[1], body, nil))
}

// cmdRace runs commands of tanagerrock at once, separated by --, and prints exit
// codes and output of all.
func cmdRace(w *world, ts *testscript.TestScript, args []string) {
	var cmds []*exec.Cmd
	for _, part := range strings.Split(strings.Join(args, "\x00"), "\x00--\x00") {
		cmd := exec.Command(w.lookPath("tanagerrock"), strings.Split(part, "\x00")...)
		cmd.Dir = w.dir
		cmd.Env = append(os.Environ(), "TANAGERROCK_PLATFORM="+ts.Getenv("TANAGERROCK_PLATFORM"))
		cmds = append(cmds, cmd)
	}
	outputs := make([][]byte, len(cmds))
	var wg sync.WaitGroup
	for i, cmd := range cmds {
		wg.Go(func() { outputs[i], _ = cmd.CombinedOutput() })
	}
	wg.Wait()
	for i, cmd := range cmds {
		fmt.Fprintf(ts.Stdout(), "exit %d\n%s", cmd.ProcessState.ExitCode(), outputs[i])
	}
}
