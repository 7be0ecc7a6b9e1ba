package snapshot

import (
	"bytes"
	"os"
	"path/filepath"
	"reflect"
	"testing"
	"time"
)

// storedSnapshot returns the content of testdata/stored.bin.
func storedSnapshot() *Snapshot {
	return &Snapshot{Version: 1, Made: time.Date(2026, 12, 2, 1, 0, 0, 123456789, time.UTC),
		Nodes: []NodeState{
			{ID: "node-1", StartTime: 1764633600000.5, Window: 4.25, Latency: 33.1, BestLatencyPerUnit: 8.5, FailureRate: 0.01},
			{ID: "node-2 ü<&>", StartTime: 0, Window: 1e21, Latency: 1e-7, BestLatencyPerUnit: 0, FailureRate: 1},
		},
		Classes: []ClassState{{Name: "safe", Weight: 0.4, Slope: 12, Delay: 80}, {Name: "keyed", Weight: 1, Slope: -0.5, Delay: 0}}}
}

// A file that an earlier version of the program wrote can be read, and writing its content again gives the same bytes.
func TestStoredFileKeepsItsBytes(t *testing.T) {
	path := filepath.Join("testdata", "stored.bin")
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	got, err := Read(path, storedSnapshot().Made.Add(time.Minute))
	if err != nil || !reflect.DeepEqual(got, storedSnapshot()) {
		t.Fatalf("read %+v with the error %v, want the content of storedSnapshot", got, err)
	}
	rewritten := filepath.Join(t.TempDir(), "snapshot")
	if err := Write(rewritten, got); err != nil {
		t.Fatal(err)
	}
	if text, err := os.ReadFile(rewritten); err != nil || !bytes.Equal(text, want) {
		t.Errorf("written again: %q, want %q (%v)", text, want, err)
	}
}
