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
	"wheatsaddle/internal/memory"
	"wheatsaddle/internal/operr"
)

// service returns a Service over the fixture's core. If streamed is set, bodies arrive in pieces.
func (fx *coreFixture) service(t *testing.T, extra string, streamed bool) *Service {
	t.Helper()
	rules := Rules{Merge: mergeRules(t, "all", extra), MergeTimeShare: 0.2, MaxConcurrentParts: 2, Idempotent: true, MaxRetries: 2}
	s := &Service{Core: fx.core, Classes: map[string]Rules{"read": rules}, ReadLimiter: &Limiter{}, PartUnits: 1, MaxPartBytes: 1 << 20, MaxParts: 8,
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

func (d *failingDelegator) Delegate(r ReadRequest) ([]gather.Part, Sender) {
	parts := []gather.Part{{ID: "a", Of: []string{"0", "2"}}, {ID: "b", Of: []string{"1", "3"}}}
	return parts, &failingSender{d, r}
}

type failingSender struct {
	delegator *failingDelegator
	read      ReadRequest
}

func (s *failingSender) Cancel(Attempt) {}
func (s *failingSender) Send(a Attempt, until time.Time, to *Sink) {
	s.delegator.attempts = append(s.delegator.attempts, fmt.Sprint(a.Part.ID, a.Number))
	go func() {
		left := -1
		if a.Number == 1 {
			left = 1
		}
		f := s.read.GatherLocally(context.Background(), a, until, func(b []byte) error {
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
	fx := newCoreFixture(t, [shardCount]string{})
	for name, c := range map[string]struct {
		truncate          string
		streamed, grouped bool
	}{
		"whole bodies": {}, "streamed bodies": {streamed: true}, "groups that fail once": {grouped: true},
		"pages": {truncate: `,"truncate":{"top":150}`}, "streamed pages of groups that fail once": {truncate: `,"truncate":{"top":150}`, grouped: true, streamed: true},
	} {
		t.Run(name, func(t *testing.T) {
			s, delegator := fx.service(t, c.truncate, c.streamed), &failingDelegator{}
			if c.grouped {
				s.Delegator = delegator
			}
			var rows []string
			pages := 0
			for q := (Query{All: true}); ; pages++ {
				var text []byte
				f := s.Read(t.Context(), newClientRequest(fmt.Sprint(name, pages), time.Minute), q, func(b []byte) error { text = append(text, b...); return nil })
				if f.Kind != Served || !f.Result.Whole {
					t.Fatalf("page %d is not complete: %+v", pages, f)
				}
				rows = append(rows, strings.Fields(string(text))...)
				if q.Token = f.Result.Token; q.Token == "" {
					break
				}
			}
			if !slices.Equal(rows, flatMerge()) {
				t.Errorf("%d rows, not those of the flat merge with %d", len(rows), len(flatMerge()))
			}
			if c.truncate != "" && pages < shardCount*rowsPerShard/150 {
				t.Errorf("%d pages before the last one, too few for 150 rows per page", pages)
			}
			if c.grouped && !slices.Contains(delegator.attempts, "a2") {
				t.Errorf("no second attempt of group a: %v", delegator.attempts)
			}
			waitFor(t, "core has no requests", func() bool { return fx.core.TableSizes().Requests == 0 })
		})
	}
}

// Reads without rules for their class, with invalid shards or with an invalid token are rejected as Invalid with the code of the error.
// A read over the limit of concurrent reads is rejected at once.
func TestServiceRejectsInvalidAndExcessReads(t *testing.T) {
	fx := newCoreFixture(t, [shardCount]string{"silent", "silent", "silent", "silent"})
	s := fx.service(t, "", false)
	unexpectedWrite := func([]byte) error { t.Error("rows were written by a read that has none"); return nil } //nolint:unparam // a writer of rows
	read := func(q Query, class string) Final {
		r := newClientRequest("r", 400*time.Millisecond)
		r.Class = class
		return s.Read(t.Context(), r, q, unexpectedWrite)
	}
	assertInvalid := func(what, code string, f Final) {
		var c operr.Coded
		if f.Kind != Invalid || !errors.As(f.Err, &c) || c.Code() != code || f.Report(false).Advice == "" {
			t.Errorf("%s: final answer %+v, want Invalid with the code of the case and an advice", what, f)
		}
	}
	assertInvalid("class without rules", "scatter-no-rules", read(Query{All: true}, "other"))
	assertInvalid("one shard twice", "gather-parts-bad", read(Query{Shards: []int{1, 1}}, "read"))
	assertInvalid("no shards", "gather-parts-bad", read(Query{}, "read"))
	assertInvalid("more than MaxParts shards", "scatter-shards-bad", read(Query{Shards: make([]int, 9)}, "read"))
	assertInvalid("invalid token", "gather-token-bad", read(Query{All: true, Token: "x"}, "read"))

	// A read for which the account has no memory is rejected, and holds none.
	s.Memory, s.ReadBytes = memory.NewAccount(1000), func(_ string, parts int) int64 { return int64(parts) * 600 }
	if f := read(Query{All: true}, "read"); f.Kind != Rejected || f.RetryAfter <= 0 || s.Memory.Used() != 0 || s.Memory.Denied(memory.GatheredRead) != 1 {
		t.Errorf("read without memory: final answer %+v, %d bytes in use", f, s.Memory.Used())
	}
	s.Memory = nil

	// While one read is in progress, the next is rejected at once and sends no attempt.
	ctx, disconnect := context.WithCancel(t.Context())
	done := make(chan Final)
	go func() { done <- s.Read(ctx, newClientRequest("q", time.Hour), Query{All: true}, unexpectedWrite) }()
	waitFor(t, "two parts are in flight", func() bool { return fx.nodes[0].inFlight.Load() == 1 && fx.nodes[1].inFlight.Load() == 1 })
	if f := read(Query{All: true}, "read"); f.Kind != Rejected || f.RetryAfter <= 0 || s.ReadLimiter.InFlight() != 1 {
		t.Errorf("second read: final answer %+v, want Rejected with a Retry-After", f)
	}
	if n := fx.core.TableSizes().Requests; n != 2 {
		t.Errorf("core has %d requests, want the 2 of the read in progress", n)
	}
	disconnect()
	if f := <-done; f.Kind != ClientDisconnected {
		t.Errorf("read in progress: final answer %+v, want ClientDisconnected", f)
	}
}

// A body over its limit is truncated there and its shard is named, whether the body is streamed or not.
func TestPartOverItsLimitIsTruncatedAndNamed(t *testing.T) {
	fx := newCoreFixture(t, [shardCount]string{})
	for _, streamed := range []bool{false, true} {
		s := fx.service(t, "", streamed)
		s.MaxPartBytes = 600
		f := s.Read(t.Context(), newClientRequest("p", time.Minute), Query{All: true}, func([]byte) error { return nil })
		if r := f.Report(false); f.Kind != EndedEarly || len(r.Cut) == 0 || r.Whole || !errors.As(f.Result.Parts[0].Why, new(*PartTooLong)) {
			t.Errorf("streamed %v: final answer %+v, want EndedEarly with a truncated part whose error is PartTooLong", streamed, f)
		}
		waitFor(t, "core has no requests", func() bool { return fx.core.TableSizes().Requests == 0 })
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
