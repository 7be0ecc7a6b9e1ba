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

const probeTimeout = time.Second

// Listen listens on one address. A socket file gets its mode before anybody can connect to it.
// The file of a dead socket is replaced; one at which somebody answers, or that is no socket,
// is an error and stays.
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
		lock.Close()
		return nil, listenError(path, err)
	}
	l.lock = lock
	return noSpliceListener{l}, nil
}

// lockSocketFile takes the lock of a socket file for as long as it is open. It orders those that find
// the same dead file; a lock's file is left, as one that is removed could be held twice.
func lockSocketFile(path string) (*os.File, error) {
	f, err := os.OpenFile(path, os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return nil, err
	}
	if err := syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		f.Close()
		return nil, &InUseError{Address: strings.TrimSuffix(path, ".lock")}
	}
	return f, nil
}

// fileListener removes its file when it is closed, if it is still its own.
type fileListener struct {
	net.Listener
	path      string
	fileInfo  fs.FileInfo
	lock      *os.File
	closeOnce sync.Once
}

// listenFile makes the socket beside its place, sets the mode and moves it there: a connect
// finds the old file or the new one, never one with another mode.
func listenFile(path string, mode fs.FileMode) (*fileListener, error) {
	if err := checkReplaceable(path); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	temporary := path + "~"
	if len(temporary) > 107 { // sun_path of unix(7), less its NUL
		return nil, fmt.Errorf("%s: %d bytes long, and a listener's has 106 at most", path, len(path))
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
		ln.Close()
		os.Remove(temporary)
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

// checkReplaceable says why the file of a socket may not be replaced; nil: there is none, or nobody answers.
func checkReplaceable(path string) error {
	info, err := os.Lstat(path)
	if errors.Is(err, fs.ErrNotExist) {
		return nil
	}
	if err != nil {
		return err
	}
	if info.Mode()&fs.ModeSocket == 0 {
		return errors.New("is there and is no socket")
	}
	nc, err := net.DialTimeout("unix", path, probeTimeout)
	if err == nil {
		nc.Close()
		return &InUseError{Address: path}
	}
	if !errors.Is(err, syscall.ECONNREFUSED) { // a full backlog, or no permission: not known to be dead
		return &InUseError{path, fmt.Errorf("somebody listens there, or so it seems: %w", err)}
	}
	return nil
}

// Close implements net.Listener.
func (l *fileListener) Close() error {
	err := l.Listener.Close()
	l.closeOnce.Do(func() {
		if now, serr := os.Lstat(l.path); serr == nil && os.SameFile(now, l.fileInfo) {
			os.Remove(l.path)
		}
		if l.lock != nil {
			l.lock.Close()
		}
	})
	return err
}

// mergedListener accepts from several listeners as one.
type mergedListener struct {
	net.Listener // the first, whose address it has
	listeners    []net.Listener
	accepted     chan acceptResult
	done         chan struct{}
	closeOnce    sync.Once
	exclusive    sync.WaitGroup // of those whose queue is this process's alone
	drained      chan struct{}  // closed when none of them accepts any more
}

type acceptResult struct {
	conn net.Conn
	err  error
}

// Merge makes one listener of several. Each has one accepted connection ahead at most, so what
// a cap holds off stays in the backlogs.
func Merge(all ...net.Listener) net.Listener {
	if len(all) == 1 {
		return all[0]
	}
	m := &mergedListener{Listener: all[0], listeners: all, accepted: make(chan acceptResult), done: make(chan struct{}), drained: make(chan struct{})}
	for _, l := range all {
		if acceptQueueOf(l) != nil {
			m.exclusive.Add(1)
		}
		go m.serve(l)
	}
	return m
}

func (m *mergedListener) serve(l net.Listener) {
	if acceptQueueOf(l) != nil {
		defer m.exclusive.Done()
	}
	for {
		nc, err := l.Accept()
		select {
		case m.accepted <- acceptResult{nc, err}:
		case <-m.done:
			if nc != nil {
				nc.Close()
			}
			return
		}
		if err != nil && !isTransient(err) {
			return
		}
	}
}

// Accept implements net.Listener.
func (m *mergedListener) Accept() (net.Conn, error) {
	select {
	case a := <-m.accepted:
		return a.conn, a.err
	case <-m.drained:
		return nil, errQueueEmpty // what was accepted is given out by acceptNow
	case <-m.done:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (m *mergedListener) Close() error {
	m.closeOnce.Do(func() { close(m.done) })
	var errs []error
	for _, l := range m.listeners {
		errs = append(errs, l.Close())
	}
	return errors.Join(errs...)
}
