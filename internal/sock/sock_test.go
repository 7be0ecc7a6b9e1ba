package sock

import (
	"errors"
	"io"
	"net"
	"syscall"
	"testing"
)

func pair(t *testing.T, most int) (*Listener, *Conn, net.Conn) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l := Limit(ln, most)
	t.Cleanup(func() { l.Close() })
	out, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { out.Close() })
	in, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	return l, in.(*Conn), out
}

func TestWatch(t *testing.T) {
	_, in, out := pair(t, 10)
	in.Watch()
	in.Unwatch() // ends with nothing to read
	in.Watch()
	io.WriteString(out, "hello") // sent ahead: neither taken nor a going
	in.Unwatch()
	b := make([]byte, 5)
	if _, err := io.ReadFull(in, b); err != nil || string(b) != "hello" {
		t.Errorf("%q %v", b, err)
	}
	left := in.Watch()
	out.Close()
	<-left
	in.Unwatch()
	if Quiet(in.Conn.(*net.TCPConn)) {
		t.Error("a closed connection is quiet")
	}
}

// At the cap newcomers wait in the backlog, until a connection closes or is idle.
func TestCap(t *testing.T) {
	l, in, _ := pair(t, 1)
	next, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer next.Close()
	got := make(chan error, 1)
	go func() { _, err := l.Accept(); got <- err }()
	if !l.full() || len(got) > 0 {
		t.Error("accepted past the cap")
	}
	in.Idle(true)
	if err := <-got; err != nil {
		t.Error(err)
	}
	if _, err := in.Read(make([]byte, 1)); err == nil {
		t.Error("the idle connection is open")
	}
	in.Close()
	go func() { _, err := l.Accept(); got <- err }()
	l.Close()
	if err := <-got; !errors.Is(err, net.ErrClosed) {
		t.Errorf("%v", err)
	}
}

type failing struct {
	net.Listener
	errs []error
}

func (f *failing) Accept() (net.Conn, error) {
	err := f.errs[0]
	f.errs = f.errs[1:]
	return nil, err
}

// A lack of descriptors must not end a server, as other accept errors do.
func TestDescriptorsRunOut(t *testing.T) {
	end := errors.New("the end")
	f := &failing{errs: []error{&net.OpError{Op: "accept", Err: syscall.EMFILE}, syscall.ENFILE, end}}
	if _, err := Limit(f, 1).Accept(); !errors.Is(err, end) {
		t.Errorf("%v", err)
	}
}
