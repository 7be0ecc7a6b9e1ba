package transport

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
	l := limit(ln, most) // sheds only when told
	t.Cleanup(func() { _ = l.Close() })
	out, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = out.Close() })
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
	_, _ = io.WriteString(out, "hello") // neither read nor a close of the peer
	in.Unwatch()
	b := make([]byte, 5)
	if _, err := io.ReadFull(in, b); err != nil || string(b) != "hello" {
		t.Errorf("%q %v", b, err)
	}
	left := in.Watch()
	_, _ = io.WriteString(out, "much at once, and gone: nobody reads it")
	_ = out.Close()
	<-left
	in.Unwatch()
	if IsReusable(in.Conn.(*net.TCPConn)) {
		t.Error("a closed connection is quiet")
	}
}

// At the capacity new connections wait in the backlog until one closes or is idle.
func TestCapacity(t *testing.T) {
	l, in, _ := pair(t, 1)
	next, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = next.Close() }()
	got := make(chan error, 1)
	in.markActive() // a request is open
	go func() { _, err := l.Accept(); got <- err }()
	if !l.atCapacity() || len(got) > 0 {
		t.Error("accepted past the cap")
	}
	in.SetIdle(true)
	if err := <-got; err != nil {
		t.Error(err)
	}
	if _, err := in.Read(make([]byte, 1)); err == nil {
		t.Error("the idle connection is open")
	}
	_ = in.Close()
	go func() { _, err := l.Accept(); got <- err }()
	_ = l.Close()
	if err := <-got; !errors.Is(err, net.ErrClosed) {
		t.Errorf("%v", err)
	}
}

// Only connections without a request are evicted, silent ones before idle ones. When many have had a request, idle ones are
// evicted also below the capacity, as their clients may be at a limit of their own.
func TestEvictionOrder(t *testing.T) {
	l, active, out := pair(t, 5)
	_, _ = io.WriteString(out, "GET")
	conns := []*Conn{active}
	for range 4 {
		nc, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = nc.Close() })
		in, err := l.Accept()
		if err != nil {
			t.Fatal(err)
		}
		conns = append(conns, in.(*Conn))
	}
	requesting, other, between, silent := conns[1], conns[2], conns[3], conns[4]
	requesting.markActive()
	other.markActive()
	between.markActive()
	between.SetIdle(true)
	for active.pendingInput() != socketReadable {
		runtime.Gosched() // until the bytes have come
	}
	evicted := func(c *Conn) bool { return c.phase.Load() == closing }
	now := time.Now()
	if l.evictForCapacity(now.Add(-time.Hour)); evicted(silent) || evicted(between) {
		t.Error("closed at once")
	}
	between.phaseStart.Store(now.Add(time.Hour).UnixNano()) // as if it had only now been used
	if l.evictForCapacity(now.Add(time.Second)); !evicted(silent) || evicted(between) {
		t.Error("at the cap the silent one was not the one to go")
	}
	between.phaseStart.Store(now.UnixNano())
	if l.evictForCapacity(now.Add(time.Second)); !evicted(between) {
		t.Error("three have asked of a cap of five, and the idle one stays")
	}
	for _, c := range []*Conn{silent, between} {
		if n, err := c.Read(make([]byte, 1)); n > 0 || err == nil {
			t.Error("a closed connection was read")
		}
	}
	l.evictForCapacity(now.Add(time.Hour))
	b := make([]byte, 3)
	if n, err := active.Read(b); err != nil || string(b[:n]) != "GET" || evicted(requesting) || evicted(other) {
		t.Errorf("a connection with a request was closed: %q %v", b[:n], err)
	}
	// A byte that comes while its connection is shed is not taken; a shed loses to one that came before.
	if requesting.evict() || between.markActive() {
		t.Error("roused and shed at once")
	}
}

// Idle connections are evicted also if no new one arrives, as their clients may be at a limit of their own.
func TestPeriodicEviction(t *testing.T) {
	l, in, out := pair(t, 2)
	in.markActive()
	in.SetIdle(true)
	go l.evictPeriodically()
	if _, err := out.Read(make([]byte, 1)); err == nil {
		t.Error("not closed")
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

// A lack of descriptors does not end a server, as other accept errors do.
func TestDescriptorsRunOut(t *testing.T) {
	end := errors.New("the end")
	f := &failing{errs: []error{&net.OpError{Op: "accept", Err: syscall.EMFILE}, syscall.ENFILE, end}}
	if _, err := Limit(f, 1).Accept(); !errors.Is(err, end) {
		t.Errorf("%v", err)
	}
}

// CloseIdle closes connections that were idle for long enough, and none that is active or was active recently.
func TestCloseIdle(t *testing.T) {
	l, in, out := pair(t, 10)
	if n := l.CloseIdle(time.Hour); n != 1 || in.HasPendingInput() {
		t.Errorf("%d open", n)
	}
	_, _ = io.WriteString(out, "x")
	for !in.HasPendingInput() {
		runtime.Gosched()
	}
	if n := l.CloseIdle(0); n != 1 {
		t.Errorf("closed over unread bytes: %d open", n)
	}
	b := make([]byte, 1)
	if _, err := in.Read(b); err != nil {
		t.Fatal(err)
	}
	if n := l.CloseIdle(0); n != 1 {
		t.Errorf("closed in use: %d open", n)
	}
	in.SetIdle(true)
	if n := l.CloseIdle(time.Hour); n != 1 {
		t.Errorf("closed too soon: %d open", n)
	}
	if n := l.CloseIdle(0); n != 0 {
		t.Errorf("%d open", n)
	}
	if _, err := out.Read(b); !errors.Is(err, io.EOF) {
		t.Error(err)
	}
}
