package trcapacity

import (
	"context"
	"fmt"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"tanagerrock/core/trwire"
	"tanagerrock/io/trleaf"
	"tanagerrock/standin/trfakeleaf"
)

// countingConn counts the bytes read and written.
type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

// BenchmarkLeafCall measures one hello and one sub-query with 20 records over a
// loopback connection: the bytes in both directions without TCP headers, and the CPU
// time of both ends.
func BenchmarkLeafCall(b *testing.B) {
	fleet, err := trfakeleaf.StartFleet(trfakeleaf.FleetConfig{
		Zones: zones[:1], JournalSize: 100,
		Services: []trfakeleaf.ServiceConfig{{Name: "search", Replicas: 1, Records: 200}},
	})
	if err != nil {
		b.Fatal(err)
	}
	defer fleet.Close()
	leaf := fleet.Leafs()[0]
	var bytes atomic.Int64
	client := trleaf.NewClient(trleaf.Options{
		Dial: func(ctx context.Context, addr string) (net.Conn, error) {
			var d net.Dialer
			c, err := d.DialContext(ctx, "tcp", addr)
			if err != nil {
				return nil, err
			}
			return countingConn{c, &bytes}, nil
		},
		Limits: func(string) trleaf.Limits { return trleaf.Limits{Connections: 2, DialTimeout: time.Second} },
	})
	defer client.Close()
	ctx := context.Background()
	target := trleaf.Target{LeafID: leaf.ID(), Addr: leaf.Addr(), Service: "search"}
	query := &trwire.SubQuery{
		RequestID: "0b7e3a52-9c1d-4c11-8f0e-3d2a55b0c7aa", SubID: "s", Sender: "entry-12345678", Tenant: "t", Class: "c",
		Service: "search", StartID: leaf.StartID(), Kind: trwire.Query, Version: 1, ShardCount: 1, Limit: 20, TimeoutMs: 1000,
	}
	calls := []struct {
		name string
		call func() error
	}{
		{"Hello", func() error { _, err := client.Hello(ctx, target); return err }},
		{"Query", func() error { _, err := client.Send(ctx, target, query); return err }},
	}
	for _, c := range calls {
		b.Run(c.name, func(b *testing.B) {
			for n := range 10 {
				query.SubID = fmt.Sprint("warm-", n)
				if err := c.call(); err != nil {
					b.Fatal(err)
				}
			}
			bytes.Store(0)
			start := cpuTime()
			for n := range b.N {
				query.SubID = fmt.Sprint("s-", n)
				if err := c.call(); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64((cpuTime()-start).Microseconds())/float64(b.N), "cpu-us")
			b.ReportMetric(float64(bytes.Load())/float64(b.N), "wire-B")
		})
	}
}
