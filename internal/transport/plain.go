package transport

import (
	"context"
	"net"
	"syscall"
	"time"
)

// noSpliceConn is a connection with Read and Write alone. The system calls with which a copy passes a process by
// (splice, sendfile) may be refused, and a library that copies looks for them by itself: by the
// methods ReadFrom and WriteTo, and by the poll descriptor behind a raw connection. It finds neither
// here, and writes as anybody does.
type noSpliceConn struct {
	net.Conn
	raw syscall.RawConn
}

// noPollRawConn is a raw connection without its poll descriptor.
type noPollRawConn struct{ syscall.RawConn }

// DisableSplice makes a connection of the system one that no copy goes past.
func DisableSplice(nc net.Conn) (Stream, error) {
	raw, err := nc.(syscall.Conn).SyscallConn() // TCP and Unix connections both are
	if err != nil {
		return nil, err
	}
	return &noSpliceConn{nc, noPollRawConn{raw}}, nil
}

// SyscallConn implements syscall.Conn.
func (p *noSpliceConn) SyscallConn() (syscall.RawConn, error) { return p.raw, nil }

// noSpliceListener accepts such connections.
type noSpliceListener struct{ net.Listener }

// Accept implements net.Listener.
func (l noSpliceListener) Accept() (net.Conn, error) {
	nc, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	p, err := DisableSplice(nc)
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
	return DisableSplice(nc)
}
