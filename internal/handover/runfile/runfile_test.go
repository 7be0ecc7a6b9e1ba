package runfile

import (
	"os"
	"reflect"
	"testing"
	"time"

	"wheatsaddle/policy"
)

// newFile returns a file whose clock is set.
func newFile(t *testing.T, folder string, now *time.Duration) *File {
	t.Helper()
	f, err := New(folder, "127.0.0.1:80")
	if err != nil {
		t.Fatal(err)
	}
	f.clock = func() time.Duration { return *now }
	return f
}

// The next process gets the runs with their ages, without those whose repeats come no more.
func TestRunsReachTheNextProcess(t *testing.T) {
	folder, now := t.TempDir(), time.Hour
	f := newFile(t, folder, &now)
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
	runs, err := newFile(t, folder, &now).Read()
	kept.Age, kept.KeepFor = 820, 480 // with the difference between the clocks
	if err != nil || !reflect.DeepEqual(runs, []policy.EarlierRun{kept}) {
		t.Errorf("read %+v, %v", runs, err)
	}
	if entries, err := os.ReadDir(folder); err != nil || len(entries) != 1 {
		t.Errorf("%d files, %v", len(entries), err)
	}
}

// A file that cannot be read, or is of another time, is reported and adds nothing.
func TestUnusableFileIsReported(t *testing.T) {
	folder, now := t.TempDir(), time.Hour
	f := newFile(t, folder, &now)
	if err := f.Write([]policy.EarlierRun{{Key: "k", KeepFor: 1e9}}); err != nil {
		t.Fatal(err)
	}
	now -= time.Minute
	if runs, err := f.Read(); runs != nil || err == nil {
		t.Errorf("a file of the future: %v, %v", runs, err)
	}
	if err := os.WriteFile(f.path, []byte(`{"runs":[`), 0o600); err != nil {
		t.Fatal(err)
	}
	if runs, err := f.Read(); runs != nil || err == nil {
		t.Errorf("an incomplete file: %v, %v", runs, err)
	}
	if err := newFile(t, folder+"/none", &now).Write(nil); err == nil {
		t.Error("written to a folder that does not exist")
	}
}
