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

// testingT is implemented by testing.T and rapid.T.
type testingT interface {
	Helper()
	Fatal(...any)
}

// rulesOf returns rules that order by n; extra is appended to their JSON text.
func rulesOf(t testingT, memory int, extra string) *gather.Rules {
	t.Helper()
	r, err := gather.ParseRules(fmt.Appendf(nil, `{"order":[{"key":"n","type":"integer"}],"records":{"max_bytes":64},"memory":{"bytes":%d}%s}`, memory, extra))
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// mergeRules returns rules with 1 KiB of memory; need is their rule of complete parts, and extra is as in rulesOf.
func mergeRules(t testingT, need, extra string) *gather.Rules {
	t.Helper()
	return rulesOf(t, 1024, fmt.Sprintf(`,"complete":{"need":%q}%s`, need, extra))
}

// partRows returns the rows of part i, which are i, i+parts, i+2*parts, ..., so that the flat merge is 0, 1, 2, ...
func partRows(i, parts, rows int) (text []byte) {
	for k := range rows {
		text = fmt.Appendf(text, "{\"n\":%d}\n", i+k*parts)
	}
	return text
}

// flatMergeOf returns the flat merge of the rows that partRows gives each part, without some parts.
func flatMergeOf(parts, rows int, without []int) (all []string) {
	for k := range parts * rows {
		if !slices.Contains(without, k%parts) {
			all = append(all, fmt.Sprintf(`{"n":%d}`, k))
		}
	}
	return all
}

var errTruncated = errors.New("truncated")

type simulatedAttempt struct {
	Attempt
	progress int           // -1 - the consumed bytes, if the rest waits for memory of the merge
	end      time.Duration // when it ends, unless it is silent
	fault    string
}

// simulate drives a Gather through a random simulation and returns the invariant that it broke, numbered as in gather.go.
func simulate(t *rapid.T, injected fault) (broken string) {
	parts := rapid.IntRange(1, 5).Draw(t, "parts")
	rows := rapid.IntRange(0, 60).Draw(t, "rows")
	need := rapid.SampledFrom([]string{"all", "best-effort"}).Draw(t, "need")
	top := rapid.SampledFrom([]int{0, 0, 3, 40}).Draw(t, "top")
	r := Rules{MergeTimeShare: 0.25, MaxConcurrentParts: rapid.IntRange(1, 4).Draw(t, "concurrent parts"), MaxRetries: rapid.IntRange(0, 2).Draw(t, "retries"),
		SilenceTimeout: rapid.SampledFrom([]time.Duration{0, 40 * ms}).Draw(t, "silence timeout"), Idempotent: rapid.Bool().Draw(t, "idempotent")}
	truncate := ""
	if top > 0 {
		truncate = fmt.Sprintf(`,"truncate":{"top":%d}`, top)
	}
	r.Merge = mergeRules(t, need, truncate)
	var all []gather.Part
	for i := range parts {
		all = append(all, gather.Part{ID: fmt.Sprint("p", i), Shard: i})
	}
	g, err := New(r, 400*ms, all)
	if err != nil {
		t.Fatal(err)
	}
	g.fault = injected
	disconnectAt := time.Duration(rapid.SampledFrom([]int{0, 0, 0, 30, 150}).Draw(t, "disconnect at")) * ms
	stallAt := time.Duration(rapid.SampledFrom([]int{1000, 1000, 0, 60}).Draw(t, "stall at")) * ms // the client reads no more rows
	var inFlight []*simulatedAttempt
	notBefore := map[string]time.Duration{}
	attempts, limitedAttempts, uncountedRejections := map[string]int{}, map[string]int{}, map[string]int{}
	mayHaveRun, failed := map[string]bool{}, map[string][]int{}
	var got []string
	var final *Final
	for now := time.Duration(0); ; now += 5 * ms {
		if disconnectAt > 0 && now >= disconnectAt {
			g.ClientDisconnected()
		}
		for range 10 { // until Step need not be called again at this time
			for now < stallAt {
				row, ok := g.Next()
				if !ok {
					break
				}
				got = append(got, string(row))
			}
			wasFinal := final != nil
			for _, a := range g.Step(now) {
				id := a.Part.ID
				if a.Cancel {
					if i := slices.IndexFunc(inFlight, func(o *simulatedAttempt) bool { return o.Part.ID == id && o.Number == a.Number }); i >= 0 {
						mayHaveRun[id] = true
						inFlight = slices.Delete(inFlight, i, i+1)
					}
					continue
				}
				active := 0
				for _, o := range inFlight {
					if o.progress >= 0 {
						active++
					}
				}
				switch {
				case wasFinal:
					return "S1: an attempt starts after the final answer"
				case active >= r.MaxConcurrentParts:
					return "S2: an attempt starts over MaxConcurrentParts"
				case now >= 300*ms || a.Deadline != 300*ms:
					return "S3: an attempt starts after the parts' deadline, or has another deadline"
				case mayHaveRun[id] && !r.Idempotent:
					return "S4: a non-idempotent part that may have been executed is retried"
				case attempts[id]-limitedAttempts[id]-uncountedRejections[id] > r.MaxRetries:
					return "S5: a part has more than 1+MaxRetries attempts that count"
				case now < notBefore[id]:
					return "S6: a rejected part is retried too early"
				}
				avoid := slices.Clone(failed[id])
				for _, o := range inFlight {
					if o.Part.ID == id {
						avoid = append(avoid, o.Number)
					}
				}
				slices.Sort(avoid)
				if slices.Reverse(avoid); !slices.Equal(avoid, a.AvoidNodesOf) {
					return fmt.Sprintf("S10: the attempt avoids the nodes of %v, not of %v", a.AvoidNodesOf, avoid)
				}
				if !r.Idempotent && a.Rows != 0 {
					return "S4: a non-idempotent part has a row limit"
				}
				attempts[id]++
				o := &simulatedAttempt{Attempt: a.Attempt, fault: rapid.SampledFrom([]string{"complete", "complete", "truncated", "rejected", "silent", "empty"}).Draw(t, "fault")}
				o.end = now + time.Duration(rapid.IntRange(1, 16).Draw(t, "steps until it ends"))*5*ms
				inFlight = append(inFlight, o)
			}
			if x, ok := g.Final(); ok && final == nil {
				final = &x
				if len(inFlight) > 0 {
					return "S7: attempts are in flight at the final answer"
				}
			}
			if g.WakeAt() > now {
				break
			}
		}
		if final != nil {
			for id := range attempts { // a late event changes nothing
				g.AttemptEnded(now, id, 1, nil)
			}
			if x, _ := g.Final(); x.Kind != final.Kind {
				return "S1: the final answer changed"
			}
			break
		}
		if now >= 400*ms {
			return "S9: no final answer at the client's deadline"
		}
		for _, o := range slices.Clone(inFlight) {
			if now < o.end || o.fault == "silent" {
				continue
			}
			text := partRows(o.Part.Shard, parts, rows)
			var end error
			switch {
			case o.fault == "truncated":
				text, end = text[:len(text)*2/3], errTruncated
			case o.fault == "empty":
				text, end = nil, errTruncated
			case o.fault == "rejected":
				text, end = nil, &Rejection{25 * ms}
			case o.Rows > 0 && o.Rows < rows:
				text, end = partRows(o.Part.Shard, parts, o.Rows), &gather.Limited{}
			}
			consumed := 0
			if o.progress < 0 {
				consumed = -1 - o.progress
			}
			n := g.Receive(now, o.Part.ID, o.Number, text[consumed:])
			if consumed += n; consumed < len(text) {
				o.progress = -1 - consumed // it waits for memory of the merge
				continue
			}
			inFlight = slices.DeleteFunc(inFlight, func(x *simulatedAttempt) bool { return x == o })
			if o.fault == "rejected" {
				wait := 25 * ms
				if k := uncountedRejections[o.Part.ID]; len(got) > 0 && k < maxUncountedRejections {
					wait = max(wait, minRejectionBackoff<<min(k, maxBackoffDoublings))
					uncountedRejections[o.Part.ID]++
				}
				notBefore[o.Part.ID] = now + wait
			} else {
				mayHaveRun[o.Part.ID] = true
			}
			if errors.Is(end, errTruncated) || o.fault == "rejected" {
				failed[o.Part.ID] = append(failed[o.Part.ID], o.Number)
			}
			if atLimit := (*gather.Limited)(nil); errors.As(end, &atLimit) {
				limitedAttempts[o.Part.ID]++
			}
			g.AttemptEnded(now, o.Part.ID, o.Number, end)
		}
	}
	if !r.Idempotent {
		if final.Kind == Rejected && len(mayHaveRun) > 0 {
			return "S11: the read is rejected, and a part of it may have been executed"
		}
		for _, p := range final.Result.Parts {
			if errors.As(p.Why, new(*Rejection)) && mayHaveRun[p.ID] {
				return "S11: a part is reported as rejected that may have been executed"
			}
		}
	}
	// S8: the rows are those of the flat merge, in order. A missing row belongs to a named part or comes after the end.
	named := map[int]bool{}
	for _, p := range final.Result.Parts {
		named[p.Shard] = true
	}
	k, complete := 0, final.Kind == Served && final.Result.Whole
	maxRows := parts * rows
	if top > 0 {
		maxRows = min(maxRows, top)
	}
	for _, row := range got {
		for ; row != fmt.Sprintf(`{"n":%d}`, k); k++ {
			if k >= parts*rows || !named[k%parts] {
				return "S8: a row is out of order, or rows before it are missing, but their part is not named: " + row
			}
		}
		k++
	}
	if complete && len(got) != maxRows {
		return fmt.Sprintf("S8: the complete answer has %d rows of %d", len(got), maxRows)
	}
	if !complete && final.Kind == Served && len(named) == 0 {
		return "S8: incomplete, but no part is named"
	}
	return ""
}

// checkFaultsAreFound checks that for each injected fault one of 3000 simulations reports the invariant that the fault breaks.
func checkFaultsAreFound[F comparable](t *testing.T, simulate func(*rapid.T, F) string, faults map[F]string) {
	t.Helper()
	for f, want := range faults {
		gen, found := rapid.Custom(func(t *rapid.T) string { return simulate(t, f) }), map[string]int{}
		for seed := 0; seed < 3000 && found[want] == 0; seed++ {
			if b, _, _ := strings.Cut(gen.Example(seed), ":"); b != "" {
				found[b]++
			}
		}
		if found[want] == 0 {
			t.Errorf("injected fault %v: no simulation broke invariant %s, only %v", f, want, found)
		}
	}
}

// checkInvariants checks that no simulation breaks an invariant.
func checkInvariants[F any](t *testing.T, simulate func(*rapid.T, F) string) {
	t.Helper()
	var none F
	rapid.Check(t, func(t *rapid.T) {
		if broken := simulate(t, none); broken != "" {
			t.Fatal(broken)
		}
	})
}

func TestGatherInvariants(t *testing.T) { checkInvariants(t, simulate) }

// Some simulation with each injected fault must break the invariant that is given for the fault.
func TestGatherInvariantsFindInjectedFaults(t *testing.T) {
	checkFaultsAreFound(t, simulate, map[fault]string{faultChangeFinal: "S1", faultIgnoreConcurrencyLimit: "S2", faultIgnorePartsDeadline: "S3", faultRetryNonIdempotent: "S4", faultIgnoreMaxRetries: "S5",
		faultIgnoreRetryAfter: "S6", faultNoCancel: "S7", faultHideLoss: "S8", faultIgnoreDeadline: "S9", faultNoAvoidedNodes: "S10",
		faultRejectAfterRun: "S11"})
}

// Once rows were sent, a rejected part is retried until its deadline or the limit of uncounted rejections, each time after a longer backoff.
func TestRejectedPartIsRetriedWithGrowingBackoffOnceRowsWereSent(t *testing.T) {
	g, err := New(Rules{Merge: mergeRules(t, "all", ""), MaxConcurrentParts: 4}, time.Minute, []gather.Part{{ID: "a"}, {ID: "b", Shard: 1}})
	if err != nil {
		t.Fatal(err)
	}
	g.Step(0)
	g.Receive(0, "a", 1, partRows(0, 2, 3))
	g.Receive(0, "b", 1, partRows(1, 2, 1))
	if _, ok := g.Next(); !ok {
		t.Fatal("no row is returned, although both parts delivered one")
	}
	g.AttemptEnded(0, "b", 1, &Rejection{ms})
	now, lastBackoff := time.Duration(0), time.Duration(0)
	for n := range maxUncountedRejections {
		g.Step(now)
		wakeAt := g.WakeAt()
		if wakeAt-now < lastBackoff || wakeAt-now < minRejectionBackoff {
			t.Errorf("rejection %d: the backoff is %v, shorter than the minimum or than the previous one of %v", n, wakeAt-now, lastBackoff)
		}
		lastBackoff, now = wakeAt-now, wakeAt
		if acts := g.Step(now); len(acts) != 1 || acts[0].Part.ID != "b" || acts[0].Number != n+2 {
			t.Fatalf("rejection %d: actions %+v, want the next attempt of part b", n, acts)
		}
		g.AttemptEnded(now, "b", n+2, &Rejection{ms})
	}
	for g.Next(); ; g.Next() { // the last rejection counts as an attempt
		if g.Step(now); g.WakeAt() > now {
			break
		}
	}
	if f, ok := g.Final(); !ok || f.Kind != EndedEarly || f.Result.Whole {
		t.Errorf("final %v: answer %+v, want an incomplete one of kind EndedEarly", ok, f)
	}
}

// Guards against the rejection of a read, one part of which was rejected, while another part of it may have been executed: its client would
// send a read again that may run once only.
func TestReadThatMayHaveRunIsNotRejected(t *testing.T) {
	for name, x := range map[string]struct {
		end  func(*Gather) // of part b
		want FinalKind
	}{
		"in flight": {func(*Gather) {}, EndedEarly},
		"served":    {func(g *Gather) { g.AttemptEnded(ms, "b", 1, nil) }, EndedEarly},
		"failed":    {func(g *Gather) { g.AttemptEnded(ms, "b", 1, errTruncated) }, EndedEarly},
		"rejected":  {func(g *Gather) { g.AttemptEnded(ms, "b", 1, &Rejection{ms}) }, Rejected},
	} {
		t.Run(name, func(t *testing.T) {
			g, err := New(Rules{Merge: mergeRules(t, "all", ""), MaxConcurrentParts: 4}, time.Second, []gather.Part{{ID: "a"}, {ID: "b", Shard: 1}})
			if err != nil {
				t.Fatal(err)
			}
			g.Step(0)
			x.end(g)
			g.AttemptEnded(ms, "a", 1, &Rejection{70 * ms})
			g.Step(ms)
			g.Next()
			g.Step(ms)
			if f, ok := g.Final(); !ok || f.Kind != x.want {
				t.Errorf("final %v: answer %+v, want kind %v", ok, f, x.want)
			}
		})
	}
}

// If a part is rejected before any row was sent, the read is rejected with its Retry-After, and the other attempts are cancelled. The
// test also checks the package's error codes, and that rules without a limit of concurrent parts are rejected.
func TestRejectedPartBeforeAnyRowRejectsTheRead(t *testing.T) {
	g, err := New(Rules{Merge: mergeRules(t, "all", ""), MaxConcurrentParts: 4, Idempotent: true}, time.Second, []gather.Part{{ID: "a"}, {ID: "b", Shard: 1}})
	if err != nil {
		t.Fatal(err)
	}
	g.Step(0)
	g.AttemptEnded(ms, "a", 1, &Rejection{70 * ms})
	g.Step(ms)
	g.Next()
	acts := g.Step(ms)
	f, ok := g.Final()
	if !ok || f.Kind != Rejected || f.RetryAfter != 70*ms || len(acts) != 1 || !acts[0].Cancel || acts[0].Part.ID != "b" {
		t.Errorf("final %v: answer %+v, actions %v; want Rejected with a Retry-After of 70 ms, and part b cancelled", ok, f, acts)
	}
	all := []operr.Coded{&InvalidRules{}, &Rejection{}, &PartDeadlineExceeded{}, &PartTooLong{}, &PartFailed{}}
	if err := operr.Check(all); err != nil {
		t.Error(err)
	}
	if _, err = New(Rules{Merge: g.rules.Merge}, time.Second, []gather.Part{{ID: "a"}}); !errors.As(err, new(*InvalidRules)) {
		t.Error(err)
	}
}
