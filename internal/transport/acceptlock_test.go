package transport

import (
	"errors"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"
)

// Connections wait in the accept queue while the gate is closed, and none is rejected. Closing the listener before the gate
// opens ends Accept.
func TestAcceptGateHoldsConnections(t *testing.T) {
	ln, err := ListenTCP("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	if (*AcceptGate)(nil).Wrap(ln) != ln {
		t.Error("a nil gate wrapped the listener")
	}
	gate := NewAcceptGate()
	gated := gate.Wrap(ln)
	got := make(chan error, 2)
	accept := func() {
		nc, err := gated.Accept()
		if err == nil {
			_ = nc.Close()
		}
		got <- err
	}
	go accept()
	nc, err := net.Dial("tcp", ln.Addr().String()) // waits in the accept queue
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = nc.Close() }()
	select {
	case err := <-got:
		t.Fatalf("Accept returned before the gate was opened: error %v", err)
	case <-time.After(20 * time.Millisecond):
	}
	gate.Open()
	gate.Open()
	if err := <-got; err != nil {
		t.Fatal(err)
	}
	_ = gated.Close()
	if err := gated.Close(); err == nil {
		t.Error("the second Close returned no error")
	}
	other, err := ListenTCP("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	gated = NewAcceptGate().Wrap(other)
	go accept()
	_ = gated.Close()
	if err := <-got; !errors.Is(err, net.ErrClosed) {
		t.Error(err)
	}
}

// Only one holder at a time has the lock of an address. Another address has another lock. After Unlock the next process can
// take the lock although its file still exists. A lock whose file was removed is not taken.
func TestAcceptLockHasOneHolder(t *testing.T) {
	dir := t.TempDir()
	newLock := func(port int) *AcceptLock {
		return NewAcceptLock(dir, &net.TCPAddr{IP: net.ParseIP("::1"), Port: port})
	}
	a, b, other := newLock(80), newLock(80), newLock(81)
	tryLock := func(what string, l *AcceptLock, want bool) {
		t.Helper()
		if locked, err := l.TryLock(); locked != want || err != nil {
			t.Fatalf("%s: TryLock returned %v, error %v", what, locked, err)
		}
	}
	tryLock("first holder", a, true)
	tryLock("second while the first holds it", b, false)
	tryLock("lock of another address", other, true)
	a.Unlock()
	a.Unlock()
	tryLock("second after Unlock", b, true)
	c := newLock(80)
	tryLock("third while the second holds it", c, false)
	if err := os.Remove(b.Path); err != nil {
		t.Fatal(err)
	}
	b.Unlock()
	tryLock("third with an open file that was removed", c, false)
	tryLock("third with a new file", c, true)
	tryLock("fourth while the third holds it", newLock(80), false)
	if filepath.Dir(c.Path) != dir {
		t.Error(c.Path)
	}
	for _, lock := range []*AcceptLock{NewAcceptLock(filepath.Join(dir, "none"), &net.TCPAddr{Port: 80}), {Path: dir}} {
		if locked, err := lock.TryLock(); locked || err == nil {
			t.Errorf("lock at %s, which cannot be created: TryLock returned %v, %v", lock.Path, locked, err)
		}
	}
	link := filepath.Join(dir, "link")
	if err := os.Symlink(c.Path, link); err != nil {
		t.Fatal(err)
	}
	if locked, err := (&AcceptLock{Path: link}).TryLock(); locked || err == nil {
		t.Errorf("a symbolic link was followed: TryLock returned %v, %v", locked, err)
	}
}
