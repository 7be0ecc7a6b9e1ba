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

// A connection of this package, dialled or accepted in any way, offers no copy between descriptors, neither by its methods nor
// by its raw connection. A file and another connection copied to it arrive complete.
func TestConnsDisableSplice(t *testing.T) {
	text := bytes.Repeat([]byte("0123456789abcdef"), 20_000)
	file := filepath.Join(t.TempDir(), "file")
	if err := os.WriteFile(file, text, 0o600); err != nil {
		t.Fatal(err)
	}
	bare, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = bare.Close() }()
	held, err := bare.(*net.TCPListener).File()
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = held.Close() }()
	free := func() (ln net.Listener, err error) { // a port that is free now may be another's in a moment
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
		"Listen":         free,
		"Listen, a file": func() (net.Listener, error) { return Listen(unixAddr(t, filepath.Join(t.TempDir(), "s")), 0o600) },
		"ListenTCP":      func() (net.Listener, error) { return ListenTCP("127.0.0.1:0") },
		"Passed":         func() (net.Listener, error) { return ListenInherited(strconv.Itoa(int(held.Fd()))) },
		"the clients'": func() (net.Listener, error) {
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
			if file, ok := ln.(noSpliceListener); ok && ln.Addr().Network() == "unix" { // moved to its place once it was bound
				to = unixAddr(t, file.Listener.(*fileListener).path)
			} else if to, err = address.Parse(ln.Addr().String()); err != nil {
				t.Fatal(err)
			}
			ours, theirs := connPair(t, ln, to)
			for _, nc := range []net.Conn{ours, theirs} {
				if _, ok := nc.(io.ReaderFrom); ok {
					t.Errorf("%T takes a copy", nc)
				}
				if _, ok := nc.(io.WriterTo); ok {
					t.Errorf("%T gives a copy", nc)
				}
				if s, ok := nc.(Stream); ok {
					raw, err := s.SyscallConn()
					if err != nil {
						t.Fatal(err)
					}
					if reflect.ValueOf(raw).MethodByName("PollFD").IsValid() { // what package os looks for
						t.Errorf("%T shows its descriptor's poller", raw)
					}
				}
			}
			for _, x := range [][2]net.Conn{{ours, theirs}, {theirs, ours}} {
				f, err := os.Open(file)
				if err != nil {
					t.Fatal(err)
				}
				go func() { _, _ = io.Copy(x[0], f); _ = f.Close() }()
				got := make([]byte, len(text))
				if _, err := io.ReadFull(x[1], got); err != nil || !bytes.Equal(got, text) {
					t.Errorf("a file came otherwise: %v", err)
				}
			}
		})
	}
}

// connPair are the ends of a connection to a listener, until the test ends.
func connPair(t *testing.T, ln net.Listener, to address.Addr) (ours Stream, theirs net.Conn) {
	t.Helper()
	ours, _, err := Dial(context.Background(), to, time.Minute)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ours.Close() })
	if theirs, err = ln.Accept(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = theirs.Close() })
	return ours, theirs
}

// Writes are sent at once: unsent data would be lost if the connection is closed over unread bytes.
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
	ours, theirs := connPair(t, ln, to)
	for _, s := range []Stream{ours, theirs.(Stream)} {
		raw, err := s.SyscallConn()
		if err != nil {
			t.Fatal(err)
		}
		if err := raw.Control(func(fd uintptr) {
			if v, err := syscall.GetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_NODELAY); err != nil || v == 0 {
				t.Errorf("TCP_NODELAY: %d %v", v, err)
			}
		}); err != nil {
			t.Error(err)
		}
	}
}
