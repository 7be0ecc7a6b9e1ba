package transport

import (
	"bytes"
	"context"
	"io"
	"net"
	"os"
	"path/filepath"
	"reflect"
	"strconv"
	"syscall"
	"testing"
	"time"

	"wheatsaddle/internal/address"
)

// A connection of this package, dialled or accepted in any way, does not let io.Copy use splice or sendfile: neither its methods
// nor its raw connection support them. A file copied to it arrives complete.
func TestConnsDisableSplice(t *testing.T) {
	content := bytes.Repeat([]byte("0123456789abcdef"), 20_000)
	file := filepath.Join(t.TempDir(), "file")
	if err := os.WriteFile(file, content, 0o600); err != nil {
		t.Fatal(err)
	}
	tcp, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = tcp.Close() }()
	inherited, err := tcp.(*net.TCPListener).File()
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = inherited.Close() }()
	listenOnFreePort := func() (ln net.Listener, err error) { // retries, as another process may take a free port before it is used
		for range 20 {
			if ln, err = net.Listen("tcp", "127.0.0.1:0"); err == nil {
				a, perr := address.Parse(ln.Addr().String())
				if ln.Close(); perr != nil {
					return nil, perr
				}
				if ln, err = Listen(a, 0); err == nil {
					return ln, nil
				}
			}
		}
		return nil, err
	}
	for name, listen := range map[string]func() (net.Listener, error){
		"Listen":                  listenOnFreePort,
		"Listen on a socket file": func() (net.Listener, error) { return Listen(unixAddr(t, filepath.Join(t.TempDir(), "s")), 0o600) },
		"ListenTCP":               func() (net.Listener, error) { return ListenTCP("127.0.0.1:0") },
		"ListenInherited":         func() (net.Listener, error) { return ListenInherited(strconv.Itoa(int(inherited.Fd()))) },
		"Listener of ListenTCP": func() (net.Listener, error) {
			ln, err := ListenTCP("127.0.0.1:0")
			return limit(ln, 10), err
		},
	} {
		t.Run(name, func(t *testing.T) {
			ln, err := listen()
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = ln.Close() }()
			var to address.Addr
			// Addr of a listener on a socket file has the temporary name under which the socket was bound.
			if file, ok := ln.(noSpliceListener); ok && ln.Addr().Network() == "unix" {
				to = unixAddr(t, file.Listener.(*fileListener).path)
			} else if to, err = address.Parse(ln.Addr().String()); err != nil {
				t.Fatal(err)
			}
			dialed, accepted := connPair(t, ln, to)
			for _, nc := range []net.Conn{dialed, accepted} {
				if _, ok := nc.(io.ReaderFrom); ok {
					t.Errorf("%T implements io.ReaderFrom", nc)
				}
				if _, ok := nc.(io.WriterTo); ok {
					t.Errorf("%T implements io.WriterTo", nc)
				}
				if s, ok := nc.(Stream); ok {
					raw, err := s.SyscallConn()
					if err != nil {
						t.Fatal(err)
					}
					if reflect.ValueOf(raw).MethodByName("PollFD").IsValid() { // package os checks for this method
						t.Errorf("%T has the method PollFD", raw)
					}
				}
			}
			for _, x := range [][2]net.Conn{{dialed, accepted}, {accepted, dialed}} {
				f, err := os.Open(file)
				if err != nil {
					t.Fatal(err)
				}
				go func() { _, _ = io.Copy(x[0], f); _ = f.Close() }()
				got := make([]byte, len(content))
				if _, err := io.ReadFull(x[1], got); err != nil || !bytes.Equal(got, content) {
					t.Errorf("the file arrived incomplete or changed: %v", err)
				}
			}
		})
	}
}

// connPair returns both ends of a connection to a listener. They are closed when the test ends.
func connPair(t *testing.T, ln net.Listener, to address.Addr) (dialed Stream, accepted net.Conn) {
	t.Helper()
	dialed, _, err := Dial(context.Background(), to, time.Minute)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = dialed.Close() })
	if accepted, err = ln.Accept(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = accepted.Close() })
	return dialed, accepted
}

// Writes are sent at once. Unsent data would be lost if the connection were closed with unread bytes.
func TestWritesAreNotBuffered(t *testing.T) {
	ln, err := ListenTCP("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = ln.Close() }()
	to, err := address.Parse(ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	dialed, accepted := connPair(t, ln, to)
	for _, s := range []Stream{dialed, accepted.(Stream)} {
		raw, err := s.SyscallConn()
		if err != nil {
			t.Fatal(err)
		}
		if err := raw.Control(func(fd uintptr) {
			if v, err := syscall.GetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_NODELAY); err != nil || v == 0 {
				t.Errorf("TCP_NODELAY is %d, error %v, want it set", v, err)
			}
		}); err != nil {
			t.Error(err)
		}
	}
}
