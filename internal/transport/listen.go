package transport

import (
	"errors"
	"fmt"
	"io/fs"
	"net"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"

	"wheatsaddle/internal/address"
)

const probeTimeout = time.Second // limit of the connect that tests whether a socket file is in use

const maxSocketPath = 107 // bytes: the size of sun_path in unix(7) without the terminating NUL

// Listen listens on one address. A socket file gets its mode before a client can connect to it. The file of a socket that no
// process listens on is replaced. A file that is in use (ErrInUse) or is not a socket is an error and stays unchanged.
func Listen(a address.Addr, mode fs.FileMode) (net.Listener, error) {
	path := a.Path()
	if path == "" {
		network, to := a.Dial()
		ln, err := net.Listen(network, to)
		if err != nil {
			return nil, listenError(to, err)
		}
		return noSpliceListener{ln}, nil
	}
	lock, err := lockSocketFile(path + ".lock")
	if err != nil {
		return nil, listenError(path, fmt.Errorf("%s: %w", path, err))
	}
	l, err := listenFile(path, mode)
	if err != nil {
		_ = lock.Close() // nothing was written
		return nil, listenError(path, err)
	}
	l.lock = lock
	return noSpliceListener{l}, nil
}

// ListenTCP listens on host:port.
func ListenTCP(address string) (net.Listener, error) {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return nil, listenError(address, err)
	}
	return noSpliceListener{ln}, nil
}

// lockSocketFile takes the lock of a socket file and holds it until the returned file is closed, so that two processes do not
// replace the same unused socket. The lock file is never removed, because two processes could then both hold the lock.
func lockSocketFile(path string) (*os.File, error) {
	f, err := os.OpenFile(path, os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return nil, err
	}
	if err := syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		_ = f.Close() // nothing was written
		return nil, &InUseError{Address: strings.TrimSuffix(path, ".lock")}
	}
	return f, nil
}

// fileListener removes its socket file on Close, unless another process has replaced the file.
type fileListener struct {
	net.Listener
	path      string
	fileInfo  fs.FileInfo
	lock      *os.File
	closeOnce sync.Once
}

// listenFile creates the socket under a temporary name, sets the mode and renames it, so that a client finds the old file or
// the new one, but never one with another mode.
func listenFile(path string, mode fs.FileMode) (*fileListener, error) {
	if err := checkReplaceable(path); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	temporary := path + "~"
	if len(temporary) > maxSocketPath {
		return nil, fmt.Errorf("%s: path is %d bytes long, the limit is 106", path, len(path))
	}
	if err := os.Remove(temporary); err != nil && !errors.Is(err, fs.ErrNotExist) {
		return nil, err
	}
	ln, err := net.ListenUnix("unix", &net.UnixAddr{Name: temporary, Net: "unix"})
	if err != nil {
		return nil, err
	}
	ln.SetUnlinkOnClose(false)
	fail := func(err error) (*fileListener, error) {
		_ = ln.Close() // err is reported instead
		_ = os.Remove(temporary)
		return nil, err
	}
	if err := os.Chmod(temporary, mode); err != nil {
		return fail(err)
	}
	fileInfo, err := os.Lstat(temporary)
	if err != nil {
		return fail(err)
	}
	if err := os.Rename(temporary, path); err != nil {
		return fail(err)
	}
	return &fileListener{Listener: ln, path: path, fileInfo: fileInfo}, nil
}

// checkReplaceable returns an error if the file at path may not be replaced: it is not a socket, or a process listens on it.
func checkReplaceable(path string) error {
	info, err := os.Lstat(path)
	if errors.Is(err, fs.ErrNotExist) {
		return nil
	}
	if err != nil {
		return err
	}
	if info.Mode()&fs.ModeSocket == 0 {
		return errors.New("exists and is not a socket")
	}
	nc, err := net.DialTimeout("unix", path, probeTimeout)
	if err == nil {
		_ = nc.Close() // only the success of the connect matters
		return &InUseError{Address: path}
	}
	if !errors.Is(err, syscall.ECONNREFUSED) { // e.g. a full backlog or no permission: a process may be listening
		return &InUseError{path, fmt.Errorf("another process may be listening: %w", err)}
	}
	return nil
}

// Close implements net.Listener.
func (l *fileListener) Close() error {
	err := l.Listener.Close()
	l.closeOnce.Do(func() {
		if now, serr := os.Lstat(l.path); serr == nil && os.SameFile(now, l.fileInfo) {
			_ = os.Remove(l.path) // if this fails, the next Listen replaces the file
		}
		if l.lock != nil {
			_ = l.lock.Close() // nothing was written
		}
	})
	return err
}
