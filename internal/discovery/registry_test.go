package discovery

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	logtest "github.com/sirupsen/logrus/hooks/test"
	"pgregory.net/rapid"

	"wheatsaddle/internal/core"
	"wheatsaddle/internal/discovery/watchtimer"
	"wheatsaddle/internal/testkit/fake/discovery"
	"wheatsaddle/internal/testkit/rapidtest"
	"wheatsaddle/policy"
)

func TestMain(m *testing.M) { rapidtest.Main(m) }

const sampleEntry = `{"name":"s-1","address":"127.0.0.1:8443","zone":"a","type":"m2","group":3,"status":"leaving","weight":2.0,"since_ms":1700000000000}`

func listText(index int, full bool, entries ...string) string {
	return fmt.Sprintf(`{"index":%d,"snapshot":%v,"endpoints":[%s]}`, index, full, strings.Join(entries, ","))
}

func TestDecode(t *testing.T) {
	l, err := Decode([]byte(listText(43, true, sampleEntry)))
	n := l.Nodes[0]
	if err != nil || l.Version != 43 || !l.Full || n.ID != "s-1" || n.Shard != 3 || n.State != policy.NodeDraining || n.Weight != 2 ||
		n.StartTime != 1.7e12 || fmt.Sprint(n.Addresses) != "[127.0.0.1:8443]" || n.Zone != "a" {
		t.Errorf("%+v %v", l, err)
	}
	// a bad entry is named and left out
	for bad, word := range map[string]string{`7`: "object", `{"name":""}`: "name", strings.Replace(sampleEntry, "leaving", "gone", 1): "status",
		strings.Replace(sampleEntry, "127.0.0.1:8443", "here", 1): "address", strings.Replace(sampleEntry, "3,", `"x",`, 1): "group"} {
		l, err = Decode([]byte(listText(44, true, bad, sampleEntry)))
		if err != nil || len(l.Nodes) != 1 || len(l.InvalidEntries) != 1 || !strings.Contains(l.InvalidEntries[0].Error(), word) ||
			!strings.Contains(l.InvalidEntries[0].Error(), "endpoints.0") {
			t.Errorf("%s: %+v %v", bad, l, err)
		}
	}
	for bad, word := range map[string]string{`{`: "JSON", `{"endpoints":[]}`: "index", `{"index":1}`: "endpoints", `[]`: "index"} {
		if _, err := Decode([]byte(bad)); err == nil || !strings.Contains(err.Error(), word) {
			t.Errorf("%s: %v", bad, err)
		}
	}
}

// One bad entry of a snapshot takes neither its own node away nor hides another's leaving.
func TestSnapshotWithInvalidEntry(t *testing.T) {
	at := func(name, status string) string {
		return fmt.Sprintf(`{"name":%q,"address":"127.0.0.1:1","group":0,"status":%q}`, name, status)
	}
	for _, x := range []struct{ bad, gone string }{{at("b", "odd"), "c"}, {`7`, ""}} {
		w := &Watcher{}
		var update core.ListUpdate
		for _, text := range []string{listText(1, true, at("a", "active"), at("b", "active"), at("c", "active")), listText(2, true, at("a", "leaving"), x.bad)} {
			l, err := Decode([]byte(text))
			if err != nil {
				t.Fatal(err)
			}
			update = w.applyList(l)
		}
		removed := ""
		for _, n := range update.Nodes {
			if n.State == policy.NodeRemoved {
				removed += n.ID
			}
		}
		if update.Kind != policy.ListChanged || removed != x.gone || len(w.nodes) != 3-len(removed) {
			t.Errorf("bad %s: %+v, held %v", x.bad, update, w.nodes)
		}
	}
}

func TestDecodeCorruptList(t *testing.T) {
	complete := listText(43, true, sampleEntry, sampleEntry)
	rapid.Check(t, func(rt *rapid.T) {
		if _, err := Decode([]byte(complete[:rapid.IntRange(0, len(complete)-1).Draw(rt, "cut")])); err == nil {
			rt.Fatal("a cut list passed")
		}
		b := []byte(complete)
		for range rapid.IntRange(1, 5).Draw(rt, "edits") {
			b[rapid.IntRange(0, len(b)-1).Draw(rt, "at")] = rapid.Byte().Draw(rt, "byte")
		}
		l, err := Decode(b)
		for _, n := range l.Nodes {
			if err != nil || n.ID == "" || n.Shard < 0 {
				rt.Fatalf("%+v %v", n, err)
			}
		}
	})
}

var sampleNode = discovery.Entry{Name: "s-1", Address: "127.0.0.1:8443", Group: 3, Status: discovery.Active, Weight: 2}

// newListService is the stand-in, with one node listed at version index+1, and what was asked of it.
func newListService(t *testing.T, index int64) (s *discovery.Service, requests chan string) {
	requests = make(chan string, 100)
	s, err := discovery.New(discovery.Options{Index: index, Beat: time.Hour, Heard: func(_, uri string) { requests <- uri }})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	s.Put(sampleNode)
	return s, requests
}

// loggedCodes are the codes of what was logged at warn and above; each line has one, and an advice.
func loggedCodes(t *testing.T, hook *logtest.Hook) (all []string) {
	t.Helper()
	for _, e := range hook.AllEntries() {
		if e.Level > logrus.WarnLevel {
			continue
		}
		code, _ := e.Data["code"].(string)
		if advice, _ := e.Data["advice"].(string); code == "" || advice == "" {
			t.Errorf("%q %v has no code or no advice", e.Message, e.Data)
		}
		all = append(all, code)
	}
	return all
}

// Guards the list through what can happen to a watch: its end, silence past the beat, and a
// bad line, after none of which anything told is lost or told twice.
func TestWatchSurvivesFaults(t *testing.T) {
	s, requests := newListService(t, 40)
	p := startWatcher(t, &Watcher{Address: s.Addr(), Version: 7, Timer: watchtimer.Settings{Pushed: true}})
	const every = 100 * time.Millisecond // past it an agent that ended its call is asked again
	full, change, failed := policy.ListReceived, policy.ListChanged, policy.ListFailed
	for i, x := range []struct {
		do   func()
		want policy.EventKind
	}{
		{func() {}, full}, {func() { s.Put(sampleNode) }, change},
		{func() { s.Reset() }, failed}, {func() { p.advance(every); s.Put(sampleNode) }, change},
		{func() {
			s.Set(discovery.Fault{Silent: true, Answers: true})
			p.advance(watchtimer.PushedSilenceTimeout)
		}, change}, // the first line of a watch opened beside the silent one
		{func() { s.Say("nonsense"); s.Put(sampleNode) }, failed}, {func() { p.advance(every) }, change}, // nothing after a bad line is believed on its connection
	} {
		x.do()
		if n := <-p.updates; n.Kind != x.want {
			t.Fatalf("%d: %+v, want kind %v", i, n, x.want)
		}
	}
	for _, want := range []string{"7", "42", "43", "43"} {
		if uri := <-requests; uri != watchPath+"?watch=1&after="+want {
			t.Errorf("asked %s, want after=%s", uri, want)
		}
	}
	p.stop()
	codes := loggedCodes(t, p.hook)
	if !slices.Contains(codes, "list-malformed") || !slices.Contains(codes, "list-call") {
		t.Errorf("said %v", codes)
	}
}

// Guards the list through a move of discovery: the old watch counts until the new one speaks,
// an address that does not answer costs nothing, and what lags behind takes nothing back.
func TestAddressChange(t *testing.T) {
	old, _ := newListService(t, 40)
	later, requests := newListService(t, 40)
	w := &Watcher{Address: old.Addr(), Timer: watchtimer.Settings{Pushed: true}}
	p := startWatcher(t, w)
	ctx, updates := p.ctx, p.updates
	<-updates
	if !w.SetAddress(ctx, "127.0.0.1:1") || !w.SetAddress(ctx, later.Addr()) {
		t.Error("the move was not taken")
	}
	<-updates // it speaks
	later.Say(listText(40, false, sampleEntry))
	later.Put(sampleNode)
	if n := <-updates; n.Kind != policy.ListChanged || n.Nodes[0].State != policy.NodeUp {
		t.Errorf("%+v, want the change of the new watch", n)
	}
	if uri := <-requests; uri != watchPath+"?watch=1&after=41" {
		t.Errorf("asked %s", uri)
	}
	p.stop()
	if w.Version != 42 || len(w.calls) != 1 || len(updates) != 0 {
		t.Errorf("index %d, %d calls open, %d more news", w.Version, len(w.calls), len(updates))
	}
	if w.SetAddress(ctx, old.Addr()) {
		t.Error("a watcher that ended took a move")
	}
}

// An entry may name several addresses. A bad one is named and left out, and the node stays; an
// entry with none that can be used is left out like any bad entry.
func TestAddresses(t *testing.T) {
	for _, x := range []struct{ fields, want, partly, bad string }{
		{`"address":"127.0.0.1:1"`, "[127.0.0.1:1]", "", ""},
		{`"address":"127.0.0.1:1","addresses":["unix:/run/a","[::1]:1"]`, "[unix:/run/a [::1]:1 127.0.0.1:1]", "", ""},
		{`"addresses":["unix:/run/a","[::1]:1"]`, "[unix:/run/a [::1]:1]", "", ""},
		{`"address":"[::1]:1","addresses":["unix:/run/a","[0::1]:1"]`, "[unix:/run/a [::1]:1]", "", ""},
		{`"address":"127.0.0.1:1","addresses":["unix:a",7,"127.0.0.1:1","[::ffff:127.0.0.1]:1"]`, "[127.0.0.1:1]",
			`addresses.1: not text|addresses.0 ("unix:a"): path: not absolute|the same as "127.0.0.1:1"`, ""},
		{`"address":"what","addresses":["unix:/run/a"]`, "[unix:/run/a]", `address: "what": neither host:port`, ""},
		{`"address":"127.0.0.1:1","addresses":"unix:/run/a"`, "", "", "addresses: not a list"},
		{`"address":"what","addresses":[]`, "", "", "none of them can be used"},
		{`"address":"127.0.0.1:0"`, "", "", `address: "127.0.0.1:0": port`},
	} {
		l, err := Decode([]byte(`{"index":1,"snapshot":true,"endpoints":[{"name":"n","group":0,"status":"active",` + x.fields + `}]}`))
		if err != nil {
			t.Fatal(err)
		}
		got, partly, bad := "", "", ""
		if len(l.Nodes) == 1 {
			got = fmt.Sprint(l.Nodes[0].Addresses)
		}
		for _, e := range l.InvalidAddresses {
			partly += e.Error() + "\n"
		}
		for _, e := range l.InvalidEntries {
			bad += e.Error() + "\n"
		}
		if got != x.want || !strings.Contains(bad, x.bad) || (x.bad == "") != (bad == "") || (x.partly == "") != (partly == "") {
			t.Errorf("%s: %s, partly %q, bad %q", x.fields, got, partly, bad)
		}
		for _, part := range strings.Split(x.partly, "|") {
			if !strings.Contains(partly, part) {
				t.Errorf("%s: %q is not named in %q", x.fields, part, partly)
			}
		}
	}
}

// A watch that is turned away is opened again. Meanwhile the list that is held stays: it is said once
// that the watch ended. The list that comes is indented, over several lines; an older one after it on
// the same watch takes nothing back.
func TestRejectedWatchIsReopened(t *testing.T) {
	s, err := discovery.New(discovery.Options{Index: 8, IndentWatch: true})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	s.Put(sampleNode)
	s.Refuse()
	p := startWatcher(t, &Watcher{Address: s.Addr(), Timer: watchtimer.Settings{Pushed: true}})
	updates := p.updates
	if n := <-updates; n.Kind != policy.ListFailed {
		t.Errorf("told %+v first", n)
	}
	if codes := loggedCodes(t, p.hook); !slices.Equal(codes, []string{"list-refused"}) {
		t.Errorf("said %v", codes)
	}
	s.Up()
	p.advance(30 * time.Second) // past the wait after a call that was turned away
	if n := <-updates; n.Kind != policy.ListReceived || len(n.Nodes) != 1 {
		t.Errorf("told %+v once the list came", n)
	}
	s.Say(listText(8, true))
	draining := sampleNode
	draining.Status = discovery.Leaving
	s.Put(draining)
	if n := <-updates; n.Kind != policy.ListChanged || n.Nodes[0].State != policy.NodeDraining {
		t.Errorf("told %+v, want the change after the old list", n)
	}
}
