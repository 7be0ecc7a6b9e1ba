package memory

import (
	"strings"
	"testing"

	"pgregory.net/rapid"

	"wheatsaddle/internal/testkit/rapidtest"
)

func TestMain(m *testing.M) { rapidtest.Main(m) }

// For any order of calls, what is acquired is what was granted and not released, and no kind exceeds its share.
func TestAccountGrantsWithinItsSize(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		size := rapid.Int64Range(1, 1000).Draw(t, "size")
		a := NewAccount(size)
		shares := map[Kind]*Share{}
		held := map[Kind]int64{}
		for range rapid.IntRange(1, 40).Draw(t, "calls") {
			kind := Kind(rapid.IntRange(0, int(KindCount)-1).Draw(t, "kind"))
			if shares[kind] == nil {
				s := a.NewShare(kind)
				shares[kind] = &s
			}
			before := a.Used()
			switch rapid.IntRange(0, 2).Draw(t, "call") {
			case 0:
				want := rapid.Int64Range(0, 2*size).Draw(t, "bytes")
				hasRoom := want <= held[kind] || a.HasRoom(kind, want-held[kind])
				if granted := shares[kind].Grow(want); granted != hasRoom {
					t.Fatalf("%d bytes for %v, %d of %d used: granted is %v", want, kind, before, size, granted)
				} else if granted {
					held[kind] = max(held[kind], want)
				}
			case 1:
				shares[kind].Release()
				held[kind] = 0
			case 2:
				if before > size {
					t.Fatalf("%d of %d bytes are used", before, size)
				}
			}
			total := int64(0)
			for k, n := range held {
				total += n
				if a.InUse(k) != n {
					t.Fatalf("%v uses %d bytes, want %d", k, a.InUse(k), n)
				}
			}
			if a.Used() != total {
				t.Fatalf("%d bytes are used, want %d", a.Used(), total)
			}
		}
	})
}

// The parts of a budget stay within the limit, and a limit that is too low still gives a process that runs.
func TestBudgetStaysWithinLimit(t *testing.T) {
	const mapped = 20_000_000
	for _, limitMB := range []int{1, 16, 64, 128, 192, 4096} {
		b := NewBudget(limitMB, mapped)
		if b.Account < minAccount || b.CollectorLimit < minCollectorLimit || b.Account > b.CollectorLimit {
			t.Errorf("limit %d MB: %+v", limitMB, b)
		}
		if limitMB >= 64 && (b.CollectorLimit+mapped+systemBytes > int64(limitMB)*bytesPerMB || b.Account+runtimeBytes > b.CollectorLimit*9/10) {
			t.Errorf("limit %d MB: %+v leaves no room", limitMB, b)
		}
	}
	for _, bytes := range []int64{MinShare, 20_000_000, 150_000_000} {
		b := NewSharedBudget(bytes)
		if b.CollectorLimit >= bytes || BytesFor(b.Account) > bytes+1 {
			t.Errorf("%d bytes beside another process: %+v", bytes, b)
		}
	}
	maps := "00400000-00500000 r-xp 00000000 08:01 1 /bin/x\n00500000-00600000 rw-p 00100000 08:01 1 /bin/x\n" +
		"7f0000000000-7f0000010000 r--p 00000000 08:01 2 /lib/libc.so\n7f0000020000-7f0000030000 rw-p 00000000 00:00 0 \n7ffc0000-7ffd0000 r-xp 00000000 00:00 0 [vdso]\n"
	if got := MappedFiles(strings.NewReader(maps)); got != 1<<20+1<<16 {
		t.Errorf("%d bytes of mapped files", got)
	}
	var none *Account
	if !none.TryAcquire(Request, 1<<40) || !none.HasRoom(Request, 1<<40) || none.Used() != 0 {
		t.Error("a nil account has a limit")
	}
}
