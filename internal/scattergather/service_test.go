package scattergather

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"
	"testing"
	"time"

	"wheatsaddle/gather"
	"wheatsaddle/internal/core"
	"wheatsaddle/internal/operr"
)

// service returns a Service over the fixture's core. With streamed set, bodies arrive in pieces.
func (w *coreFixture) service(t *testing.T, extra string, streamed bool) *Service {
	t.Helper()
	rules := Rules{Merge: mergeRules(t, "all", extra), MergeTimeShare: 0.2, MaxConcurrentParts: 2, Idempotent: true, MaxRetries: 2}
	s := &Service{Core: w.core, Classes: map[string]Rules{"read": rules}, ReadLimiter: &Limiter{}, PartUnits: 1, MaxPartBytes: 1 << 20, MaxParts: 8,
		Shards:  func() []int { return []int{0, 1, 2, 3} },
		Payload: func(_, _ *core.Request, _ int) any { return nil },
		Body: func(x any) Body {
			text := x.([]byte)
			if !streamed {
				return Body{Data: text}
			}
			return Body{Data: text[:7], Rest: io.NopCloser(bytes.NewReader(text[7:])), Abort: func() {}}
		}}
	s.ReadLimiter.SetLimit(1)
	return s
}

func newClientRequest(id string, timeout time.Duration) *core.Request {
	r := &core.Request{ReceivedAt: time.Now(), Timeout: timeout}
	r.ID, r.Class, r.Plan, r.Key, r.Volume, r.Schedulers, r.Units = id, "read", "basic", "k", "v", 1, 1
	return r
}

// failingDelegator gathers two groups of two parts in this process. The first attempt of each fails halfway, like one of a killed peer.
type failingDelegator struct{ attempts []string }

func (h *failingDelegator) Delegate(r ReadRequest) ([]gather.Part, Sender) {
	parts := []gather.Part{{ID: "a", Of: []string{"0", "2"}}, {ID: "b", Of: []string{"1", "3"}}}
	return parts, &failingSender{h, r}
}

type failingSender struct {
	delegator *failingDelegator
	read      ReadRequest
}

func (x *failingSender) Cancel(Attempt) {}
func (x *failingSender) Send(a Attempt, until time.Time, to *Sink) {
	x.delegator.attempts = append(x.delegator.attempts, fmt.Sprint(a.Part.ID, a.Number))
	go func() {
		left := -1
		if a.Number == 1 {
			left = 1
		}
		f := x.read.GatherLocally(context.Background(), a, until, func(b []byte) error {
			if left--; left == -1 {
				return errTruncated
			}
			to.Deliver(b[:len(b)/2])
			to.Deliver(b[len(b)/2:])
			return nil
		})
		switch {
		case f.Kind != Served:
			to.End(nil, errTruncated)
		case f.Limited:
			to.End(nil, &gather.Limited{})
		default:
			to.End(nil, nil)
		}
	}()
}

// The rows are those of the flat merge for whole bodies, streamed bodies, groups that fail once, and pages.
func TestServiceReturnsFlatMerge(t *testing.T) {
	w := newCoreFixture(t, [shardCount]string{})
	for name, c := range map[string]struct {
		top        string
		long, tree bool
	}{
		"whole bodies": {}, "in pieces": {long: true}, "in groups": {tree: true},
		"pages": {top: `,"truncate":{"top":150}`}, "pages in groups": {top: `,"truncate":{"top":150}`, tree: true, long: true},
	} {
		t.Run(name, func(t *testing.T) {
			s, h := w.service(t, c.top, c.long), &failingDelegator{}
			if c.tree {
				s.Delegator = h
			}
			var rows []string
			pages := 0
			for q := (Query{All: true}); ; pages++ {
				var text []byte
				f := s.Read(t.Context(), newClientRequest(fmt.Sprint(name, pages), time.Minute), q, func(b []byte) error { text = append(text, b...); return nil })
				if f.Kind != Served || !f.Result.Whole {
					t.Fatalf("page %d: %+v", pages, f)
				}
				rows = append(rows, strings.Fields(string(text))...)
				if q.Token = f.Result.Token; q.Token == "" {
					break
				}
			}
			if !slices.Equal(rows, flatMerge()) {
				t.Errorf("%d rows of %d", len(rows), len(flatMerge()))
			}
			if c.top != "" && pages < shardCount*rowsPerShard/150 {
				t.Errorf("%d pages", pages)
			}
			if c.tree && !slices.Contains(h.attempts, "a2") {
				t.Errorf("no second attempt of group a: %v", h.attempts)
			}
			waitFor(t, "core has no requests", func() bool { return w.core.TableSizes().Requests == 0 })
		})
	}
}

func TestServiceRejectsInvalidAndExcessReads(t *testing.T) {
	w := newCoreFixture(t, [shardCount]string{"silent", "silent", "silent", "silent"})
	s := w.service(t, "", false)
	unexpected := func([]byte) error { t.Error("a row was written"); return nil } //nolint:unparam // a writer of rows
	read := func(q Query, class string) Final {
		r := newClientRequest("r", 400*time.Millisecond)
		r.Class = class
		return s.Read(t.Context(), r, q, unexpected)
	}
	invalid := func(what, code string, f Final) {
		var c operr.Coded
		if f.Kind != Invalid || !errors.As(f.Err, &c) || c.Code() != code || f.Report(false).Advice == "" {
			t.Errorf("%s: %+v", what, f)
		}
	}
	invalid("class", "scatter-no-rules", read(Query{All: true}, "other"))
	invalid("twice", "gather-parts-bad", read(Query{Shards: []int{1, 1}}, "read"))
	invalid("none", "gather-parts-bad", read(Query{}, "read"))
	invalid("too many", "scatter-shards-bad", read(Query{Shards: make([]int, 9)}, "read"))
	invalid("token", "gather-token-bad", read(Query{All: true, Token: "x"}, "read"))

	// While one read is in progress, the next is rejected at once and sends no attempt.
	ctx, disconnect := context.WithCancel(t.Context())
	done := make(chan Final)
	go func() { done <- s.Read(ctx, newClientRequest("q", time.Hour), Query{All: true}, unexpected) }()
	waitFor(t, "two parts are in flight", func() bool { return w.shards[0].inFlight.Load() == 1 && w.shards[1].inFlight.Load() == 1 })
	if f := read(Query{All: true}, "read"); f.Kind != Rejected || f.RetryAfter <= 0 || s.ReadLimiter.InFlight() != 1 {
		t.Errorf("%+v", f)
	}
	if n := w.core.TableSizes().Requests; n != 2 {
		t.Errorf("core has %d requests", n)
	}
	disconnect()
	if f := <-done; f.Kind != ClientDisconnected {
		t.Errorf("%+v", f)
	}
}

// A body over its limit is truncated there and its shard is named, whether the body is streamed or not.
func TestPartOverItsLimitIsTruncatedAndNamed(t *testing.T) {
	w := newCoreFixture(t, [shardCount]string{})
	for _, streamed := range []bool{false, true} {
		s := w.service(t, "", streamed)
		s.MaxPartBytes = 600
		f := s.Read(t.Context(), newClientRequest("p", time.Minute), Query{All: true}, func([]byte) error { return nil })
		if r := f.Report(false); f.Kind != EndedEarly || len(r.Cut) == 0 || r.Whole || !errors.As(f.Result.Parts[0].Why, new(*PartTooLong)) {
			t.Errorf("streamed %v: %+v", streamed, f)
		}
		waitFor(t, "core has no requests", func() bool { return w.core.TableSizes().Requests == 0 })
	}
}

// The parts with the longest expected duration come first. Without expectations the given order is kept.
func TestSlowestPartIsRequestedFirst(t *testing.T) {
	s := &Service{}
	ids := func() (ids []string) {
		for _, p := range s.parts("read", []int{4, 7, 9}) {
			ids = append(ids, p.ID)
		}
		return ids
	}
	if got := ids(); !slices.Equal(got, []string{"4", "7", "9"}) {
		t.Error(got)
	}
	s.ExpectedDurations = func(string, []int) []float64 { return []float64{1, 3, 1} }
	if got := ids(); !slices.Equal(got, []string{"7", "4", "9"}) {
		t.Error(got)
	}
}
