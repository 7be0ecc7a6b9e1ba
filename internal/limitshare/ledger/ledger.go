// Package ledger keeps the claims of a scheduler's processes (package limitshare) in a file that they share. Each process has a slot
// and holds a lock on it for its lifetime, which the kernel releases when the process ends, however it ends: the claim of a slot
// without a lock does not count. Reading and writing the file is guarded by a lock on its header, which is never waited for.
//
// The header has the limit that was loaded last, so that processes that read different versions of the configuration share one limit.
package ledger

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net/url"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"wheatsaddle/internal/limitshare"
	"wheatsaddle/internal/machineclock"
	"wheatsaddle/internal/operr"
)

const (
	recordSize = 32 // bytes of the header and of each slot
	slotCount  = 15
	fileSize   = recordSize * (1 + slotCount)

	// Commands of fcntl(2) on locks that belong to the open file (F_OFD_SETLK, F_OFD_GETLK), which package syscall lacks.
	setOpenFileLock = 37
	getOpenFileLock = 36

	headerMagic = 0x77736c31 // "wsl1"

	// A process that stops while it has the header's lock does not keep another from starting.
	headerLockTries    = 50
	headerLockInterval = time.Millisecond

	// clockSlack is more than the clocks of two processes differ. A limit from further in the future is from before a restart of the
	// machine.
	clockSlack = time.Second
)

// header is the file's first record.
type header struct {
	Magic           uint32
	_               uint32
	Memory, Sockets int64
	LoadedAt        int64 // when the limit was loaded, by Now
}

// slot is the claim of a process.
type slot struct {
	Memory, Sockets int64
	Phase           uint64
	_               uint64
}

// unusedRecord is a slot without a claim.
var unusedRecord [recordSize]byte

// Table is what the processes have recorded.
type Table struct {
	Limit    limitshare.Amount // that was loaded last
	LoadedAt time.Duration
	Others   []limitshare.Claim // of the other processes that run
}

// Ledger is a process's access to the file. One goroutine at a time may use it.
type Ledger struct {
	path     string
	file     *os.File
	slot     int
	recorded slot // the process's claim in the file
}

// SharingError reports that the limits cannot be shared with other processes.
type SharingError struct {
	Path string
	Err  error
}

// Error implements error.
func (e *SharingError) Error() string { return "share limits in " + e.Path + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *SharingError) Unwrap() error { return e.Err }

// Code implements operr.Coded.
func (e *SharingError) Code() string { return "limits-not-shared" }

// Advice implements operr.Coded.
func (e *SharingError) Advice() string {
	return "Give all processes of the scheduler the same $TMPDIR, in which they may write. Until then end the old process soon: each process uses the whole limits."
}

func init() {
	operr.Register(&SharingError{Path: "/tmp/wheatsaddle-limits-127.0.0.1:1.ledger", Err: os.ErrPermission})
}

var errNoSlot = errors.New("all slots are taken")

// Path returns the path of the file for the processes that share a clients' socket.
func Path(dir, socket string) string {
	return filepath.Join(dir, "wheatsaddle-limits-"+url.PathEscape(socket)+".ledger")
}

// clock is the clock of the times in the file.
var clock = sync.OnceValues(machineclock.New)

// Now returns the time of a clock that all processes share; 0 if it cannot be read: then Open fails.
func Now() time.Duration {
	now, err := clock()
	if err != nil {
		return 0
	}
	return now()
}

// Open opens the file, creates it if necessary, and takes a slot. Errors are SharingErrors.
func Open(path string) (*Ledger, error) {
	if _, err := clock(); err != nil {
		return nil, &SharingError{path, err}
	}
	file, err := os.OpenFile(path, os.O_CREATE|os.O_RDWR|syscall.O_NOFOLLOW, 0o600)
	if err != nil {
		return nil, &SharingError{path, err}
	}
	l := &Ledger{path: path, file: file}
	if err := l.takeSlot(); err != nil {
		_ = file.Close() // the error of the slot is the one to report
		return nil, &SharingError{path, err}
	}
	return l, nil
}

// takeSlot locks a free slot and erases the claim that an ended process left there. The header is locked meanwhile, so that no
// process takes that claim for one of this process.
func (l *Ledger) takeSlot() error {
	locked, err := l.lockHeader()
	if err != nil {
		return err
	}
	if locked {
		defer l.unlockHeader()
	}
	for l.slot = range slotCount {
		locked, err := l.lock(l.slotOffset(l.slot))
		if err != nil {
			return err
		}
		if locked {
			return l.write(l.slotOffset(l.slot), slot{})
		}
	}
	return errNoSlot
}

// lockHeader locks the header, unless another process has it for a long time.
func (l *Ledger) lockHeader() (locked bool, err error) {
	for range headerLockTries {
		if locked, err = l.lock(0); locked || err != nil {
			return locked, err
		}
		time.Sleep(headerLockInterval)
	}
	return false, nil
}

// unlockHeader ends the use of the file.
func (l *Ledger) unlockHeader() { _ = l.setLock(syscall.F_UNLCK, 0) } // it fails only for invalid arguments

// Close gives the slot up.
func (l *Ledger) Close() { _ = l.file.Close() } // the claim no longer counts

// IsCurrent reports whether the open file is still the one at its path, as far as that can be seen.
func (l *Ledger) IsCurrent() bool {
	current, err := os.Lstat(l.path)
	if err != nil {
		return !errors.Is(err, os.ErrNotExist)
	}
	open, err := l.file.Stat()
	return err != nil || os.SameFile(open, current)
}

// Update reads the table and records the claim that decide returns. It returns false if another process is using the file: the caller
// tries again later. A limit that was loaded after that of the table, at loadedAt, replaces it.
func (l *Ledger) Update(limit limitshare.Amount, loadedAt time.Duration, decide func(Table) limitshare.Claim) (updated bool, err error) {
	locked, err := l.lock(0)
	if err != nil {
		return false, &SharingError{l.path, err}
	}
	if !locked {
		return false, nil
	}
	defer l.unlockHeader()
	table, err := l.read()
	if err != nil {
		return false, &SharingError{l.path, err}
	}
	if loadedAt > table.LoadedAt || table.LoadedAt > Now()+clockSlack {
		table.Limit, table.LoadedAt = limit, loadedAt
		h := header{Magic: headerMagic, Memory: limit.Memory, Sockets: limit.Sockets, LoadedAt: int64(loadedAt)}
		if err := l.write(0, h); err != nil {
			return false, &SharingError{l.path, err}
		}
	}
	claim := decide(table)
	record := slot{Memory: claim.Memory, Sockets: claim.Sockets, Phase: uint64(claim.Phase)}
	if record == l.recorded {
		return true, nil
	}
	if err := l.write(l.slotOffset(l.slot), record); err != nil {
		return false, &SharingError{l.path, err}
	}
	l.recorded = record
	return true, nil
}

// read reads the table. A file that was not written yet has none.
func (l *Ledger) read() (Table, error) {
	text := make([]byte, fileSize)
	if _, err := l.file.ReadAt(text, 0); err != nil && !errors.Is(err, io.EOF) {
		return Table{}, err
	}
	var h header
	if err := decode(text[:recordSize], &h); err != nil {
		return Table{}, err
	}
	table := Table{LoadedAt: -1}
	if h.Magic == headerMagic {
		table.Limit, table.LoadedAt = limitshare.Amount{Memory: h.Memory, Sockets: h.Sockets}, time.Duration(h.LoadedAt)
	}
	for i := range slotCount {
		at := l.slotOffset(i)
		record := text[at : at+recordSize]
		if i == l.slot || bytes.Equal(record, unusedRecord[:]) {
			continue
		}
		var s slot
		if err := decode(record, &s); err != nil {
			return Table{}, err
		}
		running, err := l.isLockedByOther(at)
		if err != nil {
			return Table{}, err
		}
		if running {
			amount := limitshare.Amount{Memory: s.Memory, Sockets: s.Sockets}
			table.Others = append(table.Others, limitshare.Claim{Amount: amount, Phase: limitshare.Phase(min(s.Phase, uint64(limitshare.Draining)))})
		}
	}
	return table, nil
}

func (l *Ledger) slotOffset(slot int) int64 { return int64(recordSize * (1 + slot)) }

func decode(text []byte, record any) error {
	if err := binary.Read(bytes.NewReader(text), binary.LittleEndian, record); err != nil {
		return fmt.Errorf("decode record: %w", err)
	}
	return nil
}

// write writes a record.
func (l *Ledger) write(at int64, record any) error {
	var text bytes.Buffer
	if err := binary.Write(&text, binary.LittleEndian, record); err != nil {
		return err
	}
	_, err := l.file.WriteAt(text.Bytes(), at)
	return err
}

// recordLock returns the lock of the record at an offset.
func recordLock(lockType int16, at int64) syscall.Flock_t {
	return syscall.Flock_t{Type: lockType, Whence: io.SeekStart, Start: at, Len: recordSize}
}

// setLock changes the lock of a record, without waiting.
func (l *Ledger) setLock(lockType int16, at int64) error {
	lock := recordLock(lockType, at)
	return syscall.FcntlFlock(l.file.Fd(), setOpenFileLock, &lock)
}

// lock locks a record. It returns false if another process has it.
func (l *Ledger) lock(at int64) (bool, error) {
	err := l.setLock(syscall.F_WRLCK, at)
	if errors.Is(err, syscall.EAGAIN) || errors.Is(err, syscall.EACCES) || errors.Is(err, syscall.EINTR) {
		return false, nil
	}
	return err == nil, err
}

// isLockedByOther reports whether another process has the lock of a record.
func (l *Ledger) isLockedByOther(at int64) (bool, error) {
	lock := recordLock(syscall.F_WRLCK, at)
	if err := syscall.FcntlFlock(l.file.Fd(), getOpenFileLock, &lock); err != nil {
		return false, err
	}
	return lock.Type != syscall.F_UNLCK, nil
}
