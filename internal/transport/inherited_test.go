package transport

import (
	"errors"
	"net"
	"os"
	"runtime"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"
)

// During a process replacement both processes accept on the inherited descriptor.
func TestInheritedSocketListens(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = ln.Close() }()
	f, err := ln.(*net.TCPListener).File() // a copy, as a child would inherit it
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = f.Close() }()
	passed, err := ListenInherited(strconv.Itoa(int(f.Fd())))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = passed.Close() }()
	if passed.Addr().String() != ln.Addr().String() {
		t.Fatalf("passed listener at %s, the socket at %s", passed.Addr(), ln.Addr())
	}
	ln.Close() // the first holder goes; the socket stays with the other
	nc, err := net.Dial("tcp", passed.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = nc.Close() }()
	got, err := passed.Accept()
	if err != nil {
		t.Fatal(err)
	}
	_ = got.Close()
}

// A descriptor that is no stream socket is an error.
func TestInheritedSocketMustBeStream(t *testing.T) {
	r, w, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = r.Close() }()
	defer func() { _ = w.Close() }()
	if _, err := ListenInherited(strconv.Itoa(int(r.Fd()))); err == nil {
		t.Fatal("a pipe was taken for a listening socket")
	}
	udp, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = udp.Close() }()
	uf, err := udp.(*net.UDPConn).File()
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = uf.Close() }()
	if _, err := ListenInherited(strconv.Itoa(int(uf.Fd()))); err == nil {
		t.Fatal("a UDP socket was taken for a listening socket")
	}
	if _, err := ListenInherited("-1"); err == nil {
		t.Fatal("descriptor -1 was taken")
	}
}

// Another process clears O_NONBLOCK between two accepts. The listener still closes, and the socket stays open for the other
// process.
func TestInheritedListenerCloses(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = ln.Close() }()
	f, err := ln.(*net.TCPListener).File()
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = f.Close() }()
	other, err := syscall.Dup(int(f.Fd())) // Passed takes the descriptor over
	if err != nil {
		t.Fatal(err)
	}
	passed, err := ListenInherited(strconv.Itoa(other))
	if err != nil {
		t.Fatal(err)
	}
	f.Fd() // it blocks
	ended := make(chan error)
	go func() {
		_, err := passed.Accept()
		ended <- err
	}()
	for inAccept := false; !inAccept; {
		stack := make([]byte, 1<<20)
		inAccept = strings.Contains(string(stack[:runtime.Stack(stack, true)]), "(*TCPListener).Accept")
	}
	closed := make(chan error)
	go func() { closed <- passed.Close() }()
	select {
	case err := <-closed:
		if err != nil {
			t.Error(err)
		}
	case <-time.After(10 * time.Second):
		t.Fatal("Close waits for an accept that blocks")
	}
	if err := <-ended; !errors.Is(err, net.ErrClosed) {
		t.Error(err)
	}
	nc, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	_ = nc.Close()
}
