package transport

import (
	"context"
	"net"
	"syscall"
	"time"
)

// plain is a connection with Read and Write alone. The system calls with which a copy passes a process by
// (splice, sendfile) may be refused, and a library that copies looks for them by itself: by the
// methods ReadFrom and WriteTo, and by the poll descriptor behind a raw connection. It finds neither
// here, and writes as anybody does.
type plain struct {
	net.Conn
	raw syscall.RawConn
}

// rawOnly is a raw connection without its poll descriptor.
type rawOnly struct{ syscall.RawConn }

// Plain makes a connection of the system one that no copy goes past.
func Plain(nc net.Conn) (Stream, error) {
	raw, err := nc.(syscall.Conn).SyscallConn() // TCP and Unix connections both are
	if err != nil {
		return nil, err
	}
	return &plain{nc, rawOnly{raw}}, nil
}

// SyscallConn implements syscall.Conn.
func (p *plain) SyscallConn() (syscall.RawConn, error) { return p.raw, nil }

// plainListener accepts such connections.
type plainListener struct{ net.Listener }

// Accept implements net.Listener.
func (l plainListener) Accept() (net.Conn, error) {
	nc, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	p, err := Plain(nc)
	if err != nil { // it was closed in the very moment
		nc.Close()
		return nil, syscall.ECONNABORTED // passes: the next is accepted
	}
	return p, nil
}

// DialTCP connects to host:port within the time.
func DialTCP(ctx context.Context, to string, within time.Duration) (Stream, error) {
	nc, err := (&net.Dialer{Timeout: within}).DialContext(ctx, "tcp", to)
	if err != nil {
		return nil, err
	}
	return Plain(nc)
}
