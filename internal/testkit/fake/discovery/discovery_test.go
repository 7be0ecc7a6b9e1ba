package discovery

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"reflect"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"pgregory.net/rapid"

	"wheatsaddle/internal/operr"
	"wheatsaddle/internal/testkit/rapidtest"
)

func TestMain(m *testing.M) { rapidtest.Main(m) }

func testEntry(name string, status Status) Entry {
	return Entry{Name: name, Address: "127.0.0.1:1", Zone: "a", Status: status, Weight: 1}
}

func applied(l List) map[string]Entry {
	m := map[string]Entry{}
	l.Apply(m)
	return m
}

// Invariants of the versioned list: the changes lead from any version in the history to any later one, returned lists
// never change, and the history is bounded.
func TestVersionedListInvariants(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		historyLimit := rapid.IntRange(1, 12).Draw(rt, "history limit")
		first := rapid.Int64Range(0, 50).Draw(rt, "first version")
		list := NewVersionedList(first, historyLimit)
		versions := map[int64]map[string]Entry{first: {}}
		texts, lists := []string{}, []List{}
		remember := func(l List) List {
			texts, lists = append(texts, string(l.Text(false))), append(lists, l)
			return l
		}
		for range rapid.IntRange(1, 15).Draw(rt, "puts") {
			now := maps.Clone(versions[list.Index()])
			var entries []Entry
			for range rapid.IntRange(0, 4).Draw(rt, "entries") {
				e := testEntry(rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(rt, "name"), rapid.SampledFrom([]Status{Active, Leaving, Left}).Draw(rt, "status"))
				e.Group = rapid.IntRange(0, 2).Draw(rt, "group")
				entries = append(entries, e)
			}
			List{Entries: entries}.Apply(now)
			versions[list.Put(entries...)] = now
			if len(list.history) > historyLimit {
				rt.Fatalf("history holds %d changes, want at most %d", len(list.history), historyLimit)
			}
			if len(entries) <= historyLimit && list.Oldest() >= list.Index() {
				rt.Fatal("a change that fits into the history was dropped")
			}
			for v := first; v <= list.Index(); v++ {
				l, ok := list.At(v)
				if ok != (v >= list.Oldest()) || ok && !reflect.DeepEqual(applied(remember(l)), versions[v]) {
					rt.Fatalf("version %d: in the history %v, list %+v, want %v", v, ok, l, versions[v])
				}
				for w := v; w <= list.Index(); w++ {
					l, ok := list.Changes(v, w)
					at := maps.Clone(versions[v])
					if ok {
						remember(l).Apply(at)
					}
					if ok != (v >= list.Oldest()) || ok && (l.Full || l.Index != w || len(l.Entries) > 4 || !reflect.DeepEqual(at, versions[w])) {
						rt.Fatalf("changes from version %d to %d, in the history %v, do not lead to it: %+v", v, w, ok, l)
					}
				}
			}
			for _, v := range []int64{first - 1, list.Oldest(), list.Index() + 1} {
				if l := remember(list.After(v)); l.Full != (v < list.Oldest() || v > list.Index()) || l.Index != list.Index() {
					rt.Fatalf("list for a caller at version %d: %+v, want the changes, or all if the history does not cover them", v, l)
				}
			}
		}
		for i, l := range lists {
			if got := string(l.Text(false)); got != texts[i] {
				rt.Fatalf("a list changed after it was returned: %s, was %s", got, texts[i])
			}
		}
	})
}

// The queue processes calls in order and bounds the waiting time and the number of waiting calls.
func TestQueueInvariants(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		processingTime := time.Duration(rapid.IntRange(0, 20).Draw(rt, "processing time"))
		patience, limit := time.Duration(rapid.IntRange(0, 100).Draw(rt, "patience")), rapid.IntRange(1, 8).Draw(rt, "queue limit")
		q, now, free := NewQueue(processingTime, patience, limit), time.Duration(0), time.Duration(0)
		for range rapid.IntRange(1, 60).Draw(rt, "calls") {
			now += time.Duration(rapid.IntRange(0, 30).Draw(rt, "gap"))
			start := max(now, free)
			waiting := 0
			if processingTime > 0 {
				waiting = int((start - now + processingTime - 1) / processingTime) // each takes its full processing time, one after another
			}
			if n := q.Len(now); n != waiting || n > limit {
				rt.Fatalf("%d calls in the queue, want %d, limit %d", n, waiting, limit)
			}
			end, want := start+processingTime, Served
			switch {
			case waiting >= limit:
				end, want = now, Full
			case start-now > patience:
				end, want = now+patience, TooLong
			}
			if want != Full {
				free = start + processingTime
			}
			if at, outcome := q.Call(now); at != end || outcome != want {
				rt.Fatalf("call at %d: %v at %d, want %v at %d", now, outcome, at, want, end)
			}
		}
	})
}

// fixture is a test fixture: a service and calls to it.
type fixture struct {
	*testing.T
	s *Service
}

func newFixture(t *testing.T, opt Options) *fixture {
	t.Helper()
	s, err := New(opt)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close) // returns only when all goroutines have ended
	return &fixture{t, s}
}

// call makes a call as a named caller. The response is nil on an error.
func (fx *fixture) call(name, query string) (*http.Response, error) {
	addr, err := fx.s.AddrFor(name)
	if err != nil {
		fx.Fatal(err)
	}
	tr := &http.Transport{DisableKeepAlives: true}
	resp, err := (&http.Client{Transport: tr, Timeout: 20 * time.Second}).Get("http://" + addr + Path + query)
	if err == nil {
		fx.Cleanup(func() { resp.Body.Close() })
	}
	return resp, err
}

// watch opens a watch. next reads its next line and skips heartbeats.
func (fx *fixture) watch(name string, after int64) (next func() (List, error)) {
	resp, err := fx.call(name, fmt.Sprintf("?watch=1&after=%d", after)) //nolint:bodyclose // stays open until the service closes it
	if err != nil {
		return func() (List, error) { return List{}, err }
	}
	br := bufio.NewReader(resp.Body)
	return func() (l List, err error) {
		for text := "\n"; text == "\n"; {
			if text, err = br.ReadString('\n'); err != nil {
				return l, err
			}
			if text != "\n" {
				err = json.Unmarshal([]byte(text), &l)
			}
		}
		return l, err
	}
}

// get makes a call and decodes the complete response.
func (fx *fixture) get(name, query string) (l List, status int, err error) {
	resp, err := fx.call(name, query)
	if err != nil {
		return l, 0, err
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err == nil && resp.StatusCode == http.StatusOK {
		err = json.Unmarshal(text, &l)
	}
	return l, resp.StatusCode, err
}

func (fx *fixture) expect(what string, l List, err error, index int64, full bool, entries int) {
	fx.Helper()
	if err != nil || l.Index != index || l.Full != full || len(l.Entries) != entries {
		fx.Fatalf("%s: list %+v, error %v, want version %d, complete %v, %d entries", what, l, err, index, full, entries)
	}
}

// waitFor waits for a condition on the counts of a caller.
func (fx *fixture) waitFor(what, name string, cond func(Counts) bool) {
	fx.Helper()
	for end := time.Now().Add(20 * time.Second); !cond(fx.s.Counts(name)); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			fx.Fatalf("timeout: %s, counts %+v", what, fx.s.Counts(name))
		}
	}
}

// Each mode supports its own kind of call and answers the others as plain calls. A waiting call ends at a change or
// after its wait time.
func TestModesAnswerTheirCalls(t *testing.T) {
	for _, mode := range []Mode{Push, Poll, Wait} {
		fx := newFixture(t, Options{Mode: mode, Index: 40, Indent: true, Beat: 5 * time.Millisecond})
		fx.s.Put(testEntry("a", Active), testEntry("b", Active))
		l, _, err := fx.get("x", "")
		fx.expect("plain", l, err, 41, true, 2)
		if _, status, _ := fx.get("x", "/../other"); status != http.StatusNotFound {
			t.Errorf("call of another path: status %d, want 404", status)
		}
		next := fx.watch("w", 40)
		if mode != Push {
			if l, _, err = fx.get("w", "?watch=1&after=41"); mode == Poll || mode == Wait {
				fx.expect("a watch in a mode without watches", l, err, 41, true, 2)
			}
		} else {
			l, err = next()
			fx.expect("first line", l, err, 41, false, 2)
			fx.waitFor("no heartbeats", "w", func(c Counts) bool { return c.Beats > 2 })
			fx.s.Put(testEntry("a", Left))
			l, err = next()
			fx.expect("change", l, err, 42, false, 1)
			deliveries := fx.s.Deliveries("w")
			if len(deliveries) != 3 || deliveries[2].Entry.Status != Left || deliveries[2].Index != 42 || deliveries[2].At.Before(deliveries[0].At) {
				t.Errorf("deliveries %+v, want two entries and then the removal of a at version 42", deliveries)
			}
			next = fx.watch("w", 7)
			l, err = next()
			fx.expect("a watch after an unknown version", l, err, 42, true, 1)
			if deliveries = fx.s.Deliveries("w"); len(deliveries) != 4 || deliveries[3].Entry.Name != "b" {
				t.Errorf("deliveries to a caller that holds an earlier version: %+v, want b as the fourth", deliveries)
			}
		}
		if l, _, err = fx.get("x", fmt.Sprintf("?wait=20&after=%d", fx.s.Index())); mode == Poll {
			fx.expect("a waiting call in a mode without them", l, err, 41, true, 2)
			continue
		}
		received := make(chan List)
		go func() {
			l, _, _ := fx.get("p", fmt.Sprintf("?wait=600000&after=%d", fx.s.Index()))
			received <- l
		}()
		fx.waitFor("the waiting call was not received", "p", func(c Counts) bool { return c.Calls == 1 })
		v := fx.s.Put(testEntry("c", Leaving))
		if l = <-received; l.Index != v {
			t.Errorf("mode %d: waiting call should return version %d, got %d", mode, v, l.Index)
		}
	}
}

// Each fault affects the caller that it is set for, is counted, and does not affect the other caller.
func TestFaultsAffectOneCaller(t *testing.T) {
	newWatches := func(t *testing.T) (fx *fixture, x, y func() (List, error)) {
		fx = newFixture(t, Options{Beat: 5 * time.Millisecond})
		for _, name := range []string{"a", "b", "c"} {
			fx.s.Put(testEntry(name, Active))
		}
		x, y = fx.watch("x", 0), fx.watch("y", 0)
		for _, next := range []func() (List, error){x, y} {
			l, err := next()
			fx.expect("first line", l, err, 3, false, 3)
		}
		return fx, x, y
	}
	// otherUnaffected checks that the other watch receives a change, and waits for a few of its heartbeats, so that the
	// faulty watch has had time to send something, without a fixed waiting time.
	otherUnaffected := func(fx *fixture, y func() (List, error)) {
		l, err := y()
		fx.expect("the other watch", l, err, fx.s.Index(), false, 1)
		beats := fx.s.Counts("y").Beats
		fx.waitFor("no heartbeats on the other watch", "y", func(c Counts) bool { return c.Beats > beats+3 })
	}
	for _, f := range []Fault{{Down: true}, {Silent: true}, {Silent: true, RejectCalls: true}, {Silent: true, SilencePersists: true}, {Silent: true, AnswerNewCalls: true}} {
		fx, x, y := newWatches(t)
		_ = fx.s.SetFault(f, "x")
		fx.waitFor("the watch was not silenced", "x", func(c Counts) bool { return c.Downs+c.Silences == 1 })
		lines := fx.s.Counts("x").Lines
		fx.s.Put(testEntry("a", Leaving))
		otherUnaffected(fx, y)
		if f.AnswerNewCalls {
			l, _, err := fx.get("x", "")
			fx.expect("a new call", l, err, 4, true, 3)
		} else {
			ended := make(chan error)
			go func() { _, _, err := fx.get("x", ""); ended <- err }()
			fx.waitFor("the call was not silenced", "x", func(c Counts) bool { return c.Downs+c.Silences == 2 })
			if f.SilencePersists {
				_ = fx.s.ClearFaults("x")
				fx.s.Put(testEntry("b", Leaving))
				otherUnaffected(fx, y)
				fx.s.ResetConns("x") // otherwise they would wait forever
			} else {
				_ = fx.s.ClearFaults("x")
			}
			if err := <-ended; (err != nil) != f.SilencePersists {
				t.Errorf("%+v: the silenced call ended with %v", f, err)
			}
		}
		if n := fx.s.Counts("x").Lines; (f.SilencePersists || f.AnswerNewCalls) && n != lines {
			t.Errorf("%+v: %d lines sent during the silence", f, n-lines)
		}
		_ = fx.s.ClearFaults()
		if l, err := x(); !f.SilencePersists {
			fx.expect("the change during the silence", l, err, 4, false, 1)
		} else if !errors.Is(err, syscall.ECONNRESET) || fx.s.Counts("x").Resets != 2 {
			t.Errorf("%+v: the silenced watch received %+v, error %v, want a reset counted with the call's", f, l, err)
		}
	}
	fx, x, y := newWatches(t)
	_ = fx.s.SetDelay(150*time.Millisecond, "x")
	start := time.Now()
	fx.s.Put(testEntry("a", Leaving))
	otherUnaffected(fx, y)
	l, err := x()
	fx.expect("delayed change", l, err, 4, false, 1)
	if time.Since(start) < 150*time.Millisecond || fx.s.Counts("x").Delayed != 1 || fx.s.Counts("y").Delayed != 0 {
		t.Errorf("delayed change arrived after %v, want 150 ms or more and one delay counted: counts %+v", time.Since(start), fx.s.Counts("x"))
	}
	_ = fx.s.ClearFaults()

	fx.s.SendOldList(2, "x")
	l, err = x()
	fx.expect("old list", l, err, 2, true, 2)
	if deliveries := fx.s.Deliveries("x"); deliveries[len(deliveries)-2].Entry.Status != Left || deliveries[len(deliveries)-1].Entry.Status != Active || len(deliveries) != 6 {
		t.Errorf("deliveries of the old list: %+v, want 6 that end with c removed and the old state of a", deliveries)
	}
	fx.s.Put(testEntry("b", Leaving))
	l, err = x()
	fx.expect("change after the old list", l, err, 5, false, 1)
	otherUnaffected(fx, y)

	fx.s.TruncateNextList("x")
	fx.s.Put(testEntry("c", Leaving))
	otherUnaffected(fx, y)
	if l, err = x(); !errors.Is(err, io.ErrUnexpectedEOF) || len(fx.s.Deliveries("x")) != 7 {
		t.Errorf("truncated line: list %+v, error %v, %d deliveries, want an unexpected EOF and 7", l, err, len(fx.s.Deliveries("x")))
	}
	fx.s.TruncateNextList("x")
	if _, _, err = fx.get("x", ""); !errors.Is(err, io.ErrUnexpectedEOF) {
		t.Errorf("truncated response: error %v, want an unexpected EOF", err)
	}

	_ = fx.s.RejectCalls("x")
	if _, status, _ := fx.get("x", ""); status != http.StatusServiceUnavailable {
		t.Errorf("rejected call: status %d, want 503", status)
	}
	if n := fx.s.InjectLine("nonsense"); n != 1 {
		t.Errorf("line injected on %d watches, want 1", n)
	}
	if _, err = y(); err == nil {
		t.Error("an invalid line was read as a list")
	}
	fx.s.ResetConns("y")
	for err = nil; err == nil; _, err = y() {
	}
	fx.waitFor("the watch was not closed", "y", func(c Counts) bool { return c.Open == 0 })
	if c := fx.s.Counts("x"); c.OldLists != 1 || c.Truncated != 2 || c.Rejected != 1 || c.Failed != 1 || c.Open != 0 {
		t.Errorf("counts of x: %+v, want one old list, two truncations, one rejected and failed call, no open watch", c)
	}
	if c := fx.s.Counts("y"); c.Resets != 1 || c.InjectedLines != 1 || c.OldLists+c.Truncated+c.Rejected != 0 || !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("counts of y: %+v, error of its watch: %v, want one reset and one injected line", c, err)
	}

	fx = newFixture(t, Options{Mode: Poll})
	_ = fx.s.SetDown("x")
	if _, _, err = fx.get("x", ""); err == nil || fx.s.Counts("x").Downs != 1 {
		t.Errorf("call to a service that is down: error %v, counts %+v", err, fx.s.Counts("x"))
	}
	if _, _, err = fx.get("y", ""); err != nil {
		t.Error(err)
	}

	for f, want := range map[Fault]error{{Reset: true}: syscall.ECONNRESET, {StopListening: true}: syscall.ECONNREFUSED} {
		fx, x, y := newWatches(t)
		addr, _ := fx.s.AddrFor("x")
		set := func(f Fault) {
			if err := fx.s.SetFault(f, "x"); err != nil {
				t.Error(err)
			}
		}
		set(f)
		set(f)
		if l, err := x(); !errors.Is(err, syscall.ECONNRESET) {
			t.Errorf("%+v: watch received %+v, error %v, want a reset", f, l, err)
		}
		if _, _, err := fx.get("x", ""); !errors.Is(err, want) {
			t.Errorf("%+v: call during the fault: error %v", f, err)
		}
		if c := fx.s.Counts("x"); c.Downs < c.Conns || f.StopListening != (c.Conns == 1) {
			t.Errorf("%+v: counts %+v, want a reset for each connection, and no new connection if nothing listens", f, c)
		}
		fx.s.Put(testEntry("a", Leaving))
		otherUnaffected(fx, y)
		set(Fault{})
		if addrAfter, err := fx.s.AddrFor("x"); addrAfter != addr || err != nil {
			t.Errorf("%+v: the address changed from %s to %s, error %v", f, addr, addrAfter, err)
		}
		if l, _, err := fx.get("x", ""); err != nil || l.Index != 4 {
			t.Errorf("%+v: call after the fault: list %+v, error %v", f, l, err)
		}
		_ = fx.s.SetFault(Fault{StopListening: true})
		if nc, err := net.Dial("tcp", fx.s.Addr()); !errors.Is(err, syscall.ECONNREFUSED) {
			t.Errorf("dial of the shared address while no address should listen: connection %v, error %v, want refused", nc, err)
		}
		if addr, err := fx.s.AddrFor("new"); err != nil {
			t.Error(err)
		} else if _, err = net.Dial("tcp", addr); !errors.Is(err, syscall.ECONNREFUSED) {
			t.Errorf("dial of an address opened during the fault: error %v, want refused", err)
		}
	}
}

// Concurrent calls at a small capacity are served, wait too long, or find the queue full.
func TestCapacityBoundsServedCalls(t *testing.T) {
	fx := newFixture(t, Options{Mode: Poll, Capacity: 2, Patience: time.Millisecond, Queue: 2})
	var wg sync.WaitGroup
	for i := range 8 {
		wg.Go(func() { _, _, _ = fx.get(fmt.Sprint(i%2), "") })
	}
	wg.Wait()
	c := fx.s.Counts()
	if c.Calls != 8 || c.Served == 0 || c.TooLong == 0 || c.Full == 0 || c.Queued != c.TooLong || c.Served+c.Failed != 8 || c.Failed != c.TooLong+c.Full {
		t.Errorf("counts %+v, want 8 calls: some served, some that waited too long, some that found the queue full", c)
	}
	if a, b := fx.s.Counts("0"), fx.s.Counts("1"); a.Calls != 4 || b.Calls != 4 {
		t.Errorf("counts of the two callers: %+v and %+v, want 4 calls each", a, b)
	}

	// Two services that share a capacity: eight calls, four at each, load it like eight calls at one service.
	shared, err := NewCapacity(Options{Capacity: 2, Patience: time.Millisecond, Queue: 2})
	if err != nil {
		t.Fatal(err)
	}
	both := []*fixture{newFixture(t, Options{Mode: Poll, Shared: shared}), newFixture(t, Options{Mode: Poll, Shared: shared})}
	for i := range 8 {
		wg.Go(func() { _, _, _ = both[i%2].get("x", "") })
	}
	wg.Wait()
	a, b := both[0].s.Counts(), both[1].s.Counts()
	if l := shared.Load(); l.Calls != 8 || l.Rejected != a.Failed+b.Failed || a.Full+b.Full == 0 || a.Calls != 4 || b.Calls != 4 || l.PeakPerSecond < 3 || l.PeakPerSecond > 8 {
		t.Errorf("load of the shared capacity: %+v, counts of its services: %+v and %+v", l, a, b)
	}
}

// Callers and recorded deliveries are bounded, and the errors have codes.
func TestCallersAndDeliveriesAreBounded(t *testing.T) {
	fx := newFixture(t, Options{Callers: 2, Tolds: 2, Keep: 4})
	for i := range 10 {
		fx.s.Put(testEntry(fmt.Sprint(i), Active))
	}
	_, _, _ = fx.get("x", "")
	if deliveries := fx.s.Deliveries("x"); len(deliveries) != 2 || deliveries[1].Entry.Name != "9" || fx.s.Counts("x").DroppedDeliveries != 8 {
		t.Errorf("recorded deliveries: %+v, want the last 2 of 10", deliveries)
	}
	_, _ = fx.s.AddrFor("y")
	_, tooMany := fx.s.AddrFor("z")
	if resp, err := http.Get("http://" + fx.s.Addr() + Path); err == nil {
		resp.Body.Close()
	}
	if names := strings.Join(fx.s.Callers(), " "); names != "others x y" || fx.s.Counts(Others).Calls != 1 {
		t.Error(names)
	}
	fx.s.Close()
	_, closed := fx.s.AddrFor("w")
	_, badOption := New(Options{Queue: -1})
	var all []operr.Coded
	for _, err := range []error{tooMany, closed, badOption} {
		if c := operr.Coded(nil); errors.As(err, &c) {
			all = append(all, c)
		}
	}
	if err := operr.Check(all); err != nil || len(all) != 3 {
		t.Error(all, err)
	}
}
