package scattergather

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"wheatsaddle/gather"
	"wheatsaddle/internal/operr"
	"wheatsaddle/internal/testkit/rapidtest"
)

func TestMain(m *testing.M) { rapidtest.Main(m) }

const ms = time.Millisecond

// testingT are testing.T and rapid.T.
type testingT interface {
	Helper()
	Fatal(...any)
}

// rulesOf orders by n; more is put after.
func rulesOf(t testingT, memory int, more string) *gather.Rules {
	t.Helper()
	r, err := gather.ParseRules(fmt.Appendf(nil, `{"order":[{"key":"n","type":"integer"}],"records":{"max_bytes":64},"memory":{"bytes":%d}%s}`, memory, more))
	if err != nil {
		t.Fatal(err)
	}
	return r
}

func mergeRules(t testingT, need, more string) *gather.Rules {
	t.Helper()
	return rulesOf(t, 1024, fmt.Sprintf(`,"complete":{"need":%q}%s`, need, more))
}

// partRows is the rows of part i, which holds i, i+parts, i+2*parts, ... so the flat merge is 0, 1, 2, ...
func partRows(i, parts, rows int) (text []byte) {
	for k := range rows {
		text = fmt.Appendf(text, "{\"n\":%d}\n", i+k*parts)
	}
	return text
}

// flatMergeOf is the flat merge of such parts but some.
func flatMergeOf(parts, rows int, without []int) (all []string) {
	for k := range parts * rows {
		if !slices.Contains(without, k%parts) {
			all = append(all, fmt.Sprintf(`{"n":%d}`, k))
		}
	}
	return all
}

var errCut = errors.New("cut")

type simulatedAttempt struct {
	Attempt
	progress int           // -1 - the bytes taken, where the rest waits for room
	end      time.Duration // 0: silent
	fault    string
}

// simulate drives a Gather through a random world and says which invariant it broke.
func simulate(t *rapid.T, f fault) (broken string) {
	parts := rapid.IntRange(1, 5).Draw(t, "parts")
	rows := rapid.IntRange(0, 60).Draw(t, "rows")
	need := rapid.SampledFrom([]string{"all", "best-effort"}).Draw(t, "need")
	top := rapid.SampledFrom([]int{0, 0, 3, 40}).Draw(t, "top")
	r := Rules{Share: 0.25, AtOnce: rapid.IntRange(1, 4).Draw(t, "atOnce"), Again: rapid.IntRange(0, 2).Draw(t, "again"),
		Silent: rapid.SampledFrom([]time.Duration{0, 40 * ms}).Draw(t, "silent"), Safe: rapid.Bool().Draw(t, "safe")}
	cut := ""
	if top > 0 {
		cut = fmt.Sprintf(`,"truncate":{"top":%d}`, top)
	}
	r.Merge = mergeRules(t, need, cut)
	var all []gather.Part
	for i := range parts {
		all = append(all, gather.Part{ID: fmt.Sprint("p", i), Shard: i})
	}
	g, err := New(r, 400*ms, all)
	if err != nil {
		t.Fatal(err)
	}
	g.fault = f
	leave := time.Duration(rapid.SampledFrom([]int{0, 0, 0, 30, 150}).Draw(t, "leave")) * ms
	stall := time.Duration(rapid.SampledFrom([]int{1000, 1000, 0, 60}).Draw(t, "stall")) * ms // the client takes no more
	var outs []*simulatedAttempt
	refused := map[string]time.Duration{}
	asked, limited, free := map[string]int{}, map[string]int{}, map[string]int{}
	ran, bad := map[string]bool{}, map[string][]int{}
	var got []string
	var first *Final
	for now := time.Duration(0); ; now += 5 * ms {
		if leave > 0 && now >= leave {
			g.ClientDisconnected()
		}
		for range 10 { // as long as it asks to be called again
			for now < stall {
				row, ok := g.Next()
				if !ok {
					break
				}
				got = append(got, string(row))
			}
			wasFinal := first != nil
			for _, a := range g.Step(now) {
				id := a.Part.ID
				if a.Cancel {
					if i := slices.IndexFunc(outs, func(o *simulatedAttempt) bool { return o.Part.ID == id && o.Number == a.Number }); i >= 0 {
						ran[id] = true
						outs = slices.Delete(outs, i, i+1)
					}
					continue
				}
				busy := 0
				for _, o := range outs {
					if o.progress >= 0 {
						busy++
					}
				}
				switch {
				case wasFinal:
					return "S1"
				case busy >= r.AtOnce:
					return "S2"
				case now >= 300*ms || a.Deadline != 300*ms:
					return "S3"
				case ran[id] && !r.Safe:
					return "S4"
				case asked[id]-limited[id]-free[id] > r.Again:
					return "S5"
				case now < refused[id]:
					return "S6"
				}
				past := slices.Clone(bad[id])
				for _, o := range outs {
					if o.Part.ID == id {
						past = append(past, o.Number)
					}
				}
				slices.Sort(past)
				if slices.Reverse(past); !slices.Equal(past, a.AvoidNodesOf) {
					return fmt.Sprintf("S10: %v, not %v", a.AvoidNodesOf, past)
				}
				if !r.Safe && a.Rows != 0 {
					return "S4: may need more"
				}
				asked[id]++
				o := &simulatedAttempt{Attempt: a.Attempt, fault: rapid.SampledFrom([]string{"whole", "whole", "cut", "refused", "silent", "empty"}).Draw(t, "fate")}
				o.end = now + time.Duration(rapid.IntRange(1, 16).Draw(t, "after"))*5*ms
				outs = append(outs, o)
			}
			if x, ok := g.Final(); ok && first == nil {
				first = &x
				if len(outs) > 0 {
					return "S7"
				}
			}
			if g.WakeAt() > now {
				break
			}
		}
		if first != nil {
			for id := range asked { // what comes late changes nothing
				g.AttemptEnded(now, id, 1, nil)
			}
			if x, _ := g.Final(); x.Kind != first.Kind {
				return "S1: another final"
			}
			break
		}
		if now >= 400*ms {
			return "S9"
		}
		for _, o := range slices.Clone(outs) {
			if now < o.end || o.fault == "silent" {
				continue
			}
			text := partRows(o.Part.Shard, parts, rows)
			var end error
			switch {
			case o.fault == "cut":
				text, end = text[:len(text)*2/3], errCut
			case o.fault == "empty":
				text, end = nil, errCut
			case o.fault == "refused":
				text, end = nil, &Rejection{25 * ms}
			case o.Rows > 0 && o.Rows < rows:
				text, end = partRows(o.Part.Shard, parts, o.Rows), &gather.Limited{}
			}
			at := 0
			if o.progress < 0 {
				at = -1 - o.progress
			}
			n := g.Receive(now, o.Part.ID, o.Number, text[at:])
			if at += n; at < len(text) {
				o.progress = -1 - at // it waits for room
				continue
			}
			outs = slices.DeleteFunc(outs, func(x *simulatedAttempt) bool { return x == o })
			if o.fault == "refused" {
				wait := 25 * ms
				if k := free[o.Part.ID]; len(got) > 0 && k < maxUncountedRejections {
					wait = max(wait, minRejectionBackoff<<min(k, maxBackoffDoublings))
					free[o.Part.ID]++
				}
				refused[o.Part.ID] = now + wait
			} else {
				ran[o.Part.ID] = true
			}
			if errors.Is(end, errCut) || o.fault == "refused" {
				bad[o.Part.ID] = append(bad[o.Part.ID], o.Number)
			}
			if atLimit := (*gather.Limited)(nil); errors.As(end, &atLimit) {
				limited[o.Part.ID]++
			}
			g.AttemptEnded(now, o.Part.ID, o.Number, end)
		}
	}
	// S8: rows are those of the flat merge in order; what is absent is of a named part, or after the end.
	named := map[int]bool{}
	for _, p := range first.Result.Parts {
		named[p.Shard] = true
	}
	k, whole := 0, first.Kind == Served && first.Result.Whole
	most := parts * rows
	if top > 0 {
		most = min(most, top)
	}
	for _, row := range got {
		for ; row != fmt.Sprintf(`{"n":%d}`, k); k++ {
			if k >= parts*rows || !named[k%parts] {
				return "S8: " + row
			}
		}
		k++
	}
	if whole && len(got) != most {
		return fmt.Sprintf("S8: %d of %d", len(got), most)
	}
	if !whole && first.Kind == Served && len(named) == 0 {
		return "S8: not whole, nothing named"
	}
	return ""
}

// checkFaultsAreFound says that each fault is found by the invariant that it breaks.
func checkFaultsAreFound[F comparable](t *testing.T, play func(*rapid.T, F) string, faults map[F]string) {
	t.Helper()
	for f, want := range faults {
		gen, found := rapid.Custom(func(t *rapid.T) string { return play(t, f) }), map[string]int{}
		for seed := 0; seed < 3000 && found[want] == 0; seed++ {
			if b, _, _ := strings.Cut(gen.Example(seed), ":"); b != "" {
				found[b]++
			}
		}
		if found[want] == 0 {
			t.Errorf("fault %v: %s is not found lost: %v", f, want, found)
		}
	}
}

// checkInvariants says that a play breaks no invariant.
func checkInvariants[F any](t *testing.T, play func(*rapid.T, F) string) {
	t.Helper()
	var sound F
	rapid.Check(t, func(t *rapid.T) {
		if broken := play(t, sound); broken != "" {
			t.Fatal(broken)
		}
	})
}

func TestInvariants(t *testing.T) { checkInvariants(t, simulate) }

func TestInvariantsFindInjectedFaults(t *testing.T) {
	checkFaultsAreFound(t, simulate, map[fault]string{faultChangeFinal: "S1", faultIgnoreConcurrencyLimit: "S2", faultIgnorePartsDeadline: "S3", faultRetryNonIdempotent: "S4", faultIgnoreMaxRetries: "S5",
		faultIgnoreRetryAfter: "S6", faultNoCancel: "S7", faultHideLoss: "S8", faultIgnoreDeadline: "S9", faultNoAvoidedNodes: "S10"})
}

// Once rows have gone out, a part that is refused is asked until its time is over, each time after a longer wait.
func TestRejectedPartIsRetriedWithGrowingBackoffOnceRowsWereSent(t *testing.T) {
	g, err := New(Rules{Merge: mergeRules(t, "all", ""), AtOnce: 4}, time.Minute, []gather.Part{{ID: "a"}, {ID: "b", Shard: 1}})
	if err != nil {
		t.Fatal(err)
	}
	g.Step(0)
	g.Receive(0, "a", 1, partRows(0, 2, 3))
	g.Receive(0, "b", 1, partRows(1, 2, 1))
	if _, ok := g.Next(); !ok {
		t.Fatal("no row")
	}
	g.AttemptEnded(0, "b", 1, &Rejection{ms})
	now, last := time.Duration(0), time.Duration(0)
	for n := range maxUncountedRejections {
		g.Step(now)
		at := g.WakeAt()
		if at-now < last || at-now < minRejectionBackoff {
			t.Errorf("refusal %d: again after %v, before that %v", n, at-now, last)
		}
		last, now = at-now, at
		if acts := g.Step(now); len(acts) != 1 || acts[0].Part.ID != "b" || acts[0].Number != n+2 {
			t.Fatalf("refusal %d: %+v", n, acts)
		}
		g.AttemptEnded(now, "b", n+2, &Rejection{ms})
	}
	for g.Next(); ; g.Next() { // the last of them counted
		if g.Step(now); g.WakeAt() > now {
			break
		}
	}
	if f, ok := g.Final(); !ok || f.Kind != Short || f.Result.Whole {
		t.Errorf("%v %+v", ok, f)
	}
}

func TestRejectedPartBeforeAnyRowRejectsTheRead(t *testing.T) {
	g, err := New(Rules{Merge: mergeRules(t, "all", ""), AtOnce: 4}, time.Second, []gather.Part{{ID: "a"}, {ID: "b", Shard: 1}})
	if err != nil {
		t.Fatal(err)
	}
	g.Step(0)
	g.AttemptEnded(ms, "a", 1, &Rejection{70 * ms})
	g.Step(ms)
	g.Next()
	acts := g.Step(ms)
	f, ok := g.Final()
	if !ok || f.Kind != Refused || f.RetryAfter != 70*ms || len(acts) != 1 || !acts[0].Cancel || acts[0].Part.ID != "b" {
		t.Errorf("%v %+v %v", ok, f, acts)
	}
	all := []operr.Coded{&InvalidRules{}, &Rejection{}, &OutOfTime{}, &PartTooLong{}, &Failed{}}
	if err := operr.Check(all); err != nil {
		t.Error(err)
	}
	if _, err = New(Rules{Merge: g.rules.Merge}, time.Second, []gather.Part{{ID: "a"}}); !errors.As(err, new(*InvalidRules)) {
		t.Error(err)
	}
}
