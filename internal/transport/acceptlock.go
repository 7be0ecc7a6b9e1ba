package transport

import (
	"errors"
	"net"
	"net/url"
	"os"
	"path/filepath"
	"syscall"
)

// AcceptLock is an flock(2) that decides which of the processes sharing a socket accepts from it. The kernel releases it when
// the process ends. Only one goroutine may use it.
type AcceptLock struct {
	Path string
	file *os.File
}

// NewAcceptLock returns the lock of an inherited socket, a file in dir that is named for the socket's address. It opens
// nothing.
func NewAcceptLock(dir string, addr net.Addr) *AcceptLock {
	return &AcceptLock{Path: filepath.Join(dir, "wheatsaddle-accept-"+url.PathEscape(addr.String())+".lock")}
}

// TryLock takes the lock without waiting and reports whether it did. The lock file is never removed, because two processes
// could then both hold the lock.
func (l *AcceptLock) TryLock() (bool, error) {
	if l.file == nil {
		f, err := os.OpenFile(l.Path, os.O_CREATE|os.O_RDWR|syscall.O_NOFOLLOW, 0o600)
		if err != nil {
			return false, err
		}
		l.file = f
	}
	err := syscall.Flock(int(l.file.Fd()), syscall.LOCK_EX|syscall.LOCK_NB)
	switch {
	case errors.Is(err, syscall.EWOULDBLOCK) || errors.Is(err, syscall.EINTR):
		return false, nil
	case err != nil:
		return false, &os.PathError{Op: "flock", Path: l.Path, Err: err}
	}
	if l.fileIsCurrent() {
		return true, nil
	}
	l.Unlock() // the file was removed or replaced, so the next process would lock a different file
	return false, nil
}

// fileIsCurrent reports whether the locked file is still the one at Path.
func (l *AcceptLock) fileIsCurrent() bool {
	locked, err := l.file.Stat()
	if err != nil {
		return false
	}
	current, err := os.Lstat(l.Path)
	return err == nil && os.SameFile(locked, current)
}

// Unlock releases the lock.
func (l *AcceptLock) Unlock() {
	if l.file != nil {
		_ = l.file.Close() // nothing was written
		l.file = nil
	}
}
