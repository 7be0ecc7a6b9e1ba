package runfile

import (
	"os"
	"reflect"
	"testing"
	"time"

	"wheatsaddle/internal/taskset"
	"wheatsaddle/policy"
)

// newRuns returns a file whose clock is set.
func newRuns(t *testing.T, folder string, now *time.Duration) *Runs {
	t.Helper()
	r, err := NewRuns(folder, "127.0.0.1:80")
	if err != nil {
		t.Fatal(err)
	}
	r.file.clock = func() time.Duration { return *now }
	return r
}

// The next process gets the runs with their ages, without those whose repeats come no more.
func TestRunsReachTheNextProcess(t *testing.T) {
	folder, now := t.TempDir(), time.Hour
	f := newRuns(t, folder, &now)
	if runs, err := f.Read(); runs != nil || err != nil {
		t.Fatalf("no file: %v, %v", runs, err)
	}
	node := policy.Node{ID: "n", Zone: "z", Shard: 3}
	kept := policy.EarlierRun{Class: "c", Volume: "v", Key: "k\x00\"", Node: node, Age: 300, KeepFor: 1000}
	expired := policy.EarlierRun{Class: "c", Volume: "v", Key: "j", Node: node, Age: 300, KeepFor: 400}
	for range 2 { // the second write replaces the file
		if err := f.Write([]policy.EarlierRun{kept, expired}); err != nil {
			t.Fatal(err)
		}
	}
	now += 500 * time.Millisecond
	runs, err := newRuns(t, folder, &now).Read()
	kept.Age, kept.KeepFor = 820, 480 // with the difference between the clocks
	if err != nil || !reflect.DeepEqual(runs, []policy.EarlierRun{kept}) {
		t.Errorf("read %+v, %v", runs, err)
	}
	if entries, err := os.ReadDir(folder); err != nil || len(entries) != 1 {
		t.Errorf("%d files, %v", len(entries), err)
	}
}

// The next process gets the writes that may still run, of which none is dropped too early.
func TestWritesReachTheNextProcess(t *testing.T) {
	folder, now := t.TempDir(), time.Hour
	w, err := NewWrites(folder, "127.0.0.1:3260")
	if err != nil {
		t.Fatal(err)
	}
	w.file.clock = func() time.Duration { return now }
	kept := taskset.FormerWrites{Initiator: "i", Target: "t", LUN: 3, Remaining: 500 * time.Millisecond}
	expired := taskset.FormerWrites{Initiator: "j", Target: "t", AnyLUN: true, Remaining: 480 * time.Millisecond}
	if err := w.Write([]taskset.FormerWrites{kept, expired}); err != nil {
		t.Fatal(err)
	}
	now += 500 * time.Millisecond
	kept.Remaining = clockDifference
	if writes, err := w.Read(); err != nil || !reflect.DeepEqual(writes, []taskset.FormerWrites{kept}) {
		t.Errorf("read %+v, %v", writes, err)
	}
}

// A file that cannot be read, or is of another time, is reported and adds nothing.
func TestUnusableFileIsReported(t *testing.T) {
	folder, now := t.TempDir(), time.Hour
	f := newRuns(t, folder, &now)
	if err := f.Write([]policy.EarlierRun{{Key: "k", KeepFor: 1e9}}); err != nil {
		t.Fatal(err)
	}
	now -= time.Minute
	if runs, err := f.Read(); runs != nil || err == nil {
		t.Errorf("a file of the future: %v, %v", runs, err)
	}
	if err := os.WriteFile(f.file.path, []byte(`{"contents":[`), 0o600); err != nil {
		t.Fatal(err)
	}
	if runs, err := f.Read(); runs != nil || err == nil {
		t.Errorf("an incomplete file: %v, %v", runs, err)
	}
	if err := newRuns(t, folder+"/none", &now).Write(nil); err == nil {
		t.Error("written to a folder that does not exist")
	}
}
