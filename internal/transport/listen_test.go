package transport

import (
	"errors"
	"io/fs"
	"net"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"wheatsaddle/internal/address"
)

func unixAddr(t *testing.T, path string) address.Addr {
	t.Helper()
	a, err := address.Parse("unix:" + path)
	if err != nil {
		t.Fatal(err)
	}
	return a
}

// leaveUnusedSocket creates a socket file that no process listens on.
func leaveUnusedSocket(t *testing.T, path string) {
	t.Helper()
	ln, err := net.ListenUnix("unix", &net.UnixAddr{Name: path, Net: "unix"})
	if err != nil {
		t.Fatal(err)
	}
	ln.SetUnlinkOnClose(false)
	_ = ln.Close()
}

// Listen replaces an unused socket file, sets the mode, rejects a second listener, and Close removes the file.
func TestListenOnFile(t *testing.T) {
	path := filepath.Join(t.TempDir(), "s")
	leaveUnusedSocket(t, path)
	ln, err := Listen(unixAddr(t, path), 0o640)
	if err != nil {
		t.Fatal(err)
	}
	if info, err := os.Lstat(path); err != nil || info.Mode().Perm() != 0o640 || info.Mode()&fs.ModeSocket == 0 {
		t.Errorf("socket file has mode %v, error %v", info.Mode(), err)
	}
	if _, err := Listen(unixAddr(t, path), 0o600); !errors.Is(err, ErrInUse) {
		t.Errorf("second listener: error %v, want ErrInUse", err)
	}
	got := make(chan error, 1)
	go func() { _, err := ln.Accept(); got <- err }()
	nc, err := net.Dial("unix", path)
	if err != nil || <-got != nil {
		t.Fatal(err)
	}
	_ = nc.Close()
	_ = ln.Close()
	if _, err := os.Lstat(path); !errors.Is(err, fs.ErrNotExist) {
		t.Errorf("Lstat of the socket file after Close: error %v, want ErrNotExist", err)
	}
}

// A socket file that is in use stays, also if its process holds no lock, and a file that is not a socket stays.
func TestListenKeepsFileInUse(t *testing.T) {
	dir := t.TempDir()
	path := filepath.Join(dir, "alive")
	other, err := net.Listen("unix", path)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = other.Close() }()
	if _, err := Listen(unixAddr(t, path), 0o600); !errors.Is(err, ErrInUse) {
		t.Errorf("Listen on a socket file in use: error %v, want ErrInUse", err)
	}
	regular := filepath.Join(dir, "plain")
	if err := os.WriteFile(regular, []byte("data"), 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := Listen(unixAddr(t, regular), 0o600); err == nil || !strings.Contains(err.Error(), "not a socket") {
		t.Errorf("Listen on a regular file: error %v, want one that says that it is not a socket", err)
	}
	if text, _ := os.ReadFile(regular); string(text) != "data" {
		t.Error("the regular file was changed")
	}
	// A listener whose file was replaced does not remove the replacement.
	replaced := filepath.Join(dir, "mine")
	ln, err := Listen(unixAddr(t, replaced), 0o600)
	if err != nil {
		t.Fatal(err)
	}
	if err := os.Remove(replaced); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(replaced, nil, 0o600); err != nil {
		t.Fatal(err)
	}
	_ = ln.Close()
	if _, err := os.Stat(replaced); err != nil {
		t.Errorf("the replacement of the file was removed: %v", err)
	}
}

// The capacity applies to all merged listeners together, and Close closes them all.
func TestMergedListeners(t *testing.T) {
	path := filepath.Join(t.TempDir(), "s")
	tcp, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	file, err := Listen(unixAddr(t, path), 0o600)
	if err != nil {
		t.Fatal(err)
	}
	l := limit(Merge(tcp, file), 10)
	for _, to := range [][2]string{{"tcp", tcp.Addr().String()}, {"unix", path}} {
		nc, err := net.Dial(to[0], to[1])
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = nc.Close() })
		accepted, err := l.Accept()
		if err != nil {
			t.Fatal(err)
		}
		peerClosed := accepted.(*Conn).Watch() // connections of both networks can be watched
		_ = nc.Close()
		<-peerClosed
		accepted.(*Conn).Unwatch()
	}
	if l.OpenCount() != 2 {
		t.Errorf("%d connections are open, want 2", l.OpenCount())
	}
	ended := make(chan error, 1)
	go func() { _, err := l.Accept(); ended <- err }()
	_ = l.Close()
	if err := <-ended; !errors.Is(err, net.ErrClosed) {
		t.Errorf("Accept after Close: error %v, want net.ErrClosed", err)
	}
	for _, to := range [][2]string{{"tcp", tcp.Addr().String()}, {"unix", path}} {
		if nc, err := net.DialTimeout(to[0], to[1], time.Second); err == nil {
			_ = nc.Close()
			t.Errorf("%v still accepts connections after Close", to)
		}
	}
}

func TestClassifyDialError(t *testing.T) {
	for _, x := range []struct {
		err    error
		family address.Family
		want   address.Reason
	}{
		{syscall.ECONNREFUSED, address.IPv4, address.ReasonRefused}, {syscall.ENOENT, address.Unix, address.ReasonRefused},
		{syscall.EACCES, address.Unix, address.ReasonRefused}, {syscall.EAGAIN, address.Unix, address.ReasonTimedOut},
		{syscall.EMFILE, address.IPv6, address.ReasonNoResource}, {syscall.EADDRNOTAVAIL, address.IPv4, address.ReasonNoResource},
		{syscall.EADDRNOTAVAIL, address.IPv6, address.ReasonNoFamily}, {syscall.EAFNOSUPPORT, address.IPv6, address.ReasonNoFamily},
		{syscall.ENETUNREACH, address.IPv6, address.ReasonNoFamily}, {syscall.ENETUNREACH, address.IPv4, address.ReasonRefused},
		{os.ErrDeadlineExceeded, address.IPv4, address.ReasonTimedOut}, {syscall.ETIMEDOUT, address.IPv4, address.ReasonTimedOut},
	} {
		if got := ClassifyDialError(&net.OpError{Op: "dial", Err: os.NewSyscallError("connect", x.err)}, x.family); got != x.want {
			t.Errorf("dial of family %v with error %v: classified as %v, want %v", x.family, x.err, got, x.want)
		}
	}
}
