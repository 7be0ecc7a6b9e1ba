// Package snapshot owns the file in which a scheduler keeps what it has learned, for its next start.
//
// Invariants:
//   - The file is whole or not there: it is written beside, synced and renamed.
//   - What is read carries this package's magic and version, its own length and its checksum (xxhash).
//     A prefix of a file, and a file with any byte changed, is refused.
//   - It is bounded: Most bytes, whatever is in it.
//   - A snapshot older than MaxAge, or of the future, is refused: what it says of nodes is no news.
//
// It does not decide what of it still holds: internal/coldstart drops nodes that have restarted.
package snapshot

import (
	"bytes"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"math"
	"os"
	"path/filepath"
	"time"

	"github.com/cespare/xxhash/v2"

	"wheatsaddle/internal/operr"
)

// Figures.
const (
	Version = 1
	MaxSize = 256 << 10 // bytes of the file
	MaxAge  = 5 * time.Minute
	skew    = 2 * time.Second // a clock may have been set back by this
)

var magic = [8]byte{'w', 's', 'l', 'e', 'a', 'r', 'n', Version}

// The head: magic with the version, the body's length, the checksum of all before it and of the body.
const headSize = 8 + 4 + 8

// Snapshot is what was learned.
type Snapshot struct {
	Version int          `json:"version"`
	Made    time.Time    `json:"made"`
	Nodes   []NodeState  `json:"nodes"` // the most used first
	Classes []ClassState `json:"classes"`
}

// NodeState is what was learned of one life of a node.
type NodeState struct {
	ID                 string  `json:"id"`
	StartTime          float64 `json:"since_ms"`
	Window             float64 `json:"window"`
	Latency            float64 `json:"usual_ms"`
	BestLatencyPerUnit float64 `json:"best"`
	FailureRate        float64 `json:"failing"`
}

// ClassState is what was learned of one class.
type ClassState struct {
	Name   string  `json:"name"`
	Weight float64 `json:"weight"`
	Slope  float64 `json:"slope"`
	Delay  float64 `json:"delay_ms"`
}

// UnusableError is a snapshot that is there and must not be used.
type UnusableError struct {
	Path   string
	Reason string // torn, foreign or old
	Detail string
}

func (e *UnusableError) Error() string {
	return fmt.Sprintf("snapshot %s: %s: %s", e.Path, e.Reason, e.Detail)
}

// Code is stable.
func (e *UnusableError) Code() string { return "snapshot-" + e.Reason }

// Advice says what to do.
func (e *UnusableError) Advice() string {
	return "nothing: the program starts as without a snapshot and writes a new one; if it comes at each start, look at who else writes the file"
}

// FileError is a snapshot that could not be read or written.
type FileError struct {
	Path, Operation string
	Err             error
}

func (e *FileError) Error() string {
	return fmt.Sprintf("snapshot %s: %s: %v", e.Path, e.Operation, e.Err)
}
func (e *FileError) Unwrap() error { return e.Err }

// Code is stable.
func (e *FileError) Code() string { return "snapshot-failed" }

// Advice says what to do.
func (e *FileError) Advice() string {
	return "see that the folder of start.snapshot is there, is the program's own and has room; the program runs without"
}

func init() {
	operr.Register(&UnusableError{"x", "torn", "x"}, &UnusableError{"x", "foreign", "x"}, &UnusableError{"x", "old", "x"},
		&FileError{"x", "write", errors.New("x")})
}

// Encode makes the file's bytes. What does not fit is left out: the least used nodes.
func Encode(s *Snapshot) ([]byte, error) {
	c := *s
	c.Version = Version
	for {
		body, err := json.Marshal(&c)
		if err != nil {
			return nil, err
		}
		if headSize+len(body) > MaxSize && len(c.Nodes) > 0 {
			c.Nodes = c.Nodes[:len(c.Nodes)*3/4]
			continue
		}
		out := append(make([]byte, 0, headSize+len(body)), magic[:]...)
		out = binary.BigEndian.AppendUint32(out, uint32(len(body)))
		return append(binary.BigEndian.AppendUint64(out, checksum(out, body)), body...), nil
	}
}

func checksum(head, body []byte) uint64 {
	d := xxhash.New()
	d.Write(head)
	d.Write(body)
	return d.Sum64()
}

// Decode reads the file's bytes.
func Decode(path string, text []byte, now time.Time) (*Snapshot, error) {
	s, err := Parse(path, text)
	if err != nil {
		return nil, err
	}
	if age := now.Sub(s.Made); age > MaxAge || age < -skew {
		return nil, &UnusableError{path, "old", fmt.Sprintf("made %s before now", age.Round(time.Millisecond))}
	}
	return s, nil
}

// Parse reads the bytes of a snapshot whose age is known otherwise: another process made it when asked,
// and no clock is compared.
func Parse(path string, text []byte) (*Snapshot, error) {
	bad := func(why, form string, args ...any) (*Snapshot, error) {
		return nil, &UnusableError{path, why, fmt.Sprintf(form, args...)}
	}
	n := min(len(text), len(magic))
	switch {
	case !bytes.Equal(text[:n], magic[:n]):
		return bad("foreign", "it does not begin as version %d of this file does", Version)
	case len(text) < headSize || len(text) > MaxSize:
		return bad("torn", "%d bytes", len(text))
	}
	body := text[headSize:]
	if long := binary.BigEndian.Uint32(text[8:]); int64(long) != int64(len(body)) {
		return bad("torn", "%d bytes of %d", len(body), long)
	}
	if binary.BigEndian.Uint64(text[12:]) != checksum(text[:12], body) {
		return bad("torn", "its checksum is another")
	}
	s := &Snapshot{}
	if err := json.Unmarshal(body, s); err != nil || s.Version != Version {
		return bad("foreign", "version %d, %v", s.Version, err)
	}
	return s, nil
}

// Read reads the file; fs.ErrNotExist in the chain where there is none.
func Read(path string, now time.Time) (*Snapshot, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, &FileError{path, "open", err}
	}
	defer f.Close()
	if st, err := f.Stat(); err == nil && !st.Mode().IsRegular() {
		return nil, &FileError{path, "open", fmt.Errorf("not a regular file: %w", fs.ErrInvalid)}
	}
	text, err := io.ReadAll(io.LimitReader(f, MaxSize+1))
	if err != nil {
		return nil, &FileError{path, "read", err}
	}
	return Decode(path, text, now)
}

// Write puts the snapshot in the file's place, whole or not at all.
func Write(path string, s *Snapshot) (err error) {
	for _, n := range s.Nodes { // JSON has no such numbers
		if f := n.Window + n.Latency + n.BestLatencyPerUnit + n.FailureRate + n.StartTime; math.IsNaN(f) || math.IsInf(f, 0) {
			return &FileError{path, "encode", fmt.Errorf("node %s: a figure is not a number", n.ID)}
		}
	}
	text, err := Encode(s)
	if err != nil {
		return &FileError{path, "encode", err}
	}
	// One name: a process that is killed while it writes leaves one behind, and not one at each kill.
	beside := filepath.Join(filepath.Dir(path), "."+filepath.Base(path)+".new")
	os.Remove(beside)
	f, err := os.OpenFile(beside, os.O_WRONLY|os.O_CREATE|os.O_EXCL, 0o600)
	if err != nil {
		return &FileError{path, "create", err}
	}
	defer func() {
		if err != nil {
			os.Remove(f.Name())
			err = &FileError{path, "write", err}
		}
	}()
	if _, err = f.Write(text); err == nil {
		err = f.Sync()
	}
	if e := f.Close(); err == nil {
		err = e
	}
	if err == nil {
		err = os.Rename(f.Name(), path)
	}
	return err
}
