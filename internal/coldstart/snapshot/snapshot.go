// Package snapshot stores what a scheduler process has learned in a file for its next start.
//
// Invariants:
//   - The file is either complete or absent: it is written under another name, synced and renamed.
//   - The file begins with this package's magic number and version, the length of its body and a checksum (xxhash). A
//     truncated file and a file with any byte changed are rejected.
//   - The file has at most MaxSize bytes.
//   - A snapshot that is older than MaxAge or dated in the future is rejected, since its node state is out of date.
//
// The package does not decide which parts of a snapshot are still valid: internal/coldstart leaves out restarted nodes.
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

// Bounds of a snapshot file.
const (
	Version = 1
	MaxSize = 256 << 10 // bytes
	MaxAge  = 5 * time.Minute
)

// maxClockStep is how far the clock may have been set back since the snapshot was made.
const maxClockStep = 2 * time.Second

var magic = [8]byte{'w', 's', 'l', 'e', 'a', 'r', 'n', Version}

// The header consists of the magic number with the version, the length of the body, and a checksum of both and of the body.
const (
	lengthOffset   = 8
	checksumOffset = lengthOffset + 4
	headerSize     = checksumOffset + 8
)

// Snapshot is what a process has learned.
type Snapshot struct {
	Version int          `json:"version"`
	Made    time.Time    `json:"made"`
	Nodes   []NodeState  `json:"nodes"` // the most used first
	Classes []ClassState `json:"classes"`
}

// NodeState is what was learned about a node since its start at StartTime.
type NodeState struct {
	ID                 string  `json:"id"`
	StartTime          float64 `json:"since_ms"`
	Window             float64 `json:"window"`
	Latency            float64 `json:"usual_ms"`
	BestLatencyPerUnit float64 `json:"best"`
	FailureRate        float64 `json:"failing"`
}

// ClassState is what was learned about one class of requests.
type ClassState struct {
	Name   string  `json:"name"`
	Weight float64 `json:"weight"`
	Slope  float64 `json:"slope"`
	Delay  float64 `json:"delay_ms"`
}

// UnusableError reports a snapshot that exists but must not be used.
type UnusableError struct {
	Path   string
	Reason string // torn (incomplete or damaged), foreign (not a snapshot of this version) or old (out of date or dated in the future)
	Detail string
}

func (e *UnusableError) Error() string {
	return fmt.Sprintf("snapshot %s: %s: %s", e.Path, e.Reason, e.Detail)
}

// Code implements operr.Coded.
func (e *UnusableError) Code() string { return "snapshot-" + e.Reason }

// Advice implements operr.Coded.
func (e *UnusableError) Advice() string {
	return "Nothing: the program starts without the snapshot and writes a new one. If this occurs at each start, find out which other program writes the file."
}

// FileError reports a snapshot that could not be read or written.
type FileError struct {
	Path, Operation string
	Err             error
}

func (e *FileError) Error() string {
	return fmt.Sprintf("snapshot %s: %s: %v", e.Path, e.Operation, e.Err)
}

// Unwrap returns the cause.
func (e *FileError) Unwrap() error { return e.Err }

// Code implements operr.Coded.
func (e *FileError) Code() string { return "snapshot-failed" }

// Advice implements operr.Coded.
func (e *FileError) Advice() string {
	return "Make sure that the directory of start.snapshot exists, belongs to the program's user and has space; the program runs without the snapshot."
}

func init() {
	operr.Register(&UnusableError{"x", "torn", "x"}, &UnusableError{"x", "foreign", "x"}, &UnusableError{"x", "old", "x"},
		&FileError{"x", "write", errors.New("x")})
}

// Encode returns the content of the file. If it exceeds MaxSize, the least used nodes are left out.
func Encode(s *Snapshot) ([]byte, error) {
	stored := *s
	stored.Version = Version
	for {
		body, err := json.Marshal(&stored)
		if err != nil {
			return nil, err
		}
		if headerSize+len(body) > MaxSize && len(stored.Nodes) > 0 {
			stored.Nodes = stored.Nodes[:len(stored.Nodes)*3/4]
			continue
		}
		encoded := append(make([]byte, 0, headerSize+len(body)), magic[:]...)
		encoded = binary.BigEndian.AppendUint32(encoded, uint32(len(body)))
		return append(binary.BigEndian.AppendUint64(encoded, checksum(encoded, body)), body...), nil
	}
}

func checksum(header, body []byte) uint64 {
	hash := xxhash.New()
	_, _ = hash.Write(header) // writing to a hash never fails
	_, _ = hash.Write(body)
	return hash.Sum64()
}

// Decode parses the content of a snapshot file and checks its age. The error is an *UnusableError that contains the path.
func Decode(path string, data []byte, now time.Time) (*Snapshot, error) {
	s, err := Parse(path, data)
	if err != nil {
		return nil, err
	}
	if age := now.Sub(s.Made); age > MaxAge || age < -maxClockStep {
		return nil, &UnusableError{path, "old", fmt.Sprintf("made %s before now", age.Round(time.Millisecond))}
	}
	return s, nil
}

// Parse parses a snapshot without checking its age. It is used for a snapshot that another process made on request.
func Parse(path string, data []byte) (*Snapshot, error) {
	n := min(len(data), len(magic))
	if !bytes.Equal(data[:n], magic[:n]) {
		return nil, &UnusableError{path, "foreign", fmt.Sprintf("does not start with the magic number of version %d", Version)}
	}
	if len(data) < headerSize || len(data) > MaxSize {
		return nil, &UnusableError{path, "torn", fmt.Sprintf("%d bytes", len(data))}
	}
	body := data[headerSize:]
	if length := binary.BigEndian.Uint32(data[lengthOffset:]); int64(length) != int64(len(body)) {
		return nil, &UnusableError{path, "torn", fmt.Sprintf("body of %d bytes, expected %d", len(body), length)}
	}
	if binary.BigEndian.Uint64(data[checksumOffset:]) != checksum(data[:checksumOffset], body) {
		return nil, &UnusableError{path, "torn", "checksum mismatch"}
	}
	s := &Snapshot{}
	if err := json.Unmarshal(body, s); err != nil || s.Version != Version {
		return nil, &UnusableError{path, "foreign", fmt.Sprintf("body has version %d, JSON error: %v", s.Version, err)}
	}
	return s, nil
}

// Read reads the file. If it does not exist, the error wraps fs.ErrNotExist.
func Read(path string, now time.Time) (*Snapshot, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, &FileError{path, "open", err}
	}
	defer func() { _ = f.Close() }() // closing a file that was only read loses no data
	if info, err := f.Stat(); err == nil && !info.Mode().IsRegular() {
		return nil, &FileError{path, "open", fmt.Errorf("not a regular file: %w", fs.ErrInvalid)}
	}
	data, err := io.ReadAll(io.LimitReader(f, MaxSize+1))
	if err != nil {
		return nil, &FileError{path, "read", err}
	}
	return Decode(path, data, now)
}

// Write replaces the file. If that fails, the old file remains.
func Write(path string, s *Snapshot) error {
	for _, n := range s.Nodes { // JSON cannot represent NaN and infinity
		if f := n.Window + n.Latency + n.BestLatencyPerUnit + n.FailureRate + n.StartTime; math.IsNaN(f) || math.IsInf(f, 0) {
			return &FileError{path, "encode", fmt.Errorf("node %s: a value is not a finite number", n.ID)}
		}
	}
	data, err := Encode(s)
	if err != nil {
		return &FileError{path, "encode", err}
	}
	// The name is always the same, so that killed processes leave at most one temporary file behind.
	tempPath := filepath.Join(filepath.Dir(path), "."+filepath.Base(path)+".new")
	_ = os.Remove(tempPath) // left behind by a killed process; O_EXCL would fail otherwise
	f, err := os.OpenFile(tempPath, os.O_WRONLY|os.O_CREATE|os.O_EXCL, 0o600)
	if err != nil {
		return &FileError{path, "create", err}
	}
	if err := replace(path, f, data); err != nil {
		_ = os.Remove(tempPath) // the write error is the one to report
		return &FileError{path, "write", err}
	}
	return nil
}

// replace writes, syncs and closes the file, and renames it to path.
func replace(path string, f *os.File, data []byte) error {
	_, err := f.Write(data)
	if err == nil {
		err = f.Sync()
	}
	if closeErr := f.Close(); err == nil {
		err = closeErr
	}
	if err == nil {
		err = os.Rename(f.Name(), path)
	}
	return err
}
