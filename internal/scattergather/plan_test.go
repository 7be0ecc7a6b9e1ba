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

// tests are testing.T and rapid.T.
type tests interface {
	Helper()
	Fatal(...any)
}

// rulesOf orders by n; more is put after.
func rulesOf(t tests, memory int, more string) *gather.Rules {
	t.Helper()
	r, err := gather.ParseRules(fmt.Appendf(nil, `{"order":[{"key":"n","type":"integer"}],"records":{"max_bytes":64},"memory":{"bytes":%d}%s}`, memory, more))
	if err != nil {
		t.Fatal(err)
	}
	return r
}

func mergeRules(t tests, need, more string) *gather.Rules {
	t.Helper()
	return rulesOf(t, 1024, fmt.Sprintf(`,"complete":{"need":%q}%s`, need, more))
}

// body is the rows of part i, which holds i, i+parts, i+2*parts, ... so the flat merge is 0, 1, 2, ...
func body(i, parts, rows int) (text []byte) {
	for k := range rows {
		text = fmt.Appendf(text, "{\"n\":%d}\n", i+k*parts)
	}
	return text
}

// flatOf is the flat merge of such parts but some.
func flatOf(parts, rows int, without []int) (all []string) {
	for k := range parts * rows {
		if !slices.Contains(without, k%parts) {
			all = append(all, fmt.Sprintf(`{"n":%d}`, k))
		}
	}
	return all
}

var errCut = errors.New("cut")

type out struct {
	Ask
	sent int           // -1 - the bytes taken, where the rest waits for room
	end  time.Duration // 0: silent
	fate string
}

// play drives a Gather through a random world and says which invariant it broke.
func play(t *rapid.T, f fault) (broken string) {
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
	var outs []*out
	refused := map[string]time.Duration{}
	asked, limited, free := map[string]int{}, map[string]int{}, map[string]int{}
	ran, bad := map[string]bool{}, map[string][]int{}
	var got []string
	var first *Final
	for now := time.Duration(0); ; now += 5 * ms {
		if leave > 0 && now >= leave {
			g.Leave()
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
				if a.Off {
					if i := slices.IndexFunc(outs, func(o *out) bool { return o.Part.ID == id && o.Copy == a.Copy }); i >= 0 {
						ran[id] = true
						outs = slices.Delete(outs, i, i+1)
					}
					continue
				}
				busy := 0
				for _, o := range outs {
					if o.sent >= 0 {
						busy++
					}
				}
				switch {
				case wasFinal:
					return "S1"
				case busy >= r.AtOnce:
					return "S2"
				case now >= 300*ms || a.Until != 300*ms:
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
						past = append(past, o.Copy)
					}
				}
				slices.Sort(past)
				if slices.Reverse(past); !slices.Equal(past, a.Past) {
					return fmt.Sprintf("S10: %v, not %v", a.Past, past)
				}
				if !r.Safe && a.Rows != 0 {
					return "S4: may need more"
				}
				asked[id]++
				o := &out{Ask: a.Ask, fate: rapid.SampledFrom([]string{"whole", "whole", "cut", "refused", "silent", "empty"}).Draw(t, "fate")}
				o.end = now + time.Duration(rapid.IntRange(1, 16).Draw(t, "after"))*5*ms
				outs = append(outs, o)
			}
			if x, ok := g.Final(); ok && first == nil {
				first = &x
				if len(outs) > 0 {
					return "S7"
				}
			}
			if g.Wake() > now {
				break
			}
		}
		if first != nil {
			for id := range asked { // what comes late changes nothing
				g.Ended(now, id, 1, nil)
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
			if now < o.end || o.fate == "silent" {
				continue
			}
			text := body(o.Part.Shard, parts, rows)
			var end error
			switch {
			case o.fate == "cut":
				text, end = text[:len(text)*2/3], errCut
			case o.fate == "empty":
				text, end = nil, errCut
			case o.fate == "refused":
				text, end = nil, &Refusal{25 * ms}
			case o.Rows > 0 && o.Rows < rows:
				text, end = body(o.Part.Shard, parts, o.Rows), &gather.Limited{}
			}
			at := 0
			if o.sent < 0 {
				at = -1 - o.sent
			}
			n := g.Take(now, o.Part.ID, o.Copy, text[at:])
			if at += n; at < len(text) {
				o.sent = -1 - at // it waits for room
				continue
			}
			outs = slices.DeleteFunc(outs, func(x *out) bool { return x == o })
			if o.fate == "refused" {
				wait := 25 * ms
				if k := free[o.Part.ID]; len(got) > 0 && k < refusedMost {
					wait = max(wait, refusedLeast<<min(k, refusedGrows))
					free[o.Part.ID]++
				}
				refused[o.Part.ID] = now + wait
			} else {
				ran[o.Part.ID] = true
			}
			if errors.Is(end, errCut) || o.fate == "refused" {
				bad[o.Part.ID] = append(bad[o.Part.ID], o.Copy)
			}
			if atLimit := (*gather.Limited)(nil); errors.As(end, &atLimit) {
				limited[o.Part.ID]++
			}
			g.Ended(now, o.Part.ID, o.Copy, end)
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

// finds says that each fault is found by the invariant that it breaks.
func finds[F comparable](t *testing.T, play func(*rapid.T, F) string, faults map[F]string) {
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

// holds says that a play breaks no invariant.
func holds[F any](t *testing.T, play func(*rapid.T, F) string) {
	t.Helper()
	var sound F
	rapid.Check(t, func(t *rapid.T) {
		if broken := play(t, sound); broken != "" {
			t.Fatal(broken)
		}
	})
}

func TestInvariants(t *testing.T) { holds(t, play) }

func TestMutationsAreFound(t *testing.T) {
	finds(t, play, map[fault]string{faultEnd: "S1", faultAtOnce: "S2", faultTime: "S3", faultUnsafe: "S4", faultAgain: "S5",
		faultRetry: "S6", faultOff: "S7", faultDrop: "S8", faultFinal: "S9", faultPast: "S10"})
}

// Once rows have gone out, a part that is refused is asked until its time is over, each time after a longer wait.
func TestRefusedAfterRows(t *testing.T) {
	g, err := New(Rules{Merge: mergeRules(t, "all", ""), AtOnce: 4}, time.Minute, []gather.Part{{ID: "a"}, {ID: "b", Shard: 1}})
	if err != nil {
		t.Fatal(err)
	}
	g.Step(0)
	g.Take(0, "a", 1, body(0, 2, 3))
	g.Take(0, "b", 1, body(1, 2, 1))
	if _, ok := g.Next(); !ok {
		t.Fatal("no row")
	}
	g.Ended(0, "b", 1, &Refusal{ms})
	now, last := time.Duration(0), time.Duration(0)
	for n := range refusedMost {
		g.Step(now)
		at := g.Wake()
		if at-now < last || at-now < refusedLeast {
			t.Errorf("refusal %d: again after %v, before that %v", n, at-now, last)
		}
		last, now = at-now, at
		if acts := g.Step(now); len(acts) != 1 || acts[0].Part.ID != "b" || acts[0].Copy != n+2 {
			t.Fatalf("refusal %d: %+v", n, acts)
		}
		g.Ended(now, "b", n+2, &Refusal{ms})
	}
	for g.Next(); ; g.Next() { // the last of them counted
		if g.Step(now); g.Wake() > now {
			break
		}
	}
	if f, ok := g.Final(); !ok || f.Kind != Short || f.Result.Whole {
		t.Errorf("%v %+v", ok, f)
	}
}

func TestRefusedAtOnce(t *testing.T) {
	g, err := New(Rules{Merge: mergeRules(t, "all", ""), AtOnce: 4}, time.Second, []gather.Part{{ID: "a"}, {ID: "b", Shard: 1}})
	if err != nil {
		t.Fatal(err)
	}
	g.Step(0)
	g.Ended(ms, "a", 1, &Refusal{70 * ms})
	g.Step(ms)
	g.Next()
	acts := g.Step(ms)
	f, ok := g.Final()
	if !ok || f.Kind != Refused || f.RetryAfter != 70*ms || len(acts) != 1 || !acts[0].Off || acts[0].Part.ID != "b" {
		t.Errorf("%v %+v %v", ok, f, acts)
	}
	all := []operr.Coded{&RulesBad{}, &Refusal{}, &OutOfTime{}, &PartLong{}, &Failed{}}
	if err := operr.Check(all); err != nil {
		t.Error(err)
	}
	if _, err = New(Rules{Merge: g.r.Merge}, time.Second, []gather.Part{{ID: "a"}}); !errors.As(err, new(*RulesBad)) {
		t.Error(err)
	}
}
