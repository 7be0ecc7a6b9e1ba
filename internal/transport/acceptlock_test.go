package transport

import (
	"errors"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"
)

// Connections wait behind a closed gate and none is rejected; a listener closed before the gate opens ends Accept.
func TestAcceptGate(t *testing.T) {
	ln, err := ListenTCP("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	if (*AcceptGate)(nil).Wrap(ln) != ln {
		t.Error("no gate, and another listener")
	}
	g := NewAcceptGate()
	at := g.Wrap(ln)
	got := make(chan error, 2)
	accept := func() {
		nc, err := at.Accept()
		if err == nil {
			_ = nc.Close()
		}
		got <- err
	}
	go accept()
	nc, err := net.Dial("tcp", ln.Addr().String()) // waits in the queue
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = nc.Close() }()
	select {
	case err := <-got:
		t.Fatalf("accepted before it is open: %v", err)
	case <-time.After(20 * time.Millisecond):
	}
	g.Open()
	g.Open()
	if err := <-got; err != nil {
		t.Fatal(err)
	}
	_ = at.Close()
	if err := at.Close(); err == nil {
		t.Error("closed twice")
	}
	other, err := ListenTCP("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	at = NewAcceptGate().Wrap(other)
	go accept()
	_ = at.Close()
	if err := <-got; !errors.Is(err, net.ErrClosed) {
		t.Error(err)
	}
}

// One at a time has the lock of an address; another address has another. One that was let go is had by the next, also
// where its file is left, and one whose file was cleared away under it is no lock.
func TestAcceptLockHasOneHolder(t *testing.T) {
	dir := t.TempDir()
	at := func(port int) *AcceptLock {
		return NewAcceptLock(dir, &net.TCPAddr{IP: net.ParseIP("::1"), Port: port})
	}
	a, b, other := at(80), at(80), at(81)
	try := func(what string, l *AcceptLock, want bool) {
		t.Helper()
		if had, err := l.TryLock(); had != want || err != nil {
			t.Fatalf("%s: %v %v", what, had, err)
		}
	}
	try("the first", a, true)
	try("the second", b, false)
	try("of another address", other, true)
	a.Unlock()
	a.Unlock()
	try("the second, at last", b, true)
	c := at(80)
	try("a third", c, false)
	if err := os.Remove(b.Path); err != nil {
		t.Fatal(err)
	}
	b.Unlock()
	try("a file that is gone", c, false)
	try("anew", c, true)
	try("who comes then", at(80), false)
	if filepath.Dir(c.Path) != dir {
		t.Error(c.Path)
	}
	for _, bad := range []*AcceptLock{NewAcceptLock(filepath.Join(dir, "none"), &net.TCPAddr{Port: 80}), {Path: dir}} {
		if had, err := bad.TryLock(); had || err == nil {
			t.Errorf("%s: %v %v", bad.Path, had, err)
		}
	}
	link := filepath.Join(dir, "link")
	if err := os.Symlink(c.Path, link); err != nil {
		t.Fatal(err)
	}
	if had, err := (&AcceptLock{Path: link}).TryLock(); had || err == nil {
		t.Errorf("another's link was followed: %v %v", had, err)
	}
}
