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
		return plainListener{ln}, nil
	}
	lock, err := holdLock(path + ".lock")
	if err != nil {
		return nil, listenError(path, fmt.Errorf("%s: %w", path, err))
	}
	l, err := listenFile(path, mode)
	if err != nil {
		lock.Close()
		return nil, listenError(path, err)
	}
	l.lock = lock
	return plainListener{l}, nil
}

// holdLock takes the lock of a socket file for as long as it is open. It orders those that find
// the same dead file; a lock's file is left, as one that is removed could be held twice.
func holdLock(path string) (*os.File, error) {
	f, err := os.OpenFile(path, os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return nil, err
	}
	if err := syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		f.Close()
		return nil, &InUse{Address: strings.TrimSuffix(path, ".lock")}
	}
	return f, nil
}

// fileListener removes its file when it is closed, if it is still its own.
type fileListener struct {
	net.Listener
	path string
	made fs.FileInfo
	lock *os.File
	once sync.Once
}

// listenFile makes the socket beside its place, sets the mode and moves it there: a connect
// finds the old file or the new one, never one with another mode.
func listenFile(path string, mode fs.FileMode) (*fileListener, error) {
	if err := dead(path); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	beside := path + "~"
	if len(beside) > 107 { // sun_path of unix(7), less its NUL
		return nil, fmt.Errorf("%s: %d bytes long, and a listener's has 106 at most", path, len(path))
	}
	if err := os.Remove(beside); err != nil && !errors.Is(err, fs.ErrNotExist) {
		return nil, err
	}
	ln, err := net.ListenUnix("unix", &net.UnixAddr{Name: beside, Net: "unix"})
	if err != nil {
		return nil, err
	}
	ln.SetUnlinkOnClose(false)
	undo := func(err error) (*fileListener, error) {
		ln.Close()
		os.Remove(beside)
		return nil, err
	}
	if err := os.Chmod(beside, mode); err != nil {
		return undo(err)
	}
	made, err := os.Lstat(beside)
	if err != nil {
		return undo(err)
	}
	if err := os.Rename(beside, path); err != nil {
		return undo(err)
	}
	return &fileListener{Listener: ln, path: path, made: made}, nil
}

// dead says why the file of a socket may not be replaced; nil: there is none, or nobody answers.
func dead(path string) error {
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
		return &InUse{Address: path}
	}
	if !errors.Is(err, syscall.ECONNREFUSED) { // a full backlog, or no permission: not known to be dead
		return &InUse{path, fmt.Errorf("somebody listens there, or so it seems: %w", err)}
	}
	return nil
}

// Close implements net.Listener.
func (l *fileListener) Close() error {
	err := l.Listener.Close()
	l.once.Do(func() {
		if now, serr := os.Lstat(l.path); serr == nil && os.SameFile(now, l.made) {
			os.Remove(l.path)
		}
		if l.lock != nil {
			l.lock.Close()
		}
	})
	return err
}

// merged accepts from several listeners as one.
type merged struct {
	net.Listener // the first, whose address it has
	all          []net.Listener
	got          chan accepted
	done         chan struct{}
	once         sync.Once
	own          sync.WaitGroup // of those whose queue is this process's alone
	ended        chan struct{}  // closed when none of them accepts any more
}

type accepted struct {
	nc  net.Conn
	err error
}

// Merge makes one listener of several. Each has one accepted connection ahead at most, so what
// a cap holds off stays in the backlogs.
func Merge(all ...net.Listener) net.Listener {
	if len(all) == 1 {
		return all[0]
	}
	m := &merged{Listener: all[0], all: all, got: make(chan accepted), done: make(chan struct{}), ended: make(chan struct{})}
	for _, l := range all {
		if acceptQueueOf(l) != nil {
			m.own.Add(1)
		}
		go m.serve(l)
	}
	return m
}

func (m *merged) serve(l net.Listener) {
	if acceptQueueOf(l) != nil {
		defer m.own.Done()
	}
	for {
		nc, err := l.Accept()
		select {
		case m.got <- accepted{nc, err}:
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
func (m *merged) Accept() (net.Conn, error) {
	select {
	case a := <-m.got:
		return a.nc, a.err
	case <-m.ended:
		return nil, errQueueEmpty // what was accepted is given out by acceptNow
	case <-m.done:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (m *merged) Close() error {
	m.once.Do(func() { close(m.done) })
	var errs []error
	for _, l := range m.all {
		errs = append(errs, l.Close())
	}
	return errors.Join(errs...)
}
