package discovery

import (
	"fmt"
	"testing"

	"wheatsaddle/internal/core"
	"wheatsaddle/policy"
)

// An invalid entry of a snapshot neither removes its own node nor hides the removal of another.
func TestSnapshotWithInvalidEntry(t *testing.T) {
	at := func(name, status string) string {
		return fmt.Sprintf(`{"name":%q,"address":"127.0.0.1:1","group":0,"status":%q}`, name, status)
	}
	for _, x := range []struct{ invalid, removed string }{{at("b", "odd"), "c"}, {`7`, ""}} {
		w := &Watcher{}
		var update core.ListUpdate
		for _, text := range []string{listText(1, true, at("a", "active"), at("b", "active"), at("c", "active")), listText(2, true, at("a", "leaving"), x.invalid)} {
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
		if update.Kind != policy.ListChanged || removed != x.removed || len(w.nodes) != 3-len(removed) {
			t.Errorf("invalid %s: %+v, nodes %v", x.invalid, update, w.nodes)
		}
	}
}

// A full list older than the current version, from a source that lags or has restarted its versions, is applied, and so
// are the changes after it. It ends no drain and restores no removed node, unless the node has restarted. Later changes
// apply as they are.
func TestOlderSnapshotKeepsDrainsAndRemovals(t *testing.T) {
	s := newScriptedService(t)
	p := startWatcher(t, &Watcher{Address: s.Addr().String(), Timer: pushedSettings})
	expect := func(what, want string) {
		t.Helper()
		if n := receiveWithin(t, what, p.updates); statesOf(n) != want {
			t.Fatalf("%s: update %q, want %q", what, statesOf(n), want)
		}
	}
	c := s.call(t, 0)
	c.begin(listText(8, true, entryText("a", "active", 1), entryText("b", "active", 1), entryText("c", "leaving", 1), entryText("d", "active", 1)),
		listText(9, false, entryText("a", "leaving", 1), entryText("b", "left", 1)))
	expect("the first list", "a:up b:up c:draining d:up")
	expect("the drain", "a:draining b:removed")
	c.reset()
	expect("the reset", "")
	p.advance(pushedRetryInterval)
	c = s.call(t, 9)
	c.begin(listText(3, true, entryText("a", "active", 1), entryText("b", "active", 1), entryText("c", "active", 2), entryText("d", "active", 1)))
	expect("an older list", "a:draining c:up d:up")
	c.lines(listText(4, false, entryText("d", "leaving", 1)))
	expect("the change after it", "d:draining")
	c.lines(listText(5, false, entryText("a", "active", 1)))
	expect("the end of the drain", "a:up")
	c.reset()
	expect("the reset", "")
	p.advance(pushedRetryInterval)
	s.call(t, 5).begin(listText(6, true, entryText("b", "active", 1), entryText("d", "leaving", 1)))
	expect("a later full list, which lacks nodes", "b:up d:draining")
}

// A node of the cached list that was removed while discovery was down is reported as removed: by a change, by a full
// list without it, and by a full list with an invalid entry.
func TestCachedNodeRemovedWhileDown(t *testing.T) {
	for text, want := range map[string]string{
		listText(45, false, entryText("b", "left", 0)):                                     "b:removed",
		listText(45, true, entryText("a", "active", 0)):                                    "a:up",
		listText(45, true, entryText("a", "active", 0), entryText("c", "no such word", 0)): "a:up b:removed",
	} {
		cached, err := Decode([]byte(listText(40, true, entryText("a", "active", 0), entryText("b", "active", 0))))
		if err != nil {
			t.Fatal(err)
		}
		s := newScriptedService(t)
		p := startWatcher(t, &Watcher{Address: s.Addr().String(), Version: cached.Version, CachedNodes: cached.Nodes, Timer: pushedSettings})
		s.call(t, 40).begin(text)
		if n := receiveWithin(t, "the list", p.updates); statesOf(n) != want || (n.Kind == policy.ListReceived) != (want == "a:up") {
			t.Errorf("update %+v, want %s", n, want)
		}
	}
}
