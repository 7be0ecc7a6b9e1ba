package sock

import (
	"net"
	"os"
	"strconv"
	"testing"
)

// The clients' socket of a process replacement: a descriptor that both processes accept on.
func TestPassedListens(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	f, err := ln.(*net.TCPListener).File() // a copy, as a child would inherit it
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	passed, err := Passed(strconv.Itoa(int(f.Fd())))
	if err != nil {
		t.Fatal(err)
	}
	defer passed.Close()
	if passed.Addr().String() != ln.Addr().String() {
		t.Fatalf("passed listener at %s, the socket at %s", passed.Addr(), ln.Addr())
	}
	ln.Close() // the first holder goes; the socket stays with the other
	nc, err := net.Dial("tcp", passed.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer nc.Close()
	got, err := passed.Accept()
	if err != nil {
		t.Fatal(err)
	}
	got.Close()
}

// Guards against taking a descriptor that is no stream socket for the clients' one.
func TestPassedRefusesOthers(t *testing.T) {
	r, w, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	defer r.Close()
	defer w.Close()
	if _, err := Passed(strconv.Itoa(int(r.Fd()))); err == nil {
		t.Fatal("a pipe was taken for a listening socket")
	}
	udp, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer udp.Close()
	uf, err := udp.(*net.UDPConn).File()
	if err != nil {
		t.Fatal(err)
	}
	defer uf.Close()
	if _, err := Passed(strconv.Itoa(int(uf.Fd()))); err == nil {
		t.Fatal("a UDP socket was taken for a listening socket")
	}
	if _, err := Passed("-1"); err == nil {
		t.Fatal("descriptor -1 was taken")
	}
}
