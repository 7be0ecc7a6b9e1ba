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

func node(name string, status Status) Entry {
	return Entry{Name: name, Address: "127.0.0.1:1", Zone: "a", Status: status, Weight: 1}
}

func held(l List) map[string]Entry {
	m := map[string]Entry{}
	l.Apply(m)
	return m
}

// The book's invariants: what it tells takes any version that it reaches to any later one, what was
// handed out stays as it was, and the history is bounded.
func TestBook(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		keep := rapid.IntRange(1, 12).Draw(rt, "keep")
		first := rapid.Int64Range(0, 50).Draw(rt, "first")
		b := NewBook(first, keep)
		stood := map[int64]map[string]Entry{first: {}}
		texts, lists := []string{}, []List{}
		give := func(l List) List {
			texts, lists = append(texts, string(l.Text(false))), append(lists, l)
			return l
		}
		for range rapid.IntRange(1, 15).Draw(rt, "puts") {
			now := maps.Clone(stood[b.Index()])
			var entries []Entry
			for range rapid.IntRange(0, 4).Draw(rt, "entries") {
				e := node(rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(rt, "name"), rapid.SampledFrom([]Status{Active, Leaving, Left}).Draw(rt, "status"))
				e.Group = rapid.IntRange(0, 2).Draw(rt, "group")
				entries = append(entries, e)
			}
			List{Entries: entries}.Apply(now)
			stood[b.Put(entries...)] = now
			if len(b.log) > keep {
				rt.Fatalf("%d changes are kept, %d allowed", len(b.log), keep)
			}
			if len(entries) <= keep && b.Oldest() >= b.Index() {
				rt.Fatal("a change that fits was forgotten")
			}
			for v := first; v <= b.Index(); v++ {
				l, ok := b.At(v)
				if ok != (v >= b.Oldest()) || ok && !reflect.DeepEqual(held(give(l)), stood[v]) {
					rt.Fatalf("version %d: %v %+v, want %v", v, ok, l, stood[v])
				}
				for w := v; w <= b.Index(); w++ {
					l, ok := b.Changes(v, w)
					at := maps.Clone(stood[v])
					if ok {
						give(l).Apply(at)
					}
					if ok != (v >= b.Oldest()) || ok && (l.Full || l.Index != w || len(l.Entries) > 4 || !reflect.DeepEqual(at, stood[w])) {
						rt.Fatalf("%d to %d: %v %+v", v, w, ok, l)
					}
				}
			}
			for _, v := range []int64{first - 1, b.Oldest(), b.Index() + 1} {
				if l := give(b.After(v)); l.Full != (v < b.Oldest() || v > b.Index()) || l.Index != b.Index() {
					rt.Fatalf("after %d: %+v", v, l)
				}
			}
		}
		for i, l := range lists {
			if got := string(l.Text(false)); got != texts[i] {
				rt.Fatalf("a list changed after it was told: %s, was %s", got, texts[i])
			}
		}
	})
}

// The queue's invariants.
func TestQueue(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		each := time.Duration(rapid.IntRange(0, 20).Draw(rt, "each"))
		patience, most := time.Duration(rapid.IntRange(0, 100).Draw(rt, "patience")), rapid.IntRange(1, 8).Draw(rt, "most")
		q, now, free := NewQueue(each, patience, most), time.Duration(0), time.Duration(0)
		for range rapid.IntRange(1, 60).Draw(rt, "calls") {
			now += time.Duration(rapid.IntRange(0, 30).Draw(rt, "gap"))
			start := max(now, free)
			waiting := 0
			if each > 0 {
				waiting = int((start - now + each - 1) / each) // each of them takes its whole time, in turn
			}
			if n := q.Len(now); n != waiting || n > most {
				rt.Fatalf("%d in the queue, want %d of %d", n, waiting, most)
			}
			end, want := start+each, Served
			switch {
			case waiting >= most:
				end, want = now, Full
			case start-now > patience:
				end, want = now+patience, TooLong
			}
			if want != Full {
				free = start + each
			}
			if at, out := q.Call(now); at != end || out != want {
				rt.Fatalf("at %d: %v at %d, want %v at %d", now, out, at, want, end)
			}
		}
	})
}

// rig is a service and what a caller of it reads.
type rig struct {
	*testing.T
	s *Service
}

func newRig(t *testing.T, opt Options) *rig {
	t.Helper()
	s, err := New(opt)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close) // it does not return while anything of it runs
	return &rig{t, s}
}

// open makes a call under a name; the answer is nil where there is none.
func (r *rig) open(name, query string) (*http.Response, error) {
	addr, err := r.s.AddrFor(name)
	if err != nil {
		r.Fatal(err)
	}
	tr := &http.Transport{DisableKeepAlives: true}
	resp, err := (&http.Client{Transport: tr, Timeout: 20 * time.Second}).Get("http://" + addr + Path + query)
	if err == nil {
		r.Cleanup(func() { resp.Body.Close() })
	}
	return resp, err
}

// watch opens one; next reads its next line, passing over empty ones.
func (r *rig) watch(name string, after int64) (next func() (List, error)) {
	resp, err := r.open(name, fmt.Sprintf("?watch=1&after=%d", after)) //nolint:bodyclose // it stays open until the service closes it
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

// get is a plain call.
func (r *rig) get(name, query string) (l List, status int, err error) {
	resp, err := r.open(name, query)
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

func (r *rig) want(what string, l List, err error, index int64, full bool, entries int) {
	r.Helper()
	if err != nil || l.Index != index || l.Full != full || len(l.Entries) != entries {
		r.Fatalf("%s: %+v %v, want version %d, whole %v, %d entries", what, l, err, index, full, entries)
	}
}

// until waits for a condition on the counts of a caller.
func (r *rig) until(what, name string, cond func(Counts) bool) {
	r.Helper()
	for end := time.Now().Add(20 * time.Second); !cond(r.s.Counts(name)); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			r.Fatalf("%s: %+v", what, r.s.Counts(name))
		}
	}
}

// Each mode answers its own calls, the others' as plain ones; a wait ends by a change or its time.
func TestModes(t *testing.T) {
	for _, mode := range []Mode{Push, Poll, Wait} {
		r := newRig(t, Options{Mode: mode, Index: 40, Indent: true, Beat: 5 * time.Millisecond})
		r.s.Put(node("a", Active), node("b", Active))
		l, _, err := r.get("x", "")
		r.want("plain", l, err, 41, true, 2)
		if _, status, _ := r.get("x", "/../other"); status != http.StatusNotFound {
			t.Errorf("another path: %d", status)
		}
		next := r.watch("w", 40)
		if mode != Push {
			if l, _, err = r.get("w", "?watch=1&after=41"); mode == Poll || mode == Wait {
				r.want("a watch where there are none", l, err, 41, true, 2)
			}
		} else {
			l, err = next()
			r.want("first line", l, err, 41, false, 2)
			r.until("beats", "w", func(c Counts) bool { return c.Beats > 2 })
			r.s.Put(node("a", Left))
			l, err = next()
			r.want("change", l, err, 42, false, 1)
			told := r.s.Told("w")
			if len(told) != 3 || told[2].Entry.Status != Left || told[2].Index != 42 || told[2].At.Before(told[0].At) {
				t.Errorf("told %+v", told)
			}
			next = r.watch("w", 7)
			l, err = next()
			r.want("after a version that is not known", l, err, 42, true, 1)
			if told = r.s.Told("w"); len(told) != 4 || told[3].Entry.Name != "b" {
				t.Errorf("told again to one that held less: %+v", told)
			}
		}
		if l, _, err = r.get("x", fmt.Sprintf("?wait=20&after=%d", r.s.Index())); mode == Poll {
			r.want("a wait where there is none", l, err, 41, true, 2)
			continue
		}
		came := make(chan List)
		go func() {
			l, _, _ := r.get("p", fmt.Sprintf("?wait=600000&after=%d", r.s.Index()))
			came <- l
		}()
		r.until("the wait", "p", func(c Counts) bool { return c.Calls == 1 })
		v := r.s.Put(node("c", Leaving))
		if l = <-came; l.Index != v {
			t.Errorf("mode %d: waited for %d, told %d", mode, v, l.Index)
		}
	}
}

// Each fault is seen by the caller that it is for, is counted, and leaves the other caller alone.
func TestFaults(t *testing.T) {
	push := func(t *testing.T) (r *rig, x, y func() (List, error)) {
		r = newRig(t, Options{Beat: 5 * time.Millisecond})
		for _, name := range []string{"a", "b", "c"} {
			r.s.Put(node(name, Active))
		}
		x, y = r.watch("x", 0), r.watch("y", 0)
		for _, next := range []func() (List, error){x, y} {
			l, err := next()
			r.want("at first", l, err, 3, false, 3)
		}
		return r, x, y
	}
	// fine has the other watch take a change, and count beats as a clock that needs no figure.
	fine := func(r *rig, y func() (List, error)) {
		l, err := y()
		r.want("the other", l, err, r.s.Index(), false, 1)
		beats := r.s.Counts("y").Beats
		r.until("beats of the other", "y", func(c Counts) bool { return c.Beats > beats+3 })
	}
	for _, f := range []Fault{{Down: true}, {Silent: true}, {Silent: true, Refuse: true}, {Silent: true, Lost: true}, {Silent: true, Answers: true}} {
		r, x, y := push(t)
		_ = r.s.Set(f, "x")
		r.until("silence", "x", func(c Counts) bool { return c.Downs+c.Silences == 1 })
		lines := r.s.Counts("x").Lines
		r.s.Put(node("a", Leaving))
		fine(r, y)
		if f.Answers {
			l, _, err := r.get("x", "")
			r.want("a call that is new", l, err, 4, true, 3)
		} else {
			came := make(chan error)
			go func() { _, _, err := r.get("x", ""); came <- err }()
			r.until("a call in silence", "x", func(c Counts) bool { return c.Downs+c.Silences == 2 })
			if f.Lost {
				_ = r.s.Up("x")
				r.s.Put(node("b", Leaving))
				fine(r, y)
				r.s.Reset("x") // or they would wait for good
			} else {
				_ = r.s.Up("x")
			}
			if err := <-came; (err != nil) != f.Lost {
				t.Errorf("%+v: the call in silence ended by %v", f, err)
			}
		}
		if n := r.s.Counts("x").Lines; (f.Lost || f.Answers) && n != lines {
			t.Errorf("%+v: %d lines in silence", f, n-lines)
		}
		_ = r.s.Up()
		if l, err := x(); !f.Lost {
			r.want("what was missed", l, err, 4, false, 1)
		} else if !errors.Is(err, syscall.ECONNRESET) || r.s.Counts("x").Resets != 2 {
			t.Errorf("%+v: %+v %v", f, l, err)
		}
	}
	r, x, y := push(t)
	_ = r.s.Late(150*time.Millisecond, "x")
	at := time.Now()
	r.s.Put(node("a", Leaving))
	fine(r, y)
	l, err := x()
	r.want("late", l, err, 4, false, 1)
	if time.Since(at) < 150*time.Millisecond || r.s.Counts("x").Lates != 1 || r.s.Counts("y").Lates != 0 {
		t.Errorf("after %v: %+v", time.Since(at), r.s.Counts("x"))
	}
	_ = r.s.Up()

	r.s.OldList(2, "x")
	l, err = x()
	r.want("old", l, err, 2, true, 2)
	if told := r.s.Told("x"); told[len(told)-2].Entry.Status != Left || told[len(told)-1].Entry.Status != Active || len(told) != 6 {
		t.Errorf("the old list took back: %+v", told)
	}
	r.s.Put(node("b", Leaving))
	l, err = x()
	r.want("after the old", l, err, 5, false, 1)
	fine(r, y)

	r.s.CutHalfway("x")
	r.s.Put(node("c", Leaving))
	fine(r, y)
	if l, err = x(); !errors.Is(err, io.ErrUnexpectedEOF) || len(r.s.Told("x")) != 7 {
		t.Errorf("cut: %+v %v, told %d", l, err, len(r.s.Told("x")))
	}
	r.s.CutHalfway("x")
	if _, _, err = r.get("x", ""); !errors.Is(err, io.ErrUnexpectedEOF) {
		t.Errorf("cut: %v", err)
	}

	_ = r.s.Refuse("x")
	if _, status, _ := r.get("x", ""); status != http.StatusServiceUnavailable {
		t.Errorf("refused: %d", status)
	}
	if n := r.s.Say("nonsense"); n != 1 {
		t.Errorf("said on %d watches", n)
	}
	if _, err = y(); err == nil {
		t.Error("nonsense was read as a list")
	}
	r.s.Reset("y")
	for err = nil; err == nil; _, err = y() {
	}
	r.until("the ends", "y", func(c Counts) bool { return c.Open == 0 })
	if c := r.s.Counts("x"); c.Olds != 1 || c.Cuts != 2 || c.Refused != 1 || c.Failed != 1 || c.Open != 0 {
		t.Errorf("%+v", c)
	}
	if c := r.s.Counts("y"); c.Resets != 1 || c.Said != 1 || c.Olds+c.Cuts+c.Refused != 0 || !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("%+v %v", c, err)
	}

	r = newRig(t, Options{Mode: Poll})
	_ = r.s.Down("x")
	if _, _, err = r.get("x", ""); err == nil || r.s.Counts("x").Downs != 1 {
		t.Errorf("down: %v %+v", err, r.s.Counts("x"))
	}
	if _, _, err = r.get("y", ""); err != nil {
		t.Error(err)
	}

	for f, want := range map[Fault]error{{Reset: true}: syscall.ECONNRESET, {Shut: true}: syscall.ECONNREFUSED} {
		r, x, y := push(t)
		at, _ := r.s.AddrFor("x")
		set := func(f Fault) {
			if err := r.s.Set(f, "x"); err != nil {
				t.Error(err)
			}
		}
		set(f)
		set(f)
		if l, err := x(); !errors.Is(err, syscall.ECONNRESET) {
			t.Errorf("%+v: its watch: %+v %v", f, l, err)
		}
		if _, _, err := r.get("x", ""); !errors.Is(err, want) {
			t.Errorf("%+v: a call: %v", f, err)
		}
		if c := r.s.Counts("x"); c.Downs < c.Came || f.Shut != (c.Came == 1) {
			t.Errorf("%+v: %+v", f, c)
		}
		r.s.Put(node("a", Leaving))
		fine(r, y)
		set(Fault{})
		if again, err := r.s.AddrFor("x"); again != at || err != nil {
			t.Errorf("%+v: it was at %s and is at %s, %v", f, at, again, err)
		}
		if l, _, err := r.get("x", ""); err != nil || l.Index != 4 {
			t.Errorf("%+v: when it is over: %+v %v", f, l, err)
		}
		_ = r.s.Set(Fault{Shut: true})
		if nc, err := net.Dial("tcp", r.s.Addr()); !errors.Is(err, syscall.ECONNREFUSED) {
			t.Errorf("all are shut, and one is not: %v %v", nc, err)
		}
		if at, err := r.s.AddrFor("new"); err != nil {
			t.Error(err)
		} else if _, err = net.Dial("tcp", at); !errors.Is(err, syscall.ECONNREFUSED) {
			t.Errorf("one that came later is not shut: %v", err)
		}
	}
}

// What comes at once before a small capacity is served, fails by waiting, or finds the queue full.
func TestCapacity(t *testing.T) {
	r := newRig(t, Options{Mode: Poll, Capacity: 2, Patience: time.Millisecond, Queue: 2})
	var wg sync.WaitGroup
	for i := range 8 {
		wg.Go(func() { _, _, _ = r.get(fmt.Sprint(i%2), "") })
	}
	wg.Wait()
	c := r.s.Counts()
	if c.Calls != 8 || c.Served == 0 || c.TooLong == 0 || c.Full == 0 || c.Waited != c.TooLong || c.Served+c.Failed != 8 || c.Failed != c.TooLong+c.Full {
		t.Errorf("%+v", c)
	}
	if a, b := r.s.Counts("0"), r.s.Counts("1"); a.Calls != 4 || b.Calls != 4 {
		t.Errorf("%+v %+v", a, b)
	}

	// Two services share one: of eight calls, four at each, no more are served than of eight at one.
	one, err := NewCapacity(Options{Capacity: 2, Patience: time.Millisecond, Queue: 2})
	if err != nil {
		t.Fatal(err)
	}
	both := []*rig{newRig(t, Options{Mode: Poll, Shared: one}), newRig(t, Options{Mode: Poll, Shared: one})}
	for i := range 8 {
		wg.Go(func() { _, _, _ = both[i%2].get("x", "") })
	}
	wg.Wait()
	a, b := both[0].s.Counts(), both[1].s.Counts()
	if l := one.Load(); l.Calls != 8 || l.Refused != a.Failed+b.Failed || a.Full+b.Full == 0 || a.Calls != 4 || b.Calls != 4 || l.Peak < 3 || l.Peak > 8 {
		t.Errorf("%+v, %+v and %+v", l, a, b)
	}
}

// What grows has a bound, and the errors have codes.
func TestBounds(t *testing.T) {
	r := newRig(t, Options{Callers: 2, Tolds: 2, Keep: 4})
	for i := range 10 {
		r.s.Put(node(fmt.Sprint(i), Active))
	}
	_, _, _ = r.get("x", "")
	if told := r.s.Told("x"); len(told) != 2 || told[1].Entry.Name != "9" || r.s.Counts("x").Forgotten != 8 {
		t.Errorf("%+v", told)
	}
	_, _ = r.s.AddrFor("y")
	_, many := r.s.AddrFor("z")
	if resp, err := http.Get("http://" + r.s.Addr() + Path); err == nil {
		resp.Body.Close()
	}
	if names := strings.Join(r.s.Callers(), " "); names != "others x y" || r.s.Counts(Others).Calls != 1 {
		t.Error(names)
	}
	r.s.Close()
	_, closed := r.s.AddrFor("w")
	_, bad := New(Options{Queue: -1})
	var all []operr.Coded
	for _, err := range []error{many, closed, bad} {
		if c := operr.Coded(nil); errors.As(err, &c) {
			all = append(all, c)
		}
	}
	if err := operr.Check(all); err != nil || len(all) != 3 {
		t.Error(all, err)
	}
}
