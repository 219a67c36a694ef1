package main

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["unsigned"] = playUnsigned }

const (
	// spoiledEach is the share of the answers of a faulty leaf that are spoiled: x = 0.04 of
	// garble, as on trouble-1 of bertoldi-busca.
	spoiledEach = 25
	// pace is the time between the requests to a gateway. Idle connections to leafs last 1 s,
	// so most requests open a new one.
	pace   = 700 * time.Millisecond
	rounds = 80
)

// page is what a faulty leaf sends in place of a response.
const page = "HTTP/1.1 200 OK\r\nContent-Type: text/html\r\nContent-Length: 27\r\nConnection: close\r\n\r\n<html>under repair</html>\r\n"

// playUnsigned sends requests that may run once to a service half of whose leafs spoil answers.
func playUnsigned(w *world, trouble bool) (string, error) {
	zones := []string{"blumenau", "joinville", "itajai"}
	for i := range 6 {
		s := leafSettings{id: fmt.Sprintf("i-pedidos-%d", i), service: "pedidos", zone: zones[i%3], slots: 3, queue: 12, work: 5 * time.Millisecond, bytes: 400, idle: time.Second}
		if trouble && i < 3 {
			s.spoil = spoil
		}
		if _, err := w.startLeaf(s); err != nil {
			return "", err
		}
	}
	cfg := config(1, []map[string]any{orderRoute("non_idempotent", "pedidos")}, []map[string]any{service("pedidos", 110)})
	if _, err := w.store.put("op/config", cfg); err != nil {
		return "", err
	}
	gateways, err := w.startGateways(zones, 9, nil)
	if err != nil {
		return "", err
	}
	time.Sleep(4 * time.Second)
	var unsigned atomic.Int64
	var clients sync.WaitGroup
	for k, g := range gateways {
		clients.Go(func() {
			for i := range rounds {
				id := fmt.Sprintf("order%d%05d", k, i)
				a := w.ask(g, request{http.MethodPost, orderPath + "x", id, nil, []byte("{}"), time.Second})
				if a.status >= 200 && a.status < 300 && a.stamp == "" {
					w.log("%s: a success without Server-Stamp: %q", id, a.body)
					unsigned.Add(1)
				}
				time.Sleep(pace)
			}
		})
	}
	clients.Wait()
	if n := unsigned.Load(); n > 0 {
		return fmt.Sprintf("MIXED: %d of %d requests got a success without the Server-Stamp of a leaf", n, rounds*len(gateways)), nil
	}
	return "", nil
}

var answers atomic.Int64 // of faulty leafs

// spoil sends bytes that are no response of a leaf.
func spoil(l *leaf, w http.ResponseWriter, r *http.Request) bool {
	if answers.Add(1)%spoiledEach != 0 {
		return false
	}
	c, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return false
	}
	defer c.Close()
	l.world.log("%s sends a page in place of the response to %s", l.id, r.Header.Get("Request-Id"))
	_, _ = c.Write([]byte(page)) // an error means that the caller has left
	return true
}
