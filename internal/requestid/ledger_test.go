package requestid

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"wheatsaddle/internal/memory"
	"wheatsaddle/internal/testkit/rapidtest"
)

func TestMain(m *testing.M) { rapidtest.Main(m) }

// For any order of claims, ends and time, an id is granted exactly if no open request owns it and no window lasts.
func TestIDHasOneOwner(t *testing.T) {
	type owner struct {
		open  bool
		until time.Duration
	}
	rapid.Check(t, func(t *rapid.T) {
		account := memory.NewAccount(1 << 20)
		l := NewLedger(account)
		model := map[string]owner{}
		now := time.Duration(0)
		for range rapid.IntRange(1, 80).Draw(t, "calls") {
			id := fmt.Sprint("id-", rapid.IntRange(0, 5).Draw(t, "id"))
			o, owned := model[id]
			switch rapid.IntRange(0, 3).Draw(t, "call") {
			case 0:
				free := !owned || !o.open && o.until <= now
				if owns := l.Owns(now, KeyOf(id)); owns == free {
					t.Fatalf("%s at %v: owned is %v, owner %+v", id, now, owns, o)
				}
				if granted := l.Claim(now, KeyOf(id)); granted != free {
					t.Fatalf("claim of %s at %v: granted is %v, owner %+v", id, now, granted, o)
				} else if granted {
					model[id] = owner{open: true}
				}
			case 1:
				if o.open {
					l.Release(KeyOf(id))
					delete(model, id)
				}
			case 2:
				if o.open {
					until := now + time.Duration(rapid.IntRange(-1, 10).Draw(t, "window"))
					l.Keep(now, KeyOf(id), until)
					model[id] = owner{until: until}
				}
			case 3:
				now += time.Duration(rapid.IntRange(0, 5).Draw(t, "time"))
			}
			if counts := l.Counts(); account.Used() != int64(counts.Owned)*entryBytes || counts.Evicted != 0 {
				t.Fatalf("%d bytes for %+v", account.Used(), counts)
			}
		}
		for id := range model {
			l.Release(KeyOf(id))
		}
		if l.Counts().Owned != 0 || account.Used() != 0 {
			t.Fatalf("%+v, %d bytes are left", l.Counts(), account.Used())
		}
	})
}

// Where the account has no memory, kept ids leave in the order in which their windows end, and those of open requests stay.
func TestKeptIDsAreEvictedWithinMemory(t *testing.T) {
	const room = 100
	account := memory.NewAccount(room * entryBytes * accountDivisor)
	l := NewLedger(account)
	for i := range 10 {
		l.Claim(0, KeyOf(fmt.Sprint("open-", i)))
	}
	for i := range 10 * room {
		key := KeyOf(fmt.Sprint("kept-", i))
		if !l.Claim(0, key) {
			t.Fatalf("id %d is owned", i)
		}
		l.Keep(0, key, time.Hour+time.Duration(i))
	}
	counts := l.Counts()
	if counts.Owned > room || counts.Evicted != int64(10*room+10-counts.Owned) || account.Used() > account.Size() {
		t.Errorf("%+v, %d of %d bytes", counts, account.Used(), account.Size())
	}
	if l.Claim(0, KeyOf("open-3")) || l.Claim(0, KeyOf(fmt.Sprint("kept-", 10*room-1))) || !l.Claim(0, KeyOf("kept-0")) {
		t.Error("the wrong ids were evicted")
	}
}
