package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"
)

// world holds the stand-ins and the gateways of one case.
type world struct {
	began time.Time
	dir   string // temporary folder
	host  string // first three numbers of the loopback addresses of this run
	store *store

	// workTime is how long a leaf works on a request.
	workTime time.Duration

	mu       sync.Mutex
	out      *bufio.Writer
	file     *os.File
	lastIP   int
	gateways []*gateway
	closed   bool
}

// defaultWork is the work time of a leaf unless a case sets another.
const defaultWork = 10 * time.Millisecond

func newWorld(file string) (*world, error) {
	f, err := os.Create(file)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	w := &world{began: time.Now(), dir: dir, file: f, out: bufio.NewWriter(f), workTime: defaultWork}
	w.host = fmt.Sprintf("127.%d.%d", 1+rand.IntN(250), 1+rand.IntN(250))
	addr, err := w.freeAddr()
	if err != nil {
		return nil, err
	}
	w.store, err = newStore(addr)
	return w, err
}

// record appends a line to the record.
func (w *world) record(who, format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.closed {
		fmt.Fprintf(w.out, "%9.3f %-10s %s\n", time.Since(w.began).Seconds(), who, fmt.Sprintf(format, args...))
	}
}

// freeIP returns a loopback address that this run does not use yet.
func (w *world) freeIP() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lastIP++
	return fmt.Sprintf("%s.%d", w.host, w.lastIP)
}

// freeAddr returns an address of its own with a free port.
func (w *world) freeAddr() (string, error) {
	addrs, err := addrsAt(w.freeIP(), 1)
	if err != nil {
		return "", err
	}
	return addrs[0], nil
}

// addrsAt returns n addresses with different ports that are free at ip.
func addrsAt(ip string, n int) ([]string, error) {
	var addrs []string
	for range n {
		l, err := net.Listen("tcp", ip+":0")
		if err != nil {
			return nil, err
		}
		defer l.Close() // after all ports have been chosen
		addrs = append(addrs, l.Addr().String())
	}
	return addrs, nil
}

// metricsPort is the port of the metrics in the template of the settings.
const metricsPort = ":9464"

// close ends the gateways that this run started and completes the record.
func (w *world) close() {
	w.mu.Lock()
	gateways := w.gateways
	w.gateways = nil
	w.mu.Unlock()
	for _, g := range gateways {
		g.kill()
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed {
		return
	}
	w.closed = true
	_ = w.out.Flush()
	_ = w.file.Close()
	_ = os.RemoveAll(w.dir)
}

// gatewayAddrs returns an address at which metricsPort is free, and three more there.
func (w *world) gatewayAddrs() (ip string, addrs []string, err error) {
	for range 5 {
		ip = w.freeIP()
		metrics, listenErr := net.Listen("tcp", ip+metricsPort)
		if err = listenErr; err != nil {
			continue
		}
		addrs, err = addrsAt(ip, 3)
		_ = metrics.Close()
		return ip, addrs, err
	}
	return "", nil, err
}

// gateway is a gateway process.
type gateway struct {
	name, zone, ip      string
	front, ready, peers string
	settings            string
	cmd                 *exec.Cmd
	log                 *os.File
}

// command returns the command of the deploy file with another settings file.
func command(settings string) ([]string, error) {
	deploy, err := os.ReadFile("deploy/system.toml")
	if err != nil {
		return nil, err
	}
	m := regexp.MustCompile(`(?m)^run = "(.*)"$`).FindSubmatch(deploy)
	if m == nil {
		return nil, errors.New("deploy/system.toml has no run command")
	}
	args := strings.Fields(string(m[1]))
	for i := range args {
		if strings.HasPrefix(args[i], "/etc/") {
			args[i] = settings
		}
	}
	return args, nil
}

// fill fills in the template of the settings. Its names are those of DEPLOY.md.
func fill(template string, fields map[string]any) string {
	return regexp.MustCompile(`\{\{([a-z_.]+)(\|json)?\}\}`).ReplaceAllStringFunc(template, func(word string) string {
		name, asJSON := strings.CutSuffix(strings.Trim(word, "{}"), "|json")
		if !asJSON {
			return fmt.Sprint(fields[name])
		}
		data, err := json.Marshal(fields[name])
		if err != nil {
			panic(err) // the fields are constants of this program
		}
		return string(data)
	})
}

// addGateways prepares one gateway in each of the given zones and starts them.
func (w *world) addGateways(zones ...string) error {
	template, err := os.ReadFile("deploy/settings.jsonc")
	if err != nil {
		return err
	}
	var seeds []string
	for i, zone := range zones {
		ip, addrs, err := w.gatewayAddrs()
		if err != nil {
			return err
		}
		g := &gateway{name: fmt.Sprintf("front-%s-%d", zone, i+1), zone: zone, ip: ip, front: addrs[0], ready: addrs[1], peers: addrs[2]}
		w.gateways = append(w.gateways, g)
		if len(seeds) < 3 {
			seeds = append(seeds, g.peers)
		}
	}
	for _, g := range w.gateways {
		g.settings = filepath.Join(w.dir, g.name+".json")
		text := fill(string(template), map[string]any{
			"node_name": g.name, "zone": g.zone, "bind_ip": g.ip, "listen_addrs.front": g.front, "listen_addrs.ready": g.ready,
			"listen_addrs.control": g.peers, "platform.addr": w.store.addr, "seed_addrs": seeds, "bootstrap": true,
			"params.grace_s": 6, "params.config_apply_ms": 3000, "params.budget_ratio": 0.2, "params.budget_slack": 58,
			"params.budget_window_s": 10, "params.warmup_overage": coldOverage, "params.warmup_slack": coldSlack,
			"limits.memory_mb": 284, "limits.cpu_share": 0.4, "limits.cpu_cores": 1,
		})
		if err := os.WriteFile(g.settings, []byte(text), 0o600); err != nil {
			return err
		}
		if err := w.start(g); err != nil {
			return err
		}
	}
	return w.awaitReady()
}

// start starts a gateway process. It ends when this process ends.
func (w *world) start(g *gateway) error {
	args, err := command(g.settings)
	if err != nil {
		return err
	}
	if g.log, err = os.OpenFile(filepath.Join(w.dir, g.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600); err != nil {
		return err
	}
	g.cmd = exec.Command(args[0], args[1:]...)
	g.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + w.dir, "LANG=C"}
	g.cmd.Stdout, g.cmd.Stderr = g.log, g.log
	g.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	w.record(g.name, "starts: %s", strings.Join(args[:len(args)-1], " "))
	return g.cmd.Start()
}

func (g *gateway) kill() {
	if g.cmd == nil || g.cmd.Process == nil {
		return
	}
	_ = g.cmd.Process.Kill()
	_ = g.cmd.Wait()
	_ = g.log.Close()
}

// awaitReady waits until all gateways report that they are ready.
func (w *world) awaitReady() error {
	client := http.Client{Timeout: time.Second}
	for _, g := range w.gateways {
		ready := false
		for end := time.Now().Add(15 * time.Second); time.Now().Before(end) && !ready; time.Sleep(50 * time.Millisecond) {
			resp, err := client.Get("http://" + g.ready + "/v1/ready")
			if err == nil {
				ready = resp.StatusCode == http.StatusOK
				_ = resp.Body.Close()
			}
		}
		if !ready {
			log, _ := os.ReadFile(g.log.Name())
			return fmt.Errorf("%s is not ready: %s", g.name, log)
		}
		w.record(g.name, "is ready")
	}
	return nil
}
