package snapshot

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"reflect"
	"testing"
	"time"

	"wheatsaddle/internal/operr"
)

var madeAt = time.Date(2026, 12, 2, 1, 0, 0, 0, time.UTC)

func testSnapshot(nodes int) *Snapshot {
	s := &Snapshot{Version: Version, Made: madeAt, Classes: []ClassState{{"safe", 0.4, 12, 80}}}
	for i := range nodes {
		s.Nodes = append(s.Nodes, NodeState{fmt.Sprint("node-", i), float64(i), 4, 33.25, 8.5, 0.01})
	}
	return s
}

// A truncated file, a file with any byte changed, one of another version and an outdated one are rejected with a code.
func TestTornForeignAndOldFilesAreRejected(t *testing.T) {
	data, err := Encode(testSnapshot(5))
	if err != nil {
		t.Fatal(err)
	}
	if s, err := Decode("x", data, madeAt.Add(time.Second)); err != nil || !reflect.DeepEqual(s, testSnapshot(5)) {
		t.Fatalf("decoded %+v with the error %v, want the encoded snapshot", s, err)
	}
	assertRejected := func(data []byte, now time.Time, description string, codes ...string) {
		t.Helper()
		_, err := Decode("x", data, now)
		var c operr.Coded
		if !errors.As(err, &c) {
			t.Fatalf("%s: not rejected with a code (%v)", description, err)
		}
		for _, code := range codes {
			if c.Code() == code {
				return
			}
		}
		t.Errorf("%s: rejected with the unexpected code %s", description, c.Code())
	}
	for i := range data {
		assertRejected(data[:i], madeAt, fmt.Sprint("a file truncated at byte ", i), "snapshot-torn")
		for _, flip := range []byte{1, 0x80, 0xff} {
			changed := append([]byte(nil), data...)
			changed[i] ^= flip
			assertRejected(changed, madeAt, fmt.Sprintf("byte %d changed by %x", i, flip), "snapshot-torn", "snapshot-foreign")
		}
	}
	assertRejected(append(data[:len(data):len(data)], 'x'), madeAt, "one additional byte", "snapshot-torn")
	assertRejected(data, madeAt.Add(MaxAge+1), "an outdated snapshot", "snapshot-old")
	assertRejected(data, madeAt.Add(-time.Minute), "a snapshot dated in the future", "snapshot-old")
	if err := operr.Check(operr.All()); err != nil {
		t.Error(err)
	}
}

// A failed write leaves the old file in place and no temporary file. Of a large snapshot only the first nodes are written, so that the
// file's size is bounded.
func TestFailedWriteKeepsTheOldFile(t *testing.T) {
	dir := t.TempDir()
	path := filepath.Join(dir, "learned")
	if _, err := Read(path, madeAt); !errors.Is(err, fs.ErrNotExist) {
		t.Error(err)
	}
	if err := Write(path, testSnapshot(20000)); err != nil {
		t.Fatal(err)
	}
	s, err := Read(path, madeAt)
	if err != nil || len(s.Nodes) < 1000 || s.Nodes[0].ID != "node-0" {
		t.Fatalf("the snapshot was not read again with its first nodes (error %v)", err)
	}
	if info, _ := os.Stat(path); info.Size() > MaxSize {
		t.Errorf("the file has %d bytes, over the maximum", info.Size())
	}
	zero := 0.0
	infinite := testSnapshot(3)
	infinite.Nodes[1].Latency = 1 / zero
	for _, err := range []error{Write(path, infinite), Write(filepath.Join(dir, "none", "learned"), testSnapshot(1)), Write(dir, testSnapshot(1))} {
		var c operr.Coded
		if !errors.As(err, &c) || c.Code() != "snapshot-failed" {
			t.Errorf("error of a failed write: %v, want the code snapshot-failed", err)
		}
	}
	if reread, err := Read(path, madeAt); err != nil || len(reread.Nodes) != len(s.Nodes) {
		t.Errorf("the old file was not kept: %v", err)
	}
	if all, _ := os.ReadDir(dir); len(all) != 1 {
		t.Errorf("files in the directory: %v, want one", all)
	}
	if _, err := Read(dir, madeAt); err == nil {
		t.Error("reading a directory succeeded")
	}
}
