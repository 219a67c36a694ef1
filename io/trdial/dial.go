// Package trdial opens TCP connections that detect an unresponsive peer.
//
// A connection may stop working for good while new ones succeed, for example because
// a middlebox has lost its state. The kernel closes a connection of this package if
// sent data, or a keep-alive probe, is not acknowledged in time. A peer that is merely
// slow still acknowledges.
//
// # Usage
//
//	nc, err := trdial.Context(ctx, "tcp", addr)
package trdial

import (
	"context"
	"net"
	"syscall"
	"time"
)

const (
	// dialTimeout bounds the time to open a connection. It allows for a round trip of
	// 10 ms, a handshake of 6 ms and a busy peer.
	dialTimeout = 300 * time.Millisecond
	// userTimeout is the time after which a connection with unacknowledged data is
	// closed. Lost packets are retransmitted after 200 ms, then after another 400 ms.
	userTimeout = 1500 * time.Millisecond
	// Keep-alive probes detect an unresponsive peer of an idle connection within 2.5 s.
	keepAliveIdle     = time.Second
	keepAliveInterval = 500 * time.Millisecond
	keepAliveCount    = 3
	// tcpUserTimeoutOption is the Linux socket option TCP_USER_TIMEOUT, which package
	// syscall does not define.
	tcpUserTimeoutOption = 0x12
)

// KeepAlive configures the keep-alive probes of idle connections.
var KeepAlive = net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount}

// DialContext connects to addr on the named network. It can be used as the DialContext
// function of an http.Transport.
func DialContext(ctx context.Context, network, addr string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: dialTimeout, KeepAliveConfig: KeepAlive, Control: setUserTimeout}
	return dialer.DialContext(ctx, network, addr)
}

// setUserTimeout sets TCP_USER_TIMEOUT on a socket. It is the Control function of a
// net.Dialer.
func setUserTimeout(_, _ string, rc syscall.RawConn) error {
	var optErr error
	err := rc.Control(func(fd uintptr) {
		optErr = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeoutOption, int(userTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return optErr
}
