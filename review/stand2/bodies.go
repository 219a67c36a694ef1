package main

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

func init() { cases["bodies"] = playBodies }

const (
	crowd     = 75     // clients
	waves     = 4      // requests of each: a client repeats at once when it is refused, as retry_abuse with x = 3
	largeBody = 262144 // max_body_bytes
	memoryMB  = 136    // of the smallest machine of kirana-tanager-grown
	shards    = 90     // of its service teller-screen
	shardWork = 8 * time.Millisecond
)

// playBodies lets a crowd of clients send bodies of the largest legal size at once, all of them
// whole, to the route that asks all shards. Without the disruption, the same clients send their
// requests one after the other and without bodies.
func playBodies(w *world, trouble bool) (string, error) {
	zones := []string{"kl-a", "kl-b", "kl-c"}
	names := shardNames(shards)
	var services []map[string]any
	for _, name := range names {
		services = append(services, service(name, 84))
		for _, zone := range zones {
			s := leafSettings{id: "i-" + name + "-" + zone, service: name, zone: zone, slots: 2, queue: 12, work: shardWork, bytes: 400}
			if _, err := w.startLeaf(s); err != nil {
				return "", err
			}
		}
	}
	route := gatherRoute(names)
	route["timeout_ms"], route["slo_ms"], route["min_share"] = 1200, 120, 0.95
	if _, err := w.store.put("op/config", config(1, []map[string]any{route}, services)); err != nil {
		return "", err
	}
	gateways, err := w.startGateways(zones, 9, map[string]any{"MemoryMB": memoryMB, "CoreShare": 0.134, "RepeatSlack": 260, "ApplyMs": 5000, "DrainMs": 5000})
	if err != nil {
		return "", err
	}
	time.Sleep(3 * time.Second)
	g := gateways[0]
	w.log("largest memory of %s before the crowd: %d KiB", g.name, g.peak())
	if trouble {
		err = w.sendAtOnce(g)
	} else {
		for i := range crowd {
			w.ask(g, request{http.MethodGet, gatherPath + "x", fmt.Sprintf("calm%04d", i), nil, nil, 1200 * time.Millisecond})
		}
	}
	if err != nil {
		return "", err
	}
	for i := range 3 {
		time.Sleep(time.Second)
		w.ask(g, request{http.MethodGet, gatherPath + "x", fmt.Sprintf("after%04d", i), nil, nil, 1200 * time.Millisecond})
	}
	peak := g.peak()
	w.log("largest memory of %s: %d KiB, limit %d KiB; running: %v", g.name, peak, memoryMB<<10, g.running())
	switch {
	case !g.running():
		return fmt.Sprintf("the process of %s has ended", g.name), nil
	case peak > memoryMB<<10:
		return fmt.Sprintf("Fault: %s took %d KiB of memory, its machine has %d KiB", g.name, peak, memoryMB<<10), nil
	}
	return "", nil
}

// sendAtOnce opens the connections of the crowd and then sends all requests at the same time.
func (w *world) sendAtOnce(g *gateway) error {
	conns := make([]net.Conn, crowd)
	for i := range conns {
		var err error
		if conns[i], err = net.DialTimeout("tcp", g.front, time.Second); err != nil {
			return err
		}
		defer conns[i].Close()
	}
	body := make([]byte, largeBody)
	var wg sync.WaitGroup
	for i, c := range conns {
		wg.Go(func() {
			req := request{http.MethodPost, gatherPath + "x", fmt.Sprintf("crowd%04d-1", i), nil, body, 1200 * time.Millisecond}
			a := answer{err: c.SetDeadline(time.Now().Add(4 * time.Second))}
			if a.err == nil {
				a = exchangeOn(c, req)
			}
			w.log("%s: %s %s (%s, body of %d) -> %s", g.name, req.method, req.path, req.id, len(body), a)
			for n := 2; n <= waves && a.status != http.StatusOK; n++ {
				req.id = fmt.Sprintf("crowd%04d-%d", i, n)
				a = w.ask(g, req)
			}
		})
	}
	wg.Wait()
	return nil
}
