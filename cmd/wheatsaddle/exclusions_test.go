package main

import (
	"os"
	"path/filepath"
	"testing"

	logtest "github.com/sirupsen/logrus/hooks/test"

	"wheatsaddle/internal/address"
	"wheatsaddle/internal/core"
	"wheatsaddle/internal/exclusion/store"
	"wheatsaddle/policy"
)

// newSyncer returns a syncer of a process that lists the nodes a and b, with its file in a folder.
func newSyncer(t *testing.T, folder string) *exclusionSyncer {
	t.Helper()
	log, _ := logtest.NewNullLogger()
	settings := policy.Settings{Schedulers: 1, MaxAttempts: 1, Classes: []policy.Class{{Name: "read", LatencyObjective: 100, Deadline: 200}},
		Plans: []policy.Plan{{Name: "basic"}}}
	c, err := core.New(core.Options{Settings: settings, Log: log,
		NewNodeClient: func(string, []address.Addr) core.NodeClient { return idleNode{} }})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.Stop)
	c.UpdateList(core.ListUpdate{Kind: policy.ListReceived, Nodes: []core.Node{{Node: policy.Node{ID: "a"}}, {Node: policy.Node{ID: "b"}}}})
	c.OpenRequests() // returns once the list was applied
	return &exclusionSyncer{store: store.InDirectory(folder, "n3"), core: c, log: log}
}

// expectStored checks which nodes the file in a folder excludes.
func expectStored(t *testing.T, folder string, nodes ...string) {
	t.Helper()
	state, err := store.InDirectory(folder, "n3").Read()
	if err != nil {
		t.Fatal(err)
	}
	if len(state.Excluded) != len(nodes) {
		t.Errorf("stored: %v, want %v", state.Excluded, nodes)
	}
	for _, node := range nodes {
		if _, ok := state.Excluded[node]; !ok {
			t.Errorf("%s is not stored as excluded: %v", node, state.Excluded)
		}
	}
}

// Guards against an exclusion that an operator was confirmed and that is lost at the next start, because the folder failed at the time
// of the call: it is stored when the folder works again, beside what another process has stored meanwhile.
func TestExclusionIsStoredOnceTheFolderWorks(t *testing.T) {
	folder := filepath.Join(t.TempDir(), "missing")
	k := newSyncer(t, folder)
	if err := k.exclude("a"); err != nil {
		t.Fatal(err)
	}
	k.poll()
	if err := os.Mkdir(folder, 0o700); err != nil {
		t.Fatal(err)
	}
	if err := newSyncer(t, folder).exclude("b"); err != nil {
		t.Fatal(err)
	}
	k.poll()
	expectStored(t, folder, "a", "b")
	if len(k.owed) > 0 {
		t.Errorf("%d calls are owed after they were stored", len(k.owed))
	}
}

// Guards against stored exclusions that are overwritten, or ignored until the next start, because the file could not be read for a
// while.
func TestUnreadableExclusionsAreReadAgain(t *testing.T) {
	folder := t.TempDir()
	if err := newSyncer(t, folder).exclude("b"); err != nil {
		t.Fatal(err)
	}
	k := newSyncer(t, folder)
	path := k.store.Path
	if err := os.Rename(path, path+".away"); err != nil {
		t.Fatal(err)
	}
	if err := os.Mkdir(path, 0o700); err != nil { // it can be opened and not read
		t.Fatal(err)
	}
	if err := k.exclude("a"); err != nil {
		t.Fatal(err)
	}
	k.poll()
	if err := os.Remove(path); err != nil {
		t.Fatal(err)
	}
	if err := os.Rename(path+".away", path); err != nil {
		t.Fatal(err)
	}
	k.poll()
	expectStored(t, folder, "a", "b")
}
