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

const patient = 20 * time.Second

// pair is a link with a party on each side of one connection.
type pair struct {
	l         *Link
	near, far net.Conn
	ln        net.Listener
}

func open(t *testing.T, network string) *pair {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l, err := New(Options{Seed: 1, Network: network, To: ln.Addr().String()})
	if err != nil {
		t.Fatal(err)
	}
	p := &pair{l: l, ln: ln}
	t.Cleanup(func() {
		l.Close()
		ln.Close()
		for _, nc := range []net.Conn{p.near, p.far} {
			if nc != nil {
				nc.Close()
			}
		}
	})
	p.dial(t)
	return p
}

func (p *pair) dial(t *testing.T) {
	t.Helper()
	var err error
	if p.near, err = net.Dial("tcp", p.l.Addr()); err != nil {
		t.Fatal(err)
	}
	if p.far, err = p.ln.Accept(); err != nil {
		t.Fatal(err)
	}
	for _, nc := range []net.Conn{p.near, p.far} {
		nc.SetDeadline(time.Now().Add(patient))
	}
}

func (p *pair) set(t *testing.T, d Direction, f Fault) {
	t.Helper()
	if err := p.l.Set(d, f); err != nil {
		t.Fatal(err)
	}
}

func until(t *testing.T, what string, cond func() bool) {
	t.Helper()
	for end := time.Now().Add(patient); !cond(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal(what)
		}
	}
}

// passes sends a text one way and sees it come.
func passes(t *testing.T, from, to net.Conn, text string) {
	t.Helper()
	if _, err := io.WriteString(from, text); err != nil {
		t.Fatal(err)
	}
	b := make([]byte, len(text))
	if _, err := io.ReadFull(to, b); err != nil || string(b) != text {
		t.Fatalf("%q %v", b, err)
	}
}

// Each fault of a stream is what the table says, is counted, and ends when it is lifted.
func TestStream(t *testing.T) {
	big := bytes.Repeat([]byte("0123456789abcdef"), 4096)
	whole := func(t *testing.T, p *pair, least time.Duration) {
		start := time.Now()
		go func() { _, _ = p.near.Write(big) }()
		b := make([]byte, len(big))
		if _, err := io.ReadFull(p.far, b); err != nil || !bytes.Equal(b, big) {
			t.Errorf("not whole or not in order: %v", err)
		}
		if took := time.Since(start); took < least {
			t.Errorf("came after %v", took)
		}
	}
	for _, x := range []struct {
		name  string
		fault Fault
		count func(Counts) int
		sees  func(*testing.T, *pair)
	}{
		{"silent", Fault{Silent: true}, func(c Counts) int { return c.Silenced }, func(t *testing.T, p *pair) {
			_, _ = io.WriteString(p.near, "held")
			until(t, "nothing was held", func() bool { return p.l.Counts(Forward).Silenced > 0 })
			passes(t, p.far, p.near, "back") // the other way is open
			p.set(t, Forward, Fault{})
			passes(t, p.near, p.far, "")
			b := make([]byte, 4)
			if _, err := io.ReadFull(p.far, b); err != nil || string(b) != "held" {
				t.Errorf("%q %v", b, err)
			}
		}},
		{"delay", Fault{Delay: 100 * time.Millisecond, Jitter: 20 * time.Millisecond}, func(c Counts) int { return c.Delayed },
			func(t *testing.T, p *pair) { whole(t, p, 100*time.Millisecond) }},
		{"loss", Fault{Loss: 1}, func(c Counts) int { return c.Lost }, func(t *testing.T, p *pair) { whole(t, p, again) }},
		{"trickle", Fault{Trickle: 500000}, func(c Counts) int { return c.Trickled }, func(t *testing.T, p *pair) { whole(t, p, 100*time.Millisecond) }},
		{"reset", Fault{ResetAfter: 10}, func(c Counts) int { return c.Reset }, func(t *testing.T, p *pair) {
			go func() { _, _ = p.near.Write(big) }()
			if n, err := io.Copy(io.Discard, p.far); n > 10 || !errors.Is(err, syscall.ECONNRESET) {
				t.Errorf("%d bytes, %v", n, err)
			}
			until(t, "its sender does not see it", func() bool { _, err := p.near.Write([]byte("x")); return err != nil })
		}},
		{"cut one way", Fault{Cut: true}, func(c Counts) int { return c.Cut }, func(t *testing.T, p *pair) {
			_, _ = io.WriteString(p.near, "x")
			if b, err := io.ReadAll(p.far); len(b) > 0 || err != nil {
				t.Errorf("%q %v", b, err)
			}
			passes(t, p.far, p.near, "back")
		}},
		{"half open", Fault{HalfOpen: true}, func(c Counts) int { return c.Half }, func(t *testing.T, p *pair) {
			_, _ = io.WriteString(p.near, "x")
			if _, err := io.ReadAll(p.far); !errors.Is(err, syscall.ECONNRESET) {
				t.Errorf("receiver: %v", err)
			}
			p.near.SetReadDeadline(time.Now().Add(100 * time.Millisecond))
			for range 3 {
				if _, err := io.WriteString(p.near, "on"); err != nil {
					t.Error(err)
				}
			}
			if _, err := p.near.Read(make([]byte, 1)); !errors.Is(err, os.ErrDeadlineExceeded) {
				t.Errorf("sender: %v", err)
			}
		}},
	} {
		t.Run(x.name, func(t *testing.T) {
			p := open(t, "tcp")
			passes(t, p.near, p.far, "hello")
			if n := x.count(p.l.Counts(Both)); n != 0 {
				t.Errorf("counted %d before it was set", n)
			}
			p.set(t, Forward, x.fault)
			x.sees(t, p)
			if n := x.count(p.l.Counts(Forward)); n == 0 {
				t.Error("it did not happen")
			}
			p.set(t, Forward, Fault{})
			p.near.Close()
			p.far.Close()
			p.dial(t)
			passes(t, p.near, p.far, "well again")
			passes(t, p.far, p.near, "both ways")
		})
	}
}

// A cut both ways resets what stands and what comes; a held link lets connects come up late; who
// goes is seen, also over a silent link; a closed peer is met as such.
func TestConnections(t *testing.T) {
	p := open(t, "tcp")
	p.set(t, Both, Fault{Cut: true})
	if _, err := p.near.Read(make([]byte, 1)); !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("what stands: %v", err)
	}
	p.near.Close()
	if nc, err := net.Dial("tcp", p.l.Addr()); err == nil { // else it was reset while it came up
		nc.SetDeadline(time.Now().Add(patient))
		if _, err = nc.Read(make([]byte, 1)); !errors.Is(err, syscall.ECONNRESET) {
			t.Errorf("what comes: %v", err)
		}
		nc.Close()
	}
	until(t, "not counted", func() bool { return p.l.Counts(Forward).Cut == 2 })
	p.set(t, Both, Fault{})
	p.set(t, Forward, Fault{Hold: true})
	came := make(chan net.Conn)
	go func() {
		nc, err := net.DialTimeout("tcp", p.l.Addr(), patient)
		if err != nil {
			t.Error(err)
		}
		came <- nc
	}()
	until(t, "no connect waits", func() bool { return p.l.Waiting() == 1 })
	select {
	case <-came:
		t.Error("it came up")
	default:
	}
	p.set(t, Forward, Fault{})
	p.near = <-came
	p.far.Close()
	var err error
	if p.far, err = p.ln.Accept(); err != nil {
		t.Fatal(err)
	}
	passes(t, p.near, p.far, "late")
	p.set(t, Both, Fault{Silent: true})
	p.near.Close()
	until(t, "its dialer's end is not seen", func() bool { all := p.l.Conns(); return !all[len(all)-1].Ended.IsZero() })
	if c := p.l.Conns(); c[len(c)-1].Out != p.far.RemoteAddr().String() {
		t.Errorf("%+v", c)
	}
	p.set(t, Both, Fault{})
	p.ln.Close()
	if nc, err := net.Dial("tcp", p.l.Addr()); err == nil { // else it was reset while it came up
		if _, err = nc.Read(make([]byte, 1)); err == nil {
			t.Error("an answer of nobody")
		}
		nc.Close()
	}
	for _, f := range []Fault{{Double: 1}, {Loss: 2}} {
		var unfit *Unfit
		if err := p.l.Set(Forward, f); !errors.As(err, &unfit) {
			t.Errorf("%+v: %v", f, err)
		}
	}
}

// Datagrams: each party has the other at one fixed address, the faults do what the table says, and the
// same seed loses the same ones.
func TestDatagrams(t *testing.T) {
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
		back, _ := net.ResolveUDPAddr("udp", l.Back())
		send := func(from *net.UDPConn, to net.Addr, n byte) { _, _ = from.WriteTo([]byte{n}, to) }
		read := func(at *net.UDPConn, from string) byte {
			t.Helper()
			x := make([]byte, 8)
			_ = at.SetReadDeadline(time.Now().Add(patient))
			n, sender, err := at.ReadFrom(x)
			if err != nil || n != 1 || sender.String() != from {
				t.Fatalf("%d bytes from %v: %v", n, sender, err)
			}
			return x[0]
		}
		send(b, back, 1) // the second party may be first
		read(a, l.Addr())
		send(a, there, 2)
		read(b, l.Back())
		set := func(f Fault) {
			t.Helper()
			if err := l.Set(Forward, f); err != nil {
				t.Fatal(err)
			}
		}
		set(Fault{Double: 1})
		send(a, there, 3)
		if read(b, l.Back())+read(b, l.Back()) != 6 {
			t.Error("not doubled")
		}
		set(Fault{Reorder: 1})
		send(a, there, 4)
		send(a, there, 5)
		if read(b, l.Back()) != 5 || read(b, l.Back()) != 4 {
			t.Error("not reordered")
		}
		for _, f := range []Fault{{Cut: true}, {Silent: true}} {
			set(f)
			before := l.Counts(Forward)
			send(a, there, 6)
			until(t, "not dropped", func() bool { c := l.Counts(Forward); return c.Cut+c.Silenced > before.Cut+before.Silenced })
		}
		set(Fault{Loss: 0.5})
		for i := range 40 {
			c := l.Counts(Forward)
			send(a, there, 7)
			until(t, "neither", func() bool { d := l.Counts(Forward); return d.Lost+d.Pieces > c.Lost+c.Pieces })
			if l.Counts(Forward).Lost > c.Lost {
				lost = append(lost, i)
			}
		}
		return lost
	}
	one, two := run(), run()
	if len(one) < 10 || len(one) > 30 || len(one) != len(two) {
		t.Fatalf("%v %v", one, two)
	}
	for i := range one {
		if one[i] != two[i] {
			t.Fatalf("%v %v", one, two)
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
