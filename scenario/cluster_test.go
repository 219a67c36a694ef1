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
	hangTimeout  = 30 * time.Second      // ends a script that hangs; no check depends on it
	pollInterval = 10 * time.Millisecond // between two evaluations of a condition
)

// The port range is below the ephemeral ports of the operating system, so that no
// outgoing connection takes the port of a process that is to be restarted.
const (
	firstPort = 12_000
	portCount = 18_000
)

// clusterKey is the key of a script's *cluster in testscript.Env.Values.
type clusterKey struct{}

// cluster holds the processes, loads and marks of one script.
type cluster struct {
	dir  string
	path string // the script's PATH

	procs   map[string]*proc
	loads   map[string]*load
	marks   map[string]int64 // Unix time in ns
	bal     *balancer
	sampler *sampler
}

// proc is a process that the script started.
type proc struct {
	name     string
	args     []string
	addr     string // for control calls to a stand-in or for callers of an instance
	peerAddr string // empty for a stand-in
	zone     string // empty for a stand-in
	cmd      *exec.Cmd
	done     chan struct{} // closed when the process has exited
	err      error         // result of Wait, valid once done is closed
}

// beforeStart prepares a command so that its process is killed when the test binary
// dies. It does nothing if the operating system doesn't support this.
var beforeStart = func(*exec.Cmd) {}

func setup(env *testscript.Env) error {
	c := &cluster{
		dir:     env.WorkDir,
		path:    env.Getenv("PATH"),
		procs:   map[string]*proc{},
		loads:   map[string]*load{},
		marks:   map[string]int64{},
		bal:     newBalancer(),
		sampler: newSampler(),
	}
	env.Values[clusterKey{}] = c
	env.Defer(c.close)
	return nil
}

func (c *cluster) close() {
	for _, l := range c.loads {
		l.stop()
	}
	c.bal.stop()
	c.sampler.stop()
	for _, p := range c.procs {
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

func (c *cluster) proc(ts *testscript.TestScript, name string) *proc {
	p := c.procs[name]
	if p == nil {
		ts.Fatalf("process %q was not started", name)
	}
	return p
}

// allocatedAddrs holds the addresses allocated by all scripts. Scripts run in parallel,
// and the port of a process that is not listening yet or is down would otherwise look
// free to the other scripts.
var allocatedAddrs sync.Map

// freeAddr allocates a loopback address with a port on which no process listens and
// that was not allocated before.
func freeAddr() (string, error) {
	for range 100 {
		addr := fmt.Sprintf("127.0.0.1:%d", firstPort+rand.IntN(portCount))
		if _, taken := allocatedAddrs.LoadOrStore(addr, true); taken {
			continue
		}
		if ln, err := net.Listen("tcp", addr); err == nil {
			return addr, ln.Close()
		}
	}
	return "", errors.New("no free port found")
}

// lookPath returns the file of a program in the script's PATH, or the program's name if
// there is none.
func (c *cluster) lookPath(program string) string {
	for _, dir := range filepath.SplitList(c.path) {
		file := filepath.Join(dir, program)
		if info, err := os.Stat(file); err == nil && !info.IsDir() {
			return file
		}
	}
	return program
}

// startProcess starts p and waits until a GET of the path probe succeeds.
func (c *cluster) startProcess(ts *testscript.TestScript, p *proc, probe string) {
	out, err := os.OpenFile(filepath.Join(c.dir, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	ts.Check(err)
	defer out.Close()
	p.cmd = exec.Command(c.lookPath(p.args[0]), p.args[1:]...)
	p.cmd.Stdout, p.cmd.Stderr = out, out
	beforeStart(p.cmd)
	ts.Check(p.cmd.Start())
	p.done = make(chan struct{})
	go func() {
		p.err = p.cmd.Wait()
		close(p.done)
	}()
	c.procs[p.name] = p
	poll(ts, "start of "+p.name, func() error {
		if !p.running() {
			ts.Fatalf("%s exited: %v\n%s", p.name, p.err, ts.ReadFile(p.name+".log"))
		}
		return get("http://"+p.addr+probe, nil)
	})
}

// poll calls f until it returns nil. It fails the script after hangTimeout.
func poll(ts *testscript.TestScript, what string, f func() error) {
	deadline := time.Now().Add(hangTimeout)
	for {
		err := f()
		if err == nil {
			return
		}
		if time.Now().After(deadline) {
			ts.Fatalf("%s: %v", what, err)
		}
		time.Sleep(pollInterval)
	}
}

// httpClient sends control and status requests.
var httpClient = &http.Client{Timeout: 5 * time.Second}

// get sends a GET request and decodes the JSON response into v unless v is nil.
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

// post sends body as JSON, or as it is if it is a []byte, and decodes the JSON response
// into v unless v is nil.
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

// writeSettings writes v as the settings file of a process and returns its path.
func (c *cluster) writeSettings(ts *testscript.TestScript, name string, v any) string {
	raw, err := json.Marshal(v)
	ts.Check(err)
	file := filepath.Join(c.dir, name+".json")
	ts.Check(os.WriteFile(file, raw, 0o600))
	return file
}

func cmdStart(c *cluster, ts *testscript.TestScript, args []string) {
	switch args[0] {
	case "platform":
		c.startStandIn(ts, "platform", "/control/counts", func(addr string) any {
			return map[string]any{"Listen": addr, "StateFile": filepath.Join(c.dir, "store.json")}
		})
		ts.Setenv("TANAGERROCK_PLATFORM", "http://"+c.procs["platform"].addr)
	case "link":
		c.startStandIn(ts, "link", "/control/links", func(addr string) any {
			return map[string]any{"Control": addr}
		})
	case "leafs":
		c.startStandIn(ts, "leafs", "/control/instances", func(addr string) any {
			var s map[string]any
			ts.Check(json.Unmarshal([]byte(ts.ReadFile(args[1])), &s))
			s["Control"] = addr
			s["Platform"] = "http://" + c.proc(ts, "platform").addr
			return s
		})
	case "instance":
		c.startInstance(ts, args[1], args[2], len(args) > 3 && args[3] == "link")
	default:
		ts.Fatalf("unknown kind of process %q", args[0])
	}
}

// startStandIn starts a stand-in. A stand-in that is started again keeps its address.
func (c *cluster) startStandIn(ts *testscript.TestScript, name, probe string, settings func(addr string) any) {
	p := c.procs[name]
	if p == nil {
		addr, err := freeAddr()
		ts.Check(err)
		p = &proc{name: name, addr: addr}
		p.args = []string{"tanagerstandin", name, "-settings", c.writeSettings(ts, name, settings(addr))}
	}
	c.startProcess(ts, p, probe)
}

// startInstance starts an instance and adds it to the platform's list, the balancer and
// the sampler. An instance that is started again keeps its addresses and settings.
func (c *cluster) startInstance(ts *testscript.TestScript, name, zone string, link bool) {
	p := c.procs[name]
	if p == nil {
		p = c.newInstance(ts, name, zone, link)
	}
	c.startProcess(ts, p, "/livez")
	ts.Check(c.changeInstances(trfakeplatform.ListChange{Add: []trwire.Instance{{
		ID: name, Role: trwire.RoleEntry, Zone: zone, Addr: p.addr, PeerAddr: p.peerAddr, State: trwire.StateLive,
	}}}))
	if c.procs["link"] != nil {
		c.bal.setLinkAddr(name, c.addLink(ts, map[string]any{"From": "callers", "To": name, "Target": p.addr, "DelayMs": linkDelayMs}))
	}
	c.bal.add(name, p.addr)
	c.sampler.add(name, p.addr)
	c.setEntries(ts)
}

// newInstance returns a process for an instance that has not been started before. Its
// seeds are the running instances.
func (c *cluster) newInstance(ts *testscript.TestScript, name, zone string, link bool) *proc {
	addr, err := freeAddr()
	ts.Check(err)
	peerAddr, err := freeAddr()
	ts.Check(err)
	platform := c.proc(ts, "platform").addr
	if link {
		platform = c.addLink(ts, map[string]any{"From": name, "To": "platform", "Target": platform})
	}
	var seeds []string
	for _, other := range c.procs {
		if other.peerAddr != "" && other.running() {
			seeds = append(seeds, other.peerAddr)
		}
	}
	p := &proc{name: name, addr: addr, peerAddr: peerAddr, zone: zone}
	p.args = []string{"tanagerrock", "serve", "--settings", c.writeSettings(ts, name, map[string]any{
		"InstanceID": name, "Zone": zone, "CallerAddr": addr, "PeerAddr": peerAddr,
		"Platform": []string{"http://" + platform}, "Seeds": seeds,
		"ReadyOffMs": 300, "DrainMs": 2_000, "LogLevel": "debug", "Seed": len(c.procs),
	})}
	return p
}

// addLink opens a link and returns the address on which it listens.
func (c *cluster) addLink(ts *testscript.TestScript, link map[string]any) string {
	var reply struct{ Addr string }
	ts.Check(post("http://"+c.proc(ts, "link").addr+"/control/links", link, &reply))
	return reply.Addr
}

// changeInstances changes the platform's instance list.
func (c *cluster) changeInstances(change trfakeplatform.ListChange) error {
	return post("http://"+c.procs["platform"].addr+"/control/instances", change, nil)
}

// setEntries sets TANAGERROCK_ENTRY, so that operator commands reach the running
// instances.
func (c *cluster) setEntries(ts *testscript.TestScript) {
	var entries []string
	for _, p := range c.instances() {
		entries = append(entries, p.addr)
	}
	ts.Setenv("TANAGERROCK_ENTRY", strings.Join(entries, ","))
}

// instances returns the processes of the running instances.
func (c *cluster) instances() []*proc {
	var list []*proc
	for _, p := range c.procs {
		if p.peerAddr != "" && p.running() {
			list = append(list, p)
		}
	}
	return list
}

func cmdTerminate(c *cluster, ts *testscript.TestScript, args []string) {
	p := c.proc(ts, args[0])
	ts.Check(p.cmd.Process.Signal(syscall.SIGTERM))
	c.awaitExit(ts, p)
	if p.err != nil {
		ts.Fatalf("%s exited: %v\n%s", p.name, p.err, ts.ReadFile(p.name+".log"))
	}
	if p.peerAddr != "" {
		ts.Check(c.changeInstances(trfakeplatform.ListChange{Remove: []string{p.name}}))
	}
}

func cmdCrash(c *cluster, ts *testscript.TestScript, args []string) {
	p := c.proc(ts, args[0])
	ts.Check(p.cmd.Process.Kill())
	c.awaitExit(ts, p)
}

// awaitExit waits until p has exited and removes it from the balancer, the sampler and
// TANAGERROCK_ENTRY.
func (c *cluster) awaitExit(ts *testscript.TestScript, p *proc) {
	select {
	case <-p.done:
	case <-time.After(hangTimeout):
		ts.Fatalf("%s did not exit", p.name)
	}
	c.bal.remove(p.name)
	c.sampler.remove(p.name)
	c.setEntries(ts)
}

func cmdFreeze(c *cluster, ts *testscript.TestScript, args []string) {
	ts.Check(c.proc(ts, args[0]).cmd.Process.Signal(syscall.SIGSTOP))
}

func cmdThaw(c *cluster, ts *testscript.TestScript, args []string) {
	ts.Check(c.proc(ts, args[0]).cmd.Process.Signal(syscall.SIGCONT))
}

func cmdControl(c *cluster, ts *testscript.TestScript, args []string) {
	body := []byte("{}")
	if len(args) > 2 {
		body = []byte(args[2])
	}
	ts.Check(post("http://"+c.proc(ts, args[0]).addr+"/control/"+args[1], body, nil))
}

// cmdRace runs tanagerrock commands, separated by --, concurrently and prints their
// exit codes and outputs.
func cmdRace(c *cluster, ts *testscript.TestScript, args []string) {
	var cmds []*exec.Cmd
	for _, part := range strings.Split(strings.Join(args, "\x00"), "\x00--\x00") {
		cmd := exec.Command(c.lookPath("tanagerrock"), strings.Split(part, "\x00")...)
		cmd.Dir = c.dir
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
