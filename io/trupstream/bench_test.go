package trupstream_test

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	"tanagerrock/core/trclock"
	"tanagerrock/core/trdirectory"
	"tanagerrock/core/trgateway"
	"tanagerrock/core/trmetric"
)

// BenchmarkQuery measures a merged query over 90 shards, including the work of the
// simulated upstreams. For comparison, an instance of a large fleet has a fifth of a
// core.
func BenchmarkQuery(b *testing.B) {
	u := newUpstream(b, nil)
	u.answer = func(r *http.Request, _ int64) (string, connAction) {
		return reply(r.Header.Get("Id"), "0123456789abcdef0123456789abcdef"), keepOpen
	}
	d := &trdirectory.Directory{Revision: 1, Config: &trdirectory.Config{Version: 1, Routes: []trdirectory.Route{
		{Name: "q", Host: "h", Prefix: "/", Idempotent: true, TimeoutMs: 800, ObjectiveMs: 200, Attempts: 2, Top: 20, LeastShare: 0.95},
	}}}
	for i := range 90 {
		s := fmt.Sprint("s", i)
		d.Config.Routes[0].Shards = append(d.Config.Routes[0].Shards, s)
		for j := range 3 {
			d.Upstreams = append(d.Upstreams, trdirectory.Upstream{ID: fmt.Sprint(s, j), Service: s, Zone: "a", Addr: u.listener.Addr().String(), Slots: 2})
		}
	}
	directory := &trdirectory.Cache{Clock: trclock.System()}
	directory.Adopt(d)
	metrics := new(trmetric.Registry)
	c := newClient()
	c.Metrics = metrics
	defer c.Close()
	gw := trgateway.New(trgateway.Config{Clock: trclock.System(), Tables: directory, Sender: c, Zone: "a", Metrics: metrics,
		Bounds: trgateway.Bounds{RepeatShare: 0.2, RepeatSlack: 100, RepeatWindow: 10 * time.Second}})
	b.ReportAllocs()
	for n := 0; b.Loop(); n++ {
		req := request(fmt.Sprint("x", n))
		req.Host, req.Target, req.Path, req.Method, req.Body, req.Began = "h", "/", "/", "GET", nil, time.Now()
		req.Head = c.Headers.EncodeHead(req)
		if resp := gw.Serve(context.Background(), req); resp.Status != 200 {
			b.Fatal(resp.Status, resp.Reason)
		}
	}
}
