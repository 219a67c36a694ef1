package main

import (
	"bytes"
	"fmt"
	"hash/crc32"
	"math"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Bounds and services of all cases, as at the users' smaller site.
const (
	coldOverage = 1.5
	coldSlack   = 5.0
	warmupTime  = 3 * time.Second
	maxBody     = 262144
)

// cases holds all cases by name.
var cases = map[string]caseFunc{
	"truncated": playTruncated,
	"refused":   playRefused,
	"cold":      playCold,
	"stray":     playStray,
}

// configure writes a configuration with one route, /orders/, that leads to the service
// "pedidos".
func (w *world) configure(kind string, warmupPerS float64) {
	w.store.put("op/config", map[string]any{
		"version": 7,
		"routes": []any{map[string]any{
			"name": "r-orders", "hostname": host, "prefix": "/orders/", "kind": kind, "timeout_ms": 4000, "slo_ms": 600,
			"prio": 2, "service": "pedidos", "max_attempts": 2,
		}},
		"services": []any{map[string]any{
			"name": "pedidos", "health_path": "/healthz", "max_conns": 110, "protocol": "h1", "tls": false,
			"warmup_s": warmupTime.Seconds(), "warmup_per_s": warmupPerS,
		}},
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": maxBody, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
}

// addLeafs starts leafs of the service "pedidos", one in each of the given zones. The
// handler of leaf i answers its requests.
func (w *world) addLeafs(j *journal, handler func(i int) func(*exchange), zones ...string) ([]*leaf, error) {
	var leafs []*leaf
	for i, zone := range zones {
		addr, err := w.freeAddr()
		if err != nil {
			return nil, err
		}
		l := &leaf{w: w, id: fmt.Sprintf("i-7f3a91c%d", i), service: "pedidos", addr: addr, zone: zone, journal: j, serveExchange: handler(i)}
		if err := l.start(); err != nil {
			return nil, err
		}
		leafs = append(leafs, l)
	}
	return leafs, nil
}

// every calls f n times, at even intervals that add up to a rate, from as many callers as
// given, which are spread over the gateways.
func (w *world) every(n int, perS float64, callers int, f func(c *caller, k int)) {
	var wg sync.WaitGroup
	began := time.Now()
	for i := range callers {
		c := &caller{w: w, addr: w.gateways[i%len(w.gateways)].front}
		wg.Go(func() {
			defer c.close()
			for k := i; k < n; k += callers {
				time.Sleep(time.Until(began.Add(time.Duration(float64(k) / perS * float64(time.Second)))))
				f(c, k)
			}
		})
	}
	wg.Wait()
}

// episodes are the times in which a disruption is in force, counted from a start.
type episodes struct {
	began              time.Time
	first, length, gap time.Duration
	n                  int
}

// active reports whether the disruption is in force now.
func (e *episodes) active() bool {
	since := time.Since(e.began) - e.first
	if e.began.IsZero() || since < 0 {
		return false
	}
	period := e.length + e.gap
	return int(since/period) < e.n && since%period < e.length
}

// counter counts events by name. Its methods are safe for concurrent use.
type counter struct {
	mu sync.Mutex
	n  map[string]int
}

func (c *counter) add(name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.n == nil {
		c.n = make(map[string]int)
	}
	c.n[name]++
}

func (c *counter) get(name string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.n[name]
}

// playTruncated sends long requests. One of two leafs answers one in twenty of its requests
// before they are in, without a length, and breaks that answer off with a reset. The rule
// is broken if a client gets such an answer as a whole one.
func playTruncated(w *world, trouble bool) (bool, error) {
	const (
		requests = 330
		perS     = 6
		share    = 20 // one in so many answers is broken off
	)
	j := new(journal)
	var answers counter
	garbled := &episodes{first: 4 * time.Second, length: 5 * time.Second, gap: 2 * time.Second, n: 7}
	whole := bytes.Repeat([]byte("0123456789abcdef"), 64)
	handler := func(i int) func(*exchange) {
		return func(x *exchange) {
			if !trouble || i != 0 || !garbled.active() {
				x.answer(http.StatusOK, whole)
				return
			}
			answers.add(x.leaf.id)
			if answers.get(x.leaf.id)%share != 0 {
				x.answer(http.StatusOK, whole)
				return
			}
			r := x.run(http.StatusOK, whole)
			w.record(x.leaf.id, "answers %s early and breaks off after %d of %d bytes", x.id, len(whole)/2, len(whole))
			time.Sleep(w.workTime)
			_, _ = x.conn.Write(append(r.head(-1), whole[:len(whole)/2]...))
			time.Sleep(4 * w.workTime)
			reset(x.conn)
			x.closeAfter = true
		}
	}
	w.configure("non_idempotent", 0)
	if _, err := w.addLeafs(j, handler, "blumenau", "joinville"); err != nil {
		return false, err
	}
	if err := w.addGateways("blumenau"); err != nil {
		return false, err
	}
	body := bytes.Repeat([]byte{'b'}, 250_000)
	var seen counter
	garbled.began = time.Now()
	w.every(requests, perS, 1, func(c *caller, _ int) {
		a := c.send(http.MethodPost, "/orders/new", body, 4*time.Second)
		seen.add(w.judge(j, a))
	})
	return w.report(&seen, requests), nil
}

// judge compares what a client got with what the leaf answered, and returns a word for it.
func (w *world) judge(j *journal, a answer) string {
	if a.status < 200 || a.status > 299 {
		return "no success"
	}
	for _, r := range j.of(a.id) {
		if r.stamp != a.stamp {
			continue
		}
		switch {
		case r.status < 200 || r.status > 299:
			w.record("judge", "MIXED: %s got %d, its leaf answered %d", a.id, a.status, r.status)
			return "broken"
		case !bytes.Equal(r.body, a.body):
			w.record("judge", "MIXED: %s got %d with %d of the %d bytes of the leaf's body, as a whole answer", a.id, a.status, len(a.body), len(r.body))
			return "broken"
		}
		return "good"
	}
	w.record("judge", "MIXED: %s got %d with stamp %q, which no leaf gave", a.id, a.status, a.stamp)
	return "broken"
}

// report records the counts and reports whether the rule was broken.
func (w *world) report(seen *counter, requests int) bool {
	w.record("judge", "of %d requests: %d good, %d without success, %d break the rule", requests, seen.get("good"), seen.get("no success"), seen.get("broken"))
	return seen.get("broken") > 0
}

// playRefused sends requests that may run once at most. One of seven leafs answers a part of
// them with 503 after it has run them; the answers lack Not-Run. The rule is broken if a
// client is told 503 for a request that has run.
func playRefused(w *world, trouble bool) (bool, error) {
	const (
		requests = 1200
		perS     = 22.5
		grey     = 0.4 // share of the requests that the leaf fails
	)
	j := new(journal)
	var taken counter
	fails := &episodes{first: 3 * time.Second, length: 5 * time.Second, gap: 5 * time.Second, n: 5}
	handler := func(i int) func(*exchange) {
		return func(x *exchange) {
			if !trouble || i != 0 || !fails.active() {
				x.answer(http.StatusOK, []byte("the order is stored\n"))
				return
			}
			taken.add(x.leaf.id)
			n := taken.get(x.leaf.id)
			if math.Floor(float64(n)*grey) > math.Floor(float64(n-1)*grey) {
				x.answer(http.StatusServiceUnavailable, []byte("the order is stored, its confirmation failed\n"))
				return
			}
			x.answer(http.StatusOK, []byte("the order is stored\n"))
		}
	}
	w.configure("non_idempotent", 0)
	zones := []string{"blumenau", "joinville", "joinville", "joinville", "itajai", "itajai", "itajai"}
	if _, err := w.addLeafs(j, handler, zones...); err != nil {
		return false, err
	}
	if err := w.addGateways("blumenau", "joinville", "itajai"); err != nil {
		return false, err
	}
	var seen counter
	fails.began = time.Now()
	w.every(requests, perS, 9, func(c *caller, k int) {
		body := []byte("order " + strconv.Itoa(k))
		a := c.send(http.MethodPost, "/orders/new", body, 4*time.Second)
		if a.status != http.StatusServiceUnavailable && a.status != http.StatusTooManyRequests {
			seen.add(map[bool]string{true: "good", false: "no success"}[a.status == http.StatusOK])
			return
		}
		runs := j.of(a.id)
		if len(runs) == 0 {
			seen.add("no success")
			return
		}
		seen.add("broken")
		w.record("judge", "REFUSED: %s is answered %d and has run at %s", a.id, a.status, runs[0].leaf)
		// The client takes the promise at its word and sends the order once more.
		if s, err := strconv.ParseFloat(a.retry, 64); err == nil {
			time.Sleep(time.Duration(s * float64(time.Second)))
		}
		again := &caller{w: w, addr: c.addr}
		defer again.close()
		if b := again.send(http.MethodPost, "/orders/new", body, 3*time.Second); len(j.of(b.id)) > 0 {
			w.record("judge", "order %d has run twice, as %s and %s", k, a.id, b.id)
			seen.add("run twice")
		}
	})
	w.record("judge", "%d orders have run twice", seen.get("run twice"))
	return w.report(&seen, requests), nil
}

// coldPerS is the rate that a cold leaf tolerates, as its service states it.
const coldPerS = 2.0

// crashFactor is the multiple of the bound at which a cold leaf crashes.
const crashFactor = 2

// playCold crashes a leaf, which comes back cold at the same address. The rule is broken if
// it gets more requests in one second than a cold leaf may get. Well above that it crashes
// again, and what it runs is lost.
func playCold(w *world, trouble bool) (bool, error) {
	const (
		requests = 400
		perS     = 30.0
	)
	w.workTime = 160 * time.Millisecond // as at the users' site
	limit := int(coldPerS*coldOverage + coldSlack)
	j := new(journal)
	handler := func(int) func(*exchange) {
		return func(x *exchange) { x.answer(http.StatusOK, []byte("the order is stored\n")) }
	}
	w.configure("non_idempotent", coldPerS)
	leafs, err := w.addLeafs(j, handler, "blumenau", "joinville", "itajai")
	if err != nil {
		return false, err
	}
	if err := w.addGateways("blumenau", "blumenau", "joinville"); err != nil {
		return false, err
	}
	most := 0
	done := make(chan struct{})
	go func() {
		defer close(done)
		if !trouble {
			return
		}
		time.Sleep(2 * time.Second)
		l := leafs[0]
		l.crash()
		w.record(l.id, "crashes")
		time.Sleep(4 * time.Second)
		l.warm = time.Now().Add(warmupTime)
		if err = l.start(); err != nil {
			return
		}
		w.record(l.id, "is back, cold for %v; a cold leaf may get %d requests a second", warmupTime, limit)
		for time.Now().Before(l.warm) {
			time.Sleep(20 * time.Millisecond)
			if n := l.lastSecond(); n > most {
				most = n
				w.record(l.id, "is cold and got %d requests in the last second", n)
			}
			if most >= crashFactor*limit {
				l.crash()
				w.record(l.id, "crashes under the load")
				return
			}
		}
		w.record(l.id, "is warm")
	}()
	var seen counter
	w.every(requests, perS, 12, func(c *caller, _ int) {
		seen.add(w.judge(j, c.send(http.MethodPost, "/orders/new", []byte("order"), 4*time.Second)))
	})
	<-done
	if most > limit {
		w.record("judge", "FAILBACK: the cold leaf got %d requests in one second, %d are allowed", most, limit)
	}
	w.report(&seen, requests)
	return most > limit, err
}

// lastSecond returns the number of requests that arrived within the last second.
func (l *leaf) lastSecond() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for _, at := range l.arrivals {
		if time.Since(at) < time.Second {
			n++
		}
	}
	return n
}

// playStray lets one of two leafs send some bytes of a second answer, late, after one in
// twenty of its answers: they reach the gateway at the point where the next answer on the
// connection is expected. The leafs fail one request in five with their own 500. The rule is
// broken if a client gets a success for such a request.
func playStray(w *world, trouble bool) (bool, error) {
	const (
		requests = 5500
		perS     = 100
		share    = 20 // one in so many answers is followed by more bytes
	)
	j := new(journal)
	var answers counter
	garbled := &episodes{first: 3 * time.Second, length: 5 * time.Second, gap: 2 * time.Second, n: 7}
	handler := func(i int) func(*exchange) {
		return func(x *exchange) {
			if crc32.ChecksumIEEE([]byte(x.id))%5 == 3 {
				x.answer(http.StatusInternalServerError, []byte("the order cannot be stored\n"))
			} else {
				x.answer(http.StatusOK, []byte("the order is stored\n"))
			}
			if !trouble || i != 0 || !garbled.active() {
				return
			}
			answers.add(x.leaf.id)
			if answers.get(x.leaf.id)%share == 0 {
				*x.late = []byte("HTTP/1.1 200 O")
			}
		}
	}
	w.configure("non_idempotent", 0)
	if _, err := w.addLeafs(j, handler, "blumenau", "blumenau"); err != nil {
		return false, err
	}
	if err := w.addGateways("blumenau"); err != nil {
		return false, err
	}
	var seen counter
	garbled.began = time.Now()
	w.every(requests, perS, 4, func(c *caller, _ int) {
		seen.add(w.judge(j, c.send(http.MethodPost, "/orders/new", []byte("order"), 4*time.Second)))
	})
	return w.report(&seen, requests), nil
}
