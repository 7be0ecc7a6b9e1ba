package requestid

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// testClock is a clock that the test sets.
type testClock struct{ now time.Duration }

func (c *testClock) read() time.Duration { return c.now }

// openTest opens a journal in a folder.
func openTest(t *testing.T, folder string, clock *testClock) *Journal {
	t.Helper()
	j, err := openJournal(folder, "127.0.0.1:80", clock.read)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = j.Close() })
	return j
}

// publish publishes an id and returns whether another process owns it.
func publish(t *testing.T, j *Journal, id string, window time.Duration) bool {
	t.Helper()
	owned, err := j.Publish(KeyOf(id), window, false)
	if err != nil {
		t.Fatal(err)
	}
	return owned
}

// Guards against an id that runs at both processes of a handover: each sees what the other owns, also before its own start and
// over the change of files, until the window ends or the request turns out never to have run.
func TestProcessesShareOwnedIDs(t *testing.T) {
	folder, clock := t.TempDir(), &testClock{time.Hour}
	older := openTest(t, folder, clock)
	if publish(t, older, "a", 10*time.Second) {
		t.Error("a new id is owned")
	}
	newer := openTest(t, folder, clock)
	if !newer.OthersActive() || !publish(t, newer, "a", time.Second) || publish(t, newer, "b", 10*time.Second) || !publish(t, older, "b", time.Second) {
		t.Error("the processes do not see each other's ids")
	}
	if err := newer.Free(KeyOf("b")); err != nil || publish(t, older, "b", time.Second) {
		t.Errorf("a freed id is owned, %v", err)
	}
	clock.now += 9 * time.Second
	if !publish(t, newer, "a", time.Second) {
		t.Error("an id is free before the end of its window")
	}
	clock.now += 2 * time.Second
	if publish(t, newer, "a", time.Second) {
		t.Error("an id is owned after the end of its window")
	}
	for i := range 10 {
		id := fmt.Sprint("c", i)
		if publish(t, older, id, 2*time.Second) || !publish(t, newer, id, 2*time.Second) {
			t.Errorf("id %s is not shared", id)
		}
		clock.now += fileSpan / 3
	}
	clock.now += 10 * fileSpan
	publish(t, older, "d", time.Second)
	if files, _ := filepath.Glob(filepath.Join(folder, "*")); len(files) != 1 {
		t.Errorf("old files are left: %v", files)
	}
}

// Guards against records that are lost behind one that a killed process has written in part, at any place and of any length.
func TestJournalSkipsTornRecords(t *testing.T) {
	dir := t.TempDir()
	run := 0
	rapid.Check(t, func(r *rapid.T) {
		run++
		folder, clock := filepath.Join(dir, fmt.Sprint(run)), &testClock{time.Hour}
		if err := os.Mkdir(folder, 0o700); err != nil {
			t.Fatal(err)
		}
		writer, reader := openTest(t, folder, clock), openTest(t, folder, clock)
		path := writer.prefix + fmt.Sprint(fileNumber(clock.now))
		for i := range rapid.IntRange(1, 8).Draw(r, "records") {
			id := fmt.Sprint("id", i)
			publish(t, writer, id, time.Minute)
			if rapid.Bool().Draw(r, "torn") {
				part := record{kind: recordOwned, key: KeyOf("torn"), until: clock.now + time.Minute, process: 1}.encode()
				appendTo(t, path, part[:rapid.IntRange(1, recordSize-1).Draw(r, "length")])
			}
			if rapid.Bool().Draw(r, "read") && !publish(t, reader, id, time.Minute) {
				r.Fatalf("%s is not seen", id)
			}
			publish(t, writer, id+"-next", time.Minute)
			if !publish(t, reader, id+"-next", time.Minute) {
				r.Fatalf("%s-next is not seen", id)
			}
		}
		if publish(t, reader, "torn", time.Second) {
			r.Fatal("a torn record counts")
		}
	})
}

func appendTo(t *testing.T, path string, b []byte) {
	t.Helper()
	f, err := os.OpenFile(path, os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = f.Close() }()
	if _, err := f.Write(b); err != nil {
		t.Fatal(err)
	}
}

// Guards against ids that other processes never learn because the folder failed for a while: they are written when it works again.
func TestJournalCatchesUpAfterFailedWrites(t *testing.T) {
	folder, clock := t.TempDir(), &testClock{time.Hour}
	writer, reader := openTest(t, folder, clock), openTest(t, folder, clock)
	publish(t, writer, "a", time.Minute)
	writable := writer.files[fileNumber(clock.now)].file
	broken, err := os.Open(writable.Name()) // without write access
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = broken.Close() }()
	writer.files[fileNumber(clock.now)].file = broken
	if _, err := writer.Publish(KeyOf("b"), time.Minute, false); err == nil {
		t.Fatal("the write has not failed")
	}
	if publish(t, reader, "b", time.Millisecond) {
		t.Error("an id that was not written is seen")
	}
	writer.files[fileNumber(clock.now)].file = writable
	publish(t, writer, "c", time.Minute)
	clock.now += time.Second
	if !publish(t, reader, "b", time.Second) || !publish(t, reader, "c", time.Second) {
		t.Error("the ids are not seen after the folder works again")
	}
}

// fillFile appends bytes to a file of the journal until it has size bytes.
func fillFile(t *testing.T, path string, size int64) {
	t.Helper()
	info, err := os.Stat(path)
	if err != nil {
		t.Fatal(err)
	}
	appendTo(t, path, make([]byte, size-info.Size()))
}

// Files are bounded, and requests that may be repeated leave room for those that may not.
func TestJournalFilesAreBounded(t *testing.T) {
	j := openTest(t, t.TempDir(), &testClock{time.Hour})
	publish(t, j, "a", time.Minute)
	path := j.files[fileNumber(j.clock())].file.Name()
	fillFile(t, path, maxRepeatableBytes)
	if _, err := j.Publish(KeyOf("b"), time.Minute, true); !errors.Is(err, errJournalFull) {
		t.Errorf("a request that may be repeated: error %v, want %v", err, errJournalFull)
	}
	publish(t, j, "c", time.Minute)
	fillFile(t, path, maxFileBytes)
	if _, err := j.Publish(KeyOf("d"), time.Minute, false); !errors.Is(err, errJournalFull) {
		t.Errorf("error %v, want %v", err, errJournalFull)
	}
}

// Guards against an id that others cannot see because its record was mixed with another one: it is written again.
func TestMixedRecordIsWrittenAgain(t *testing.T) {
	folder, clock := t.TempDir(), &testClock{time.Hour}
	writer, reader := openTest(t, folder, clock), openTest(t, folder, clock)
	publish(t, writer, "a", time.Minute)
	f := writer.files[fileNumber(clock.now)]
	own := f.file
	null, err := os.OpenFile(os.DevNull, os.O_RDWR, 0)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = null.Close() }()
	f.file = null // takes all writes, and nothing can be read
	if _, err := writer.Publish(KeyOf("b"), time.Minute, false); !errors.Is(err, errUnreadable) {
		t.Errorf("error %v, want %v", err, errUnreadable)
	}
	f.file = own
	if publish(t, writer, "b", time.Minute); !publish(t, reader, "b", time.Second) {
		t.Error("the id is not seen")
	}
}
