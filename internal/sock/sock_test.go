package sock

import (
	"errors"
	"io"
	"net"
	"runtime"
	"syscall"
	"testing"
	"time"
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

// What is closed for a newcomer has nothing asked on it, and silent ones go before idle ones.
func TestShed(t *testing.T) {
	l, asked, out := pair(t, 4)
	io.WriteString(out, "GET")
	conns := []*Conn{asked}
	for range 3 {
		nc, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer nc.Close()
		in, err := l.Accept()
		if err != nil {
			t.Fatal(err)
		}
		conns = append(conns, in.(*Conn))
	}
	begun, between, silent := conns[1], conns[2], conns[3]
	begun.phase.Store(active)
	between.rouse()
	between.Idle(true)
	for asked.asks() != waiting {
		runtime.Gosched() // until the bytes have come
	}
	now := time.Now()
	l.shed(now)
	for _, c := range conns {
		if c.phase.Load() == doomed {
			t.Error("closed at once")
		}
	}
	for i, gone := range []*Conn{silent, between} { // at the cap, then as stale past half the cap
		l.shed(now.Add(time.Duration(i+1) * time.Second))
		if gone.phase.Load() != doomed {
			t.Errorf("round %d: not closed", i)
		}
		if n, err := gone.Read(make([]byte, 1)); n > 0 || err == nil {
			t.Error("a closed connection was read")
		}
	}
	for range 3 {
		l.shed(now.Add(time.Hour))
	}
	b := make([]byte, 3)
	if n, err := asked.Read(b); err != nil || string(b[:n]) != "GET" || begun.phase.Load() != active {
		t.Errorf("a connection with a request was closed: %q %v", b[:n], err)
	}
	// A byte that comes while its connection is shed is not taken; a shed loses to one that came before.
	begun.Idle(true)
	begun.rouse()
	begun.doom()
	if begun.phase.Load() != active || between.rouse() {
		t.Error("roused and shed at once")
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
