package discovery

import (
	"fmt"
	"testing"

	"wheatsaddle/internal/core"
	"wheatsaddle/policy"
)

// An invalid entry of a full list does not remove its own node and does not hide the removal of another node.
func TestFullListWithInvalidEntry(t *testing.T) {
	entry := func(name, status string) string {
		return fmt.Sprintf(`{"name":%q,"address":"127.0.0.1:1","group":0,"status":%q}`, name, status)
	}
	for _, tc := range []struct{ invalid, removed string }{{entry("b", "odd"), "c"}, {`7`, ""}} {
		w := &Watcher{}
		var update core.ListUpdate
		for _, text := range []string{listText(1, true, entry("a", "active"), entry("b", "active"), entry("c", "active")), listText(2, true, entry("a", "leaving"), tc.invalid)} {
			list, err := Decode([]byte(text))
			if err != nil {
				t.Fatal(err)
			}
			update = w.applyList(list)
		}
		removed := ""
		for _, node := range update.Nodes {
			if node.State == policy.NodeRemoved {
				removed += node.ID
			}
		}
		if update.Kind != policy.ListChanged || removed != tc.removed || len(w.nodes) != 3-len(removed) {
			t.Errorf("invalid entry %s: wrong nodes are removed: update %+v, nodes %v", tc.invalid, update, w.nodes)
		}
	}
}

// A full list older than the current version comes from a source that lags or has restarted its versions. It is applied,
// and so are the changes after it. It ends no drain and restores no removed node, unless the node has restarted. Later
// changes are applied unmodified.
func TestOlderSnapshotKeepsDrainsAndRemovals(t *testing.T) {
	service := newScriptedService(t)
	watcher := startWatcher(t, &Watcher{Address: service.Addr().String(), Timer: pushedSettings})
	expect := func(what, want string) {
		t.Helper()
		if update := receiveWithin(t, what, watcher.updates); statesOf(update) != want {
			t.Fatalf("%s: update %q, want %q", what, statesOf(update), want)
		}
	}
	call := service.call(t, 0)
	call.respond(listText(8, true, entryText("a", "active", 1), entryText("b", "active", 1), entryText("c", "leaving", 1), entryText("d", "active", 1)),
		listText(9, false, entryText("a", "leaving", 1), entryText("b", "left", 1)))
	expect("the first list", "a:up b:up c:draining d:up")
	expect("the drain", "a:draining b:removed")
	call.reset()
	expect("the reset", "")
	watcher.advance(pushedRetryInterval)
	call = service.call(t, 9)
	call.respond(listText(3, true, entryText("a", "active", 1), entryText("b", "active", 1), entryText("c", "active", 2), entryText("d", "active", 1)))
	expect("an older list", "a:draining c:up d:up")
	call.lines(listText(4, false, entryText("d", "leaving", 1)))
	expect("the change after it", "d:draining")
	call.lines(listText(5, false, entryText("a", "active", 1)))
	expect("the end of the drain", "a:up")
	call.reset()
	expect("the reset", "")
	watcher.advance(pushedRetryInterval)
	service.call(t, 5).respond(listText(6, true, entryText("b", "active", 1), entryText("d", "leaving", 1)))
	expect("a later full list, which lacks nodes", "b:up d:draining")
}

// A node of the cached list may be removed while the list service is down. The removal is reported whether it arrives as a
// change, as a full list without the node, or as such a list with an invalid entry.
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
		service := newScriptedService(t)
		watcher := startWatcher(t, &Watcher{Address: service.Addr().String(), Version: cached.Version, CachedNodes: cached.Nodes, Timer: pushedSettings})
		service.call(t, 40).respond(text)
		if update := receiveWithin(t, "the list", watcher.updates); statesOf(update) != want || (update.Kind == policy.ListReceived) != (want == "a:up") {
			t.Errorf("update %+v, want %s", update, want)
		}
	}
}
