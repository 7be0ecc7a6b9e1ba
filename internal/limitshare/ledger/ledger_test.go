package ledger

import (
	"errors"
	"os"
	"path/filepath"
	"reflect"
	"testing"
	"time"

	"wheatsaddle/internal/limitshare"
)

// open opens a ledger as one more process would: locks belong to the open file.
func open(t *testing.T, path string) *Ledger {
	t.Helper()
	l, err := Open(path)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(l.Close)
	return l
}

// claimOf returns a claim that differs by n.
func claimOf(n int64) limitshare.Claim {
	return limitshare.Claim{Amount: limitshare.Amount{Memory: n, Sockets: n + 1}, Phase: limitshare.Serving}
}

// update records a claim and returns the table.
func update(t *testing.T, l *Ledger, loadedAt time.Duration, limit limitshare.Amount, claim limitshare.Claim) (table Table) {
	t.Helper()
	updated, err := l.Update(limit, loadedAt, func(read Table) limitshare.Claim { table = read; return claim })
	if err != nil || !updated {
		t.Fatalf("updated %v, error %v", updated, err)
	}
	return table
}

// The claims of running processes count, and those of ended processes do not, also when another process takes the slot.
func TestOnlyClaimsOfRunningProcessesCount(t *testing.T) {
	path, limit := Path(t.TempDir(), "127.0.0.1:1"), limitshare.Amount{Memory: 100, Sockets: 10}
	first, second := open(t, path), open(t, path)
	update(t, first, 1, limit, claimOf(7))
	if got := update(t, second, 1, limit, claimOf(8)); !reflect.DeepEqual(got.Others, []limitshare.Claim{claimOf(7)}) {
		t.Errorf("beside a running process: %+v", got)
	}
	first.Close()
	if got := update(t, second, 1, limit, claimOf(8)); len(got.Others) != 0 {
		t.Errorf("after its end: %+v", got)
	}
	third := open(t, path) // takes the first slot
	if got := update(t, second, 1, limit, claimOf(8)); len(got.Others) != 0 {
		t.Errorf("beside a process that has recorded nothing: %+v", got)
	}
	if got := update(t, third, 1, limit, claimOf(9)); !reflect.DeepEqual(got.Others, []limitshare.Claim{claimOf(8)}) {
		t.Errorf("in a slot that was taken over: %+v", got)
	}
}

// The limit that was loaded last counts for all processes, whichever of them updates. One from before a restart of the machine does not.
func TestNewestLimitCounts(t *testing.T) {
	path := Path(t.TempDir(), "127.0.0.1:1")
	first, second := open(t, path), open(t, path)
	earlier, later := limitshare.Amount{Memory: 100, Sockets: 10}, limitshare.Amount{Memory: 50, Sockets: 5}
	update(t, first, 1, earlier, claimOf(1))
	for _, l := range []*Ledger{second, first} {
		loadedAt, limit := time.Duration(2), later
		if l == first {
			loadedAt, limit = 1, earlier
		}
		if got := update(t, l, loadedAt, limit, claimOf(1)); got.Limit != later || got.LoadedAt != 2 {
			t.Errorf("table %+v, want the later limit", got)
		}
	}
	update(t, first, Now()+time.Hour, earlier, claimOf(1))
	if got := update(t, second, 2, later, claimOf(1)); got.Limit != later {
		t.Errorf("a limit from the future counts: %+v", got)
	}
}

// While another process uses the file, or is stopped in the middle of an update, an update is refused at once and a process can start.
func TestUpdateDoesNotWait(t *testing.T) {
	path := Path(t.TempDir(), "127.0.0.1:1")
	stopped := open(t, path)
	if locked, err := stopped.lock(0); !locked || err != nil {
		t.Fatal(locked, err)
	}
	l := open(t, path)
	updated, err := l.Update(limitshare.Amount{}, 1, func(Table) limitshare.Claim { t.Error("decided"); return limitshare.Claim{} })
	if updated || err != nil {
		t.Errorf("updated %v, error %v", updated, err)
	}
	stopped.unlockHeader()
	update(t, l, 1, limitshare.Amount{}, claimOf(1))
}

// A file that was removed or replaced is not current. Errors have a code and name the path; a file with other content is overwritten.
func TestOtherFiles(t *testing.T) {
	path := Path(t.TempDir(), "127.0.0.1:1")
	if err := os.WriteFile(path, []byte("something else that is longer than a record of the ledger, and not one"), 0o600); err != nil {
		t.Fatal(err)
	}
	l := open(t, path)
	limit := limitshare.Amount{Memory: 3, Sockets: 4}
	if got := update(t, l, 1, limit, claimOf(1)); got.Limit != limit || !l.IsCurrent() {
		t.Errorf("table %+v", got)
	}
	if err := os.Remove(path); err != nil || l.IsCurrent() {
		t.Errorf("a removed file is current (%v)", err)
	}
	open(t, path)
	if l.IsCurrent() {
		t.Error("a replaced file is current")
	}
	var sharing *SharingError
	if _, err := Open(filepath.Join(t.TempDir(), "none", "x")); !errors.As(err, &sharing) || !errors.Is(err, os.ErrNotExist) {
		t.Errorf("error %v", err)
	}
	var all []*Ledger
	full := Path(t.TempDir(), "127.0.0.1:1")
	for range slotCount {
		all = append(all, open(t, full))
	}
	if _, err := Open(full); !errors.Is(err, errNoSlot) {
		t.Errorf("error %v beside %d processes", err, len(all))
	}
}
