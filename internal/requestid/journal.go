package requestid

import (
	"crypto/rand"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net/url"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"

	"wheatsaddle/internal/machineclock"
)

const (
	// MaxWindow is the longest time for which a journal shares an id.
	MaxWindow = time.Minute
	// fileSpan is the time after which records go to a new file, so that old ones can be removed.
	fileSpan = 30 * time.Second
	// maxFileBytes bounds a file, as files count as memory where $TMPDIR does.
	maxFileBytes = 2 << 20
	// maxRepeatableBytes is the part of a file up to which ids of requests that may be repeated are written.
	maxRepeatableBytes = maxFileBytes / 2
	// maxPending is the number of records that wait for a folder whose writes fail.
	maxPending = 4096
	readSize   = 64 * recordSize // bytes
)

// publishTries is how often a record is written that other processes cannot read, because it was mixed with one of theirs.
const publishTries = 2

var (
	errJournalFull = errors.New("request id journal: file is full")
	errUnreadable  = errors.New("request id journal: a record was written and cannot be read")
	// errOthersUnread reports that another process may own an id, because its records could not be read.
	errOthersUnread = errors.New("request id journal: read records of other processes")
)

// Journal shares owned ids with the other processes of the scheduler, by records in files of a folder that all of them use. A process
// writes that it owns an id before it lets an attempt run, and then reads what the others have written: of two processes that do so at
// a time, at least one sees the other. Times are of the machine's monotonic clock, which all processes share, so a step of the wall
// clock has no effect. A Journal is not safe for concurrent use.
type Journal struct {
	prefix  string // of the files' paths
	process uint64
	clock   func() time.Duration
	files   map[int64]*journalFile // by number: the time divided by fileSpan
	others  map[Key]time.Duration  // ids that other processes own, until when
	pending []record               // not written yet
	lastOwn Key                    // of the last record of this process that was read
	swept   int64                  // number of the file at the last removal of old ones
}

// journalFile is one file, and how far it was read.
type journalFile struct {
	file   *os.File
	offset int64
}

// OpenJournal opens the journal of a name, such as the address of the clients' socket, in a folder, and reads what other processes
// have written there.
func OpenJournal(folder, name string) (*Journal, error) {
	clock, err := machineclock.New()
	if err != nil {
		return nil, err
	}
	return openJournal(folder, name, clock)
}

func openJournal(folder, name string, clock func() time.Duration) (*Journal, error) {
	var process [8]byte
	if _, err := rand.Read(process[:]); err != nil {
		return nil, fmt.Errorf("request id journal: %w", err)
	}
	j := &Journal{
		prefix:  filepath.Join(folder, "wheatsaddle-ids-"+url.PathEscape(name)+"-"),
		process: binary.LittleEndian.Uint64(process[:]),
		clock:   clock,
		files:   map[int64]*journalFile{},
		others:  map[Key]time.Duration{},
	}
	now := clock()
	for number := j.oldest(now); number <= fileNumber(now); number++ {
		if err := j.read(number, false); err != nil {
			return nil, err
		}
	}
	return j, nil
}

func fileNumber(at time.Duration) int64 { return int64(at / fileSpan) }

// oldest returns the number of the oldest file whose records may still hold.
func (j *Journal) oldest(now time.Duration) int64 {
	return max(0, fileNumber(now-MaxWindow-fileSpan))
}

// Publish writes that this process owns an id for a window, and reads what others have written. owned reports that another process
// owns the id. An error means that the others may not see the record; it is written again with the next one. Where the file is full
// up to maxFileBytes, or up to maxRepeatableBytes for a request that may be repeated, the error is the only effect.
func (j *Journal) Publish(key Key, window time.Duration, mayRepeat bool) (owned bool, err error) {
	now := j.clock()
	limit := int64(maxFileBytes)
	if mayRepeat {
		limit = maxRepeatableBytes
	}
	for range publishTries {
		err = j.publishOnce(now, limit, record{kind: recordOwned, key: key, until: now + min(window, MaxWindow), process: j.process})
		if !errors.Is(err, errUnreadable) {
			break
		}
	}
	return j.OwnedByOther(key), err
}

// OwnedByOther reports whether another process owns an id, by the records that were read so far.
func (j *Journal) OwnedByOther(key Key) bool {
	until, known := j.others[key]
	return known && until > j.clock()
}

// publishOnce writes a record and reads what others have written, and the record itself: a write that came in parts may be mixed with
// one of another process.
func (j *Journal) publishOnce(now time.Duration, limit int64, r record) error {
	writeErr := j.write(now, limit, r)
	readErr := j.readNew(now)
	if readErr != nil {
		readErr = fmt.Errorf("%w: %w", errOthersUnread, readErr)
	}
	err := errors.Join(writeErr, readErr)
	if err == nil && j.lastOwn != r.key {
		err = errUnreadable
	}
	return err
}

// Free writes that an id is not owned any more, because its request has never run.
func (j *Journal) Free(key Key) error {
	return j.write(j.clock(), maxFileBytes, record{kind: recordFree, key: key, process: j.process})
}

// OthersActive reports whether another process has written a record that still holds.
func (j *Journal) OthersActive() bool {
	now := j.clock()
	for key, until := range j.others {
		if until > now {
			return true
		}
		delete(j.others, key)
	}
	return false
}

// Close closes the files.
func (j *Journal) Close() error {
	var errs []error
	for _, f := range j.files {
		errs = append(errs, f.file.Close())
	}
	return errors.Join(errs...)
}

// write appends a record, after those that could not be written before, to a file with less than limit bytes.
func (j *Journal) write(now time.Duration, limit int64, r record) error {
	j.removeOld(now)
	f, err := j.open(fileNumber(now), true)
	if err == nil {
		err = f.checkSize(limit)
	}
	if errors.Is(err, errJournalFull) {
		return err
	}
	j.pending = append(j.pending, r)
	if len(j.pending) > maxPending {
		j.pending = j.pending[len(j.pending)-maxPending:]
	}
	if err != nil {
		return err
	}
	for len(j.pending) > 0 {
		if err := f.append(j.pending[0]); err != nil {
			return err
		}
		j.pending = j.pending[1:]
	}
	j.pending = nil
	return nil
}

// checkSize returns errJournalFull if the file has limit bytes or more.
func (f *journalFile) checkSize(limit int64) error {
	info, err := f.file.Stat()
	if err == nil && info.Size() >= limit {
		err = errJournalFull
	}
	return err
}

// append appends a record in one write.
func (f *journalFile) append(r record) error {
	n, err := f.file.Write(r.encode())
	if err == nil && n < recordSize {
		err = io.ErrShortWrite
	}
	return err
}

// readNew reads what other processes have written to the current file and the one before, to which a process may still write whose
// time it just was.
func (j *Journal) readNew(now time.Duration) error {
	number := fileNumber(now)
	return errors.Join(j.read(number-1, false), j.read(number, false))
}

// read reads the new records of a file. A file that does not exist has none.
func (j *Journal) read(number int64, create bool) error {
	f, err := j.open(number, create)
	if errors.Is(err, os.ErrNotExist) {
		return nil
	}
	if err != nil {
		return err
	}
	buffer := make([]byte, readSize)
	for {
		n, err := f.file.ReadAt(buffer, f.offset)
		done := decodeRecords(buffer[:n], j.learn)
		f.offset += int64(done)
		if errors.Is(err, io.EOF) || err == nil && done == 0 {
			return nil
		}
		if err != nil {
			return fmt.Errorf("request id journal: %w", err)
		}
	}
}

// learn takes over a record of another process.
func (j *Journal) learn(r record) {
	switch {
	case r.process == j.process:
		j.lastOwn = r.key
	case r.kind == recordOwned:
		j.others[r.key] = r.until
	case r.kind == recordFree:
		delete(j.others, r.key)
	}
}

// open returns a file.
func (j *Journal) open(number int64, create bool) (*journalFile, error) {
	if f := j.files[number]; f != nil {
		return f, nil
	}
	flags := os.O_RDWR | os.O_APPEND | syscall.O_NOFOLLOW
	if create {
		flags |= os.O_CREATE
	}
	file, err := os.OpenFile(j.prefix+strconv.FormatInt(number, 10), flags, 0o600)
	if err != nil {
		return nil, fmt.Errorf("request id journal: %w", err)
	}
	f := &journalFile{file: file}
	j.files[number] = f
	return f, nil
}

// removeOld removes the files whose records no longer hold, and forgets the ids in them, when a new file begins.
func (j *Journal) removeOld(now time.Duration) {
	if j.swept == fileNumber(now) {
		return
	}
	j.swept = fileNumber(now)
	oldest := j.oldest(now)
	for number, f := range j.files {
		if number < oldest {
			_ = f.file.Close() // it is removed
			delete(j.files, number)
		}
	}
	names, _ := filepath.Glob(escapeGlob(j.prefix) + "*") // the pattern is valid
	for _, name := range names {
		number, err := strconv.ParseInt(strings.TrimPrefix(name, j.prefix), 10, 64)
		if err == nil && number < oldest {
			_ = os.Remove(name) // another process may have removed it
		}
	}
	for key, until := range j.others {
		if until <= now {
			delete(j.others, key)
		}
	}
}

// escapeGlob quotes the special characters of a path in a pattern.
func escapeGlob(path string) string {
	return strings.NewReplacer(`\`, `\\`, `*`, `\*`, `?`, `\?`, `[`, `\[`).Replace(path)
}
