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

var testMade = time.Date(2026, 12, 2, 1, 0, 0, 0, time.UTC)

func testSnapshot(nodes int) *Snapshot {
	s := &Snapshot{Version: Version, Made: testMade, Classes: []ClassState{{"safe", 0.4, 12, 80}}}
	for i := range nodes {
		s.Nodes = append(s.Nodes, NodeState{fmt.Sprint("node-", i), float64(i), 4, 33.25, 8.5, 0.01})
	}
	return s
}

// Any prefix and any changed byte is rejected, with a code; so is another version, and an old file.
func TestTornForeignAndOldFilesAreRejected(t *testing.T) {
	data, err := Encode(testSnapshot(5))
	if err != nil {
		t.Fatal(err)
	}
	if s, err := Decode("x", data, testMade.Add(time.Second)); err != nil || !reflect.DeepEqual(s, testSnapshot(5)) {
		t.Fatalf("%+v, %v", s, err)
	}
	checkRejected := func(data []byte, now time.Time, what string, codes ...string) {
		t.Helper()
		_, err := Decode("x", data, now)
		var c operr.Coded
		if !errors.As(err, &c) {
			t.Fatalf("%s: accepted (%v)", what, err)
		}
		for _, code := range codes {
			if c.Code() == code {
				return
			}
		}
		t.Errorf("%s: %s", what, c.Code())
	}
	for i := range data {
		checkRejected(data[:i], testMade, fmt.Sprint("a prefix of ", i), "snapshot-torn")
		for _, flip := range []byte{1, 0x80, 0xff} {
			changed := append([]byte(nil), data...)
			changed[i] ^= flip
			checkRejected(changed, testMade, fmt.Sprintf("byte %d changed by %x", i, flip), "snapshot-torn", "snapshot-foreign")
		}
	}
	checkRejected(append(data[:len(data):len(data)], 'x'), testMade, "a byte more", "snapshot-torn")
	checkRejected(data, testMade.Add(MaxAge+1), "an old one", "snapshot-old")
	checkRejected(data, testMade.Add(-time.Minute), "one of the future", "snapshot-old")
	if err := operr.Check(operr.All()); err != nil {
		t.Error(err)
	}
}

// A write that fails leaves the old file and no other. The file's size is bounded.
func TestFailedWriteKeepsTheOldFile(t *testing.T) {
	dir := t.TempDir()
	path := filepath.Join(dir, "learned")
	if _, err := Read(path, testMade); !errors.Is(err, fs.ErrNotExist) {
		t.Error(err)
	}
	if err := Write(path, testSnapshot(20000)); err != nil {
		t.Fatal(err)
	}
	s, err := Read(path, testMade)
	if err != nil || len(s.Nodes) < 1000 || s.Nodes[0].ID != "node-0" {
		t.Fatalf("%v", err)
	}
	if st, _ := os.Stat(path); st.Size() > MaxSize {
		t.Errorf("%d bytes", st.Size())
	}
	zero := 0.0
	infinite := testSnapshot(3)
	infinite.Nodes[1].Latency = 1 / zero
	for _, err := range []error{Write(path, infinite), Write(filepath.Join(dir, "none", "learned"), testSnapshot(1)), Write(dir, testSnapshot(1))} {
		var c operr.Coded
		if !errors.As(err, &c) || c.Code() != "snapshot-failed" {
			t.Errorf("%v", err)
		}
	}
	if s2, err := Read(path, testMade); err != nil || len(s2.Nodes) != len(s.Nodes) {
		t.Errorf("the old file is gone: %v", err)
	}
	if all, _ := os.ReadDir(dir); len(all) != 1 {
		t.Errorf("left behind: %v", all)
	}
	if _, err := Read(dir, testMade); err == nil {
		t.Error("a folder was read")
	}
}
