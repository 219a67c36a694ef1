package trpeer

import (
	"bytes"
	"context"
	"net"
	"strings"
	"testing"
	"time"

	"golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"
	"google.golang.org/grpc"
	"gotest.tools/v3/assert"

	"tanagerrock/core/trmember"
)

// sendEndlessHeaders answers the first call on a connection by a header block without end, of at
// most limit bytes. It returns the number of bytes that were read.
func sendEndlessHeaders(nc net.Conn, limit int) (sent int) {
	defer nc.Close()
	if _, err := nc.Read(make([]byte, len(http2.ClientPreface))); err != nil {
		return 0
	}
	f := http2.NewFramer(nc, nc)
	settings := make(chan error, 1)
	go func() { settings <- f.WriteSettings() }() // the client reads only after it has written its own
	for {
		frame, err := f.ReadFrame()
		if err != nil {
			return 0
		}
		if _, ok := frame.(*http2.HeadersFrame); ok {
			break
		}
	}
	if <-settings != nil {
		return 0
	}
	var b bytes.Buffer
	_ = hpack.NewEncoder(&b).WriteField(hpack.HeaderField{Name: "x-long", Value: strings.Repeat("a", 8<<10), Sensitive: true}) // into a buffer
	err := f.WriteHeaders(http2.HeadersFrameParam{StreamID: 1, BlockFragment: b.Bytes()})
	for ; err == nil && sent < limit; sent += b.Len() {
		err = f.WriteContinuation(1, false, b.Bytes())
	}
	return sent
}

// TestEndlessHeadersOfPeerAreAbandoned guards against memory that grows with header fields without
// end that another instance, or a server at its address, sends in answer to a call.
func TestEndlessHeadersOfPeerAreAbandoned(t *testing.T) {
	client, server := net.Pipe()
	read := make(chan int, 1)
	go func() { read <- sendEndlessHeaders(server, 64<<20) }()
	c := NewClient(ClientConfig{ConnectTimeout: 5 * time.Second, DialOptions: []grpc.DialOption{
		grpc.WithContextDialer(func(context.Context, string) (net.Conn, error) { return client, nil }),
	}})
	defer c.Close()
	_, err := c.Push(t.Context(), "peer", &trmember.Push{From: "a"})
	assert.Assert(t, err != nil)
	client.Close()
	n := <-read
	assert.Assert(t, n > 0)
	assert.Assert(t, n <= 4*maxHeaderList, "%d bytes were read", n)
}
