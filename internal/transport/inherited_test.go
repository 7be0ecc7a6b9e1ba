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

// During a process replacement both processes have the socket open. After the first one has closed it, the inherited descriptor
// still accepts connections.
func TestInheritedSocketListens(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = ln.Close() }()
	f, err := ln.(*net.TCPListener).File() // a duplicate, as a child process would inherit it
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = f.Close() }()
	inherited, err := ListenInherited(strconv.Itoa(int(f.Fd())))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = inherited.Close() }()
	if inherited.Addr().String() != ln.Addr().String() {
		t.Fatalf("the inherited listener has address %s, the socket has %s", inherited.Addr(), ln.Addr())
	}
	ln.Close() // the socket stays open through the inherited descriptor
	nc, err := net.Dial("tcp", inherited.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = nc.Close() }()
	accepted, err := inherited.Accept()
	if err != nil {
		t.Fatal(err)
	}
	_ = accepted.Close()
}

// A descriptor that is not a stream socket is an error.
func TestInheritedSocketMustBeStream(t *testing.T) {
	r, w, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = r.Close() }()
	defer func() { _ = w.Close() }()
	if _, err := ListenInherited(strconv.Itoa(int(r.Fd()))); err == nil {
		t.Fatal("a pipe was accepted as a listening socket")
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
		t.Fatal("a UDP socket was accepted as a listening socket")
	}
	if _, err := ListenInherited("-1"); err == nil {
		t.Fatal("descriptor -1 was accepted")
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
	fd, err := syscall.Dup(int(f.Fd())) // ListenInherited closes the descriptor it is given
	if err != nil {
		t.Fatal(err)
	}
	inherited, err := ListenInherited(strconv.Itoa(fd))
	if err != nil {
		t.Fatal(err)
	}
	f.Fd() // clears O_NONBLOCK
	ended := make(chan error)
	go func() {
		_, err := inherited.Accept()
		ended <- err
	}()
	for inAccept := false; !inAccept; {
		stack := make([]byte, 1<<20)
		inAccept = strings.Contains(string(stack[:runtime.Stack(stack, true)]), "(*TCPListener).Accept")
	}
	closed := make(chan error)
	go func() { closed <- inherited.Close() }()
	select {
	case err := <-closed:
		if err != nil {
			t.Error(err)
		}
	case <-time.After(10 * time.Second):
		t.Fatal("Close waits for a blocking accept")
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
