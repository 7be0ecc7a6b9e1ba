package link

import (
	"bytes"
	"errors"
	"io"
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const testTimeout = 20 * time.Second

// fixture is a test fixture: a link and both ends of one connection over it.
type fixture struct {
	l         *Link
	near, far net.Conn
	ln        net.Listener
}

func newFixture(t *testing.T, network string) *fixture {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l, err := New(Options{Seed: 1, Network: network, To: ln.Addr().String()})
	if err != nil {
		t.Fatal(err)
	}
	fx := &fixture{l: l, ln: ln}
	t.Cleanup(func() {
		l.Close()
		ln.Close()
		for _, nc := range []net.Conn{fx.near, fx.far} {
			if nc != nil {
				nc.Close()
			}
		}
	})
	fx.dial(t)
	return fx
}

func (fx *fixture) dial(t *testing.T) {
	t.Helper()
	var err error
	if fx.near, err = net.Dial("tcp", fx.l.Addr()); err != nil {
		t.Fatal(err)
	}
	if fx.far, err = fx.ln.Accept(); err != nil {
		t.Fatal(err)
	}
	for _, nc := range []net.Conn{fx.near, fx.far} {
		nc.SetDeadline(time.Now().Add(testTimeout))
	}
}

func (fx *fixture) set(t *testing.T, d Direction, f Fault) {
	t.Helper()
	if err := fx.l.SetFault(d, f); err != nil {
		t.Fatal(err)
	}
}

func waitFor(t *testing.T, what string, cond func() bool) {
	t.Helper()
	for end := time.Now().Add(testTimeout); !cond(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal(what)
		}
	}
}

// expectDelivery sends a text and checks that it arrives.
func expectDelivery(t *testing.T, from, to net.Conn, text string) {
	t.Helper()
	if _, err := io.WriteString(from, text); err != nil {
		t.Fatal(err)
	}
	b := make([]byte, len(text))
	if _, err := io.ReadFull(to, b); err != nil || string(b) != text {
		t.Fatalf("received %q instead of the sent text, or error %v", b, err)
	}
}

// Each fault of a stream has the effect in the package's table, is counted, and ends when it is cleared.
func TestStreamFaults(t *testing.T) {
	big := bytes.Repeat([]byte("0123456789abcdef"), 4096)
	expectAllData := func(t *testing.T, fx *fixture, minDuration time.Duration) {
		start := time.Now()
		go func() { _, _ = fx.near.Write(big) }()
		b := make([]byte, len(big))
		if _, err := io.ReadFull(fx.far, b); err != nil || !bytes.Equal(b, big) {
			t.Errorf("data incomplete or out of order: %v", err)
		}
		if took := time.Since(start); took < minDuration {
			t.Errorf("data arrived early, after %v", took)
		}
	}
	for _, x := range []struct {
		name  string
		fault Fault
		count func(Counts) int
		check func(*testing.T, *fixture)
	}{
		{"silent until cleared", Fault{Silent: true}, func(c Counts) int { return c.Silenced }, func(t *testing.T, fx *fixture) {
			_, _ = io.WriteString(fx.near, "held")
			waitFor(t, "nothing was held back", func() bool { return fx.l.Counts(Forward).Silenced > 0 })
			expectDelivery(t, fx.far, fx.near, "back") // the other direction is not affected
			fx.set(t, Forward, Fault{})
			expectDelivery(t, fx.near, fx.far, "")
			b := make([]byte, 4)
			if _, err := io.ReadFull(fx.far, b); err != nil || string(b) != "held" {
				t.Errorf("data sent during the silence arrived as %q, error %v", b, err)
			}
		}},
		{"delay with jitter", Fault{Delay: 100 * time.Millisecond, Jitter: 20 * time.Millisecond}, func(c Counts) int { return c.Delayed },
			func(t *testing.T, fx *fixture) { expectAllData(t, fx, 100*time.Millisecond) }},
		{"loss of every chunk", Fault{Loss: 1}, func(c Counts) int { return c.Lost }, func(t *testing.T, fx *fixture) { expectAllData(t, fx, retransmitDelay) }},
		{"rate limit", Fault{BytesPerSecond: 500000}, func(c Counts) int { return c.RateLimited }, func(t *testing.T, fx *fixture) { expectAllData(t, fx, 100*time.Millisecond) }},
		{"reset after 10 bytes", Fault{ResetAfter: 10}, func(c Counts) int { return c.Reset }, func(t *testing.T, fx *fixture) {
			go func() { _, _ = fx.near.Write(big) }()
			if n, err := io.Copy(io.Discard, fx.far); n > 10 || !errors.Is(err, syscall.ECONNRESET) {
				t.Errorf("receiver: %d bytes, error %v, want at most 10 and a reset", n, err)
			}
			waitFor(t, "the sender does not see the reset", func() bool { _, err := fx.near.Write([]byte("x")); return err != nil })
		}},
		{"cut one direction", Fault{Cut: true}, func(c Counts) int { return c.Cut }, func(t *testing.T, fx *fixture) {
			_, _ = io.WriteString(fx.near, "x")
			if b, err := io.ReadAll(fx.far); len(b) > 0 || err != nil {
				t.Errorf("receiver of the cut direction: read %q, error %v, want the end of the stream", b, err)
			}
			expectDelivery(t, fx.far, fx.near, "back")
		}},
		{"half open", Fault{HalfOpen: true}, func(c Counts) int { return c.HalfOpen }, func(t *testing.T, fx *fixture) {
			_, _ = io.WriteString(fx.near, "x")
			if _, err := io.ReadAll(fx.far); !errors.Is(err, syscall.ECONNRESET) {
				t.Errorf("receiver: error %v, want a reset", err)
			}
			fx.near.SetReadDeadline(time.Now().Add(100 * time.Millisecond))
			for range 3 {
				if _, err := io.WriteString(fx.near, "on"); err != nil {
					t.Error(err)
				}
			}
			if _, err := fx.near.Read(make([]byte, 1)); !errors.Is(err, os.ErrDeadlineExceeded) {
				t.Errorf("sender: read error %v, want its timeout", err)
			}
		}},
	} {
		t.Run(x.name, func(t *testing.T) {
			fx := newFixture(t, "tcp")
			expectDelivery(t, fx.near, fx.far, "hello")
			if n := x.count(fx.l.Counts(Both)); n != 0 {
				t.Errorf("fault counted %d times before it was set", n)
			}
			fx.set(t, Forward, x.fault)
			x.check(t, fx)
			if n := x.count(fx.l.Counts(Forward)); n == 0 {
				t.Error("the fault was not counted")
			}
			fx.set(t, Forward, Fault{})
			fx.near.Close()
			fx.far.Close()
			fx.dial(t)
			expectDelivery(t, fx.near, fx.far, "after the fault")
			expectDelivery(t, fx.far, fx.near, "other direction")
		})
	}
}

// A cut in both directions resets existing and new connections. Connects to a held link succeed after the release.
// The dialer's close is noticed over a silent link too. A closed second party is seen as a failed connection.
func TestCutHoldAndClosedPeer(t *testing.T) {
	fx := newFixture(t, "tcp")
	fx.set(t, Both, Fault{Cut: true})
	if _, err := fx.near.Read(make([]byte, 1)); !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("existing connection: error %v, want a reset", err)
	}
	fx.near.Close()
	if nc, err := net.Dial("tcp", fx.l.Addr()); err == nil { // otherwise it was reset during the connect
		nc.SetDeadline(time.Now().Add(testTimeout))
		if _, err = nc.Read(make([]byte, 1)); !errors.Is(err, syscall.ECONNRESET) {
			t.Errorf("new connection: error %v, want a reset", err)
		}
		nc.Close()
	}
	waitFor(t, "the resets were not counted", func() bool { return fx.l.Counts(Forward).Cut == 2 })
	fx.set(t, Both, Fault{})
	fx.set(t, Forward, Fault{Hold: true})
	connected := make(chan net.Conn)
	go func() {
		nc, err := net.DialTimeout("tcp", fx.l.Addr(), testTimeout)
		if err != nil {
			t.Error(err)
		}
		connected <- nc
	}()
	waitFor(t, "no pending connect", func() bool { return fx.l.PendingConnects() == 1 })
	select {
	case <-connected:
		t.Error("a connect to the held link succeeded")
	default:
	}
	fx.set(t, Forward, Fault{})
	fx.near = <-connected
	fx.far.Close()
	var err error
	if fx.far, err = fx.ln.Accept(); err != nil {
		t.Fatal(err)
	}
	expectDelivery(t, fx.near, fx.far, "late")
	fx.set(t, Both, Fault{Silent: true})
	fx.near.Close()
	waitFor(t, "the dialer's close was not noticed", func() bool { all := fx.l.Conns(); return !all[len(all)-1].Ended.IsZero() })
	if c := fx.l.Conns(); c[len(c)-1].OutboundAddr != fx.far.RemoteAddr().String() {
		t.Errorf("outbound address of the last connection is not the one that the second party sees: %+v", c)
	}
	fx.set(t, Both, Fault{})
	fx.ln.Close()
	if nc, err := net.Dial("tcp", fx.l.Addr()); err == nil { // otherwise it was reset during the connect
		if _, err = nc.Read(make([]byte, 1)); err == nil {
			t.Error("read data although the second party is closed")
		}
		nc.Close()
	}
	for _, f := range []Fault{{Duplicate: 1}, {Loss: 2}} {
		var unfit *UnsupportedFault
		if err := fx.l.SetFault(Forward, f); !errors.As(err, &unfit) {
			t.Errorf("set of %+v on a tcp link: error %v, want UnsupportedFault", f, err)
		}
	}
}

// Each party sees the other at one fixed address, the faults have the effects in the package's table, and the same seed
// loses the same datagrams.
func TestDatagramFaults(t *testing.T) {
	run := func() (lost []int) {
		a, b := udpSocket(t), udpSocket(t)
		defer a.Close()
		defer b.Close()
		l, err := New(Options{Seed: 5, Network: "both", To: b.LocalAddr().String(), From: a.LocalAddr().String()})
		if err != nil {
			t.Fatal(err)
		}
		defer l.Close()
		there, _ := net.ResolveUDPAddr("udp", l.Addr())
		back, _ := net.ResolveUDPAddr("udp", l.BackwardAddr())
		send := func(from *net.UDPConn, to net.Addr, n byte) { _, _ = from.WriteTo([]byte{n}, to) }
		read := func(at *net.UDPConn, from string) byte {
			t.Helper()
			x := make([]byte, 8)
			_ = at.SetReadDeadline(time.Now().Add(testTimeout))
			n, sender, err := at.ReadFrom(x)
			if err != nil || n != 1 || sender.String() != from {
				t.Fatalf("datagram of %d bytes from %v: error %v", n, sender, err)
			}
			return x[0]
		}
		send(b, back, 1) // the second party may send first
		read(a, l.Addr())
		send(a, there, 2)
		read(b, l.BackwardAddr())
		set := func(f Fault) {
			t.Helper()
			if err := l.SetFault(Forward, f); err != nil {
				t.Fatal(err)
			}
		}
		set(Fault{Duplicate: 1})
		send(a, there, 3)
		if read(b, l.BackwardAddr())+read(b, l.BackwardAddr()) != 6 {
			t.Error("datagram not duplicated")
		}
		set(Fault{Reorder: 1})
		send(a, there, 4)
		send(a, there, 5)
		if read(b, l.BackwardAddr()) != 5 || read(b, l.BackwardAddr()) != 4 {
			t.Error("datagrams not reordered")
		}
		for _, f := range []Fault{{Cut: true}, {Silent: true}} {
			set(f)
			before := l.Counts(Forward)
			send(a, there, 6)
			waitFor(t, "datagram not dropped", func() bool { c := l.Counts(Forward); return c.Cut+c.Silenced > before.Cut+before.Silenced })
		}
		set(Fault{Loss: 0.5})
		for i := range 40 {
			c := l.Counts(Forward)
			send(a, there, 7)
			waitFor(t, "datagram neither lost nor forwarded", func() bool { d := l.Counts(Forward); return d.Lost+d.Chunks > c.Lost+c.Chunks })
			if l.Counts(Forward).Lost > c.Lost {
				lost = append(lost, i)
			}
		}
		return lost
	}
	one, two := run(), run()
	if len(one) < 10 || len(one) > 30 || len(one) != len(two) {
		t.Fatalf("lost datagrams of two runs with one seed: %v and %v, want the same 10 to 30", one, two)
	}
	for i := range one {
		if one[i] != two[i] {
			t.Fatalf("two runs with one seed lost different datagrams: %v and %v", one, two)
		}
	}
}

func udpSocket(t *testing.T) *net.UDPConn {
	t.Helper()
	u, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	return u
}
