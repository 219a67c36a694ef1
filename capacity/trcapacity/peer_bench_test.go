package trcapacity

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"google.golang.org/grpc"

	"tanagerrock/core/trclock"
	"tanagerrock/core/trmember"
	"tanagerrock/core/trwire"
	"tanagerrock/io/trpeer"
)

// peerHandler serves the exchanges of a group and refuses forwarded requests.
type peerHandler struct{ *trmember.Group }

func (peerHandler) Forward(context.Context, *trpeer.ForwardRequest) (*trwire.Answer, *trwire.Refusal) {
	return nil, trwire.Refuse(trwire.NotRun, "forwarded requests are not served")
}

// BenchmarkPeerCall measures both ends of one gRPC exchange over loopback, on a
// connection that is kept open and on one that is opened for the exchange. With 1,300
// members and 64 kept connections, nearly every probe opens a connection.
func BenchmarkPeerCall(b *testing.B) {
	for _, c := range []struct {
		name     string
		maxConns int
	}{{"Kept", 64}, {"Opened", 1}} {
		b.Run(c.name, func(b *testing.B) {
			var bytes atomic.Int64
			client := trpeer.NewClient(trpeer.ClientConfig{
				MaxConnections: c.maxConns, ConnectTimeout: time.Second,
				DialOptions: []grpc.DialOption{grpc.WithContextDialer(func(ctx context.Context, addr string) (net.Conn, error) {
					var d net.Dialer
					conn, err := d.DialContext(ctx, "tcp", addr)
					if err != nil {
						return nil, err
					}
					return countingConn{conn, &bytes}, nil
				})},
			})
			defer client.Close()
			var addrs []string
			for _, id := range []string{"entry-1", "entry-2"} {
				l, err := net.Listen("tcp", "127.0.0.1:0")
				if err != nil {
					b.Fatal(err)
				}
				group := trmember.NewGroup(trmember.Config{Self: trmember.Member{ID: id, Zone: zones[0], PeerAddr: l.Addr().String()}, Clock: trclock.System(), Transport: client})
				server := trpeer.NewServer(peerHandler{group})
				go func() { _ = server.Serve(l) }()
				defer func() {
					ctx, cancel := context.WithCancel(context.Background())
					cancel()
					server.Stop(ctx)
				}()
				addrs = append(addrs, l.Addr().String())
			}
			ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
			defer cancel()
			probe := &trmember.Exchange{From: trmember.Member{ID: "entry-0", Incarnation: 1, Zone: zones[0], PeerAddr: "10.0.0.1:7001", State: trmember.Alive, SenderIndex: -1}}
			call := func(n int) {
				if _, err := client.Exchange(ctx, addrs[n%2], probe); err != nil {
					b.Fatal(err)
				}
			}
			call(0)
			call(1)
			bytes.Store(0)
			start := cpuTime()
			b.ResetTimer()
			for n := range b.N {
				call(n)
			}
			b.ReportMetric(float64((cpuTime()-start).Microseconds())/float64(b.N), "cpu-us")
			b.ReportMetric(float64(bytes.Load())/float64(b.N), "wire-B")
		})
	}
}
