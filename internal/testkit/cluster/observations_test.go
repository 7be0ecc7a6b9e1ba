package cluster

import (
	"encoding/json"
	"errors"
	"io/fs"
	"maps"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/tidwall/gjson"

	"wheatsaddle/internal/nodestats"
)

// writeSite replaces sections in the site file of a daemon that is about to start.
func writeSite(f *Fleet, i int, sections map[string]any) error {
	file := filepath.Join(f.Dir(i), "site.json")
	text, err := os.ReadFile(file)
	if err != nil && !errors.Is(err, fs.ErrNotExist) {
		return err
	}
	all, _ := gjson.ParseBytes(text).Value().(map[string]any)
	if all == nil {
		all = map[string]any{}
	}
	maps.Copy(all, sections)
	if text, err = json.Marshal(all); err != nil {
		return err
	}
	return os.WriteFile(file, text, 0o600)
}

// viewsByKey returns the views of the peer's state, by their keys.
func (s *testPeer) viewsByKey() map[nodestats.Key]nodestats.View {
	s.mu.Lock()
	defer s.mu.Unlock()
	all := map[nodestats.Key]nodestats.View{}
	for _, v := range s.state.Views(time.Since(s.start)) {
		all[v.Key] = v
	}
	return all
}

// Daemons report to their peers the hardware type of each node, from the site file, and its window, which is absent for a node
// that gets no new requests. All daemons count a daemon whose list is silent as behind until it has received the list.
func TestNodeObservationsReachPeers(t *testing.T) {
	w := &gossipFixture{}
	w.fixture, w.metrics = newGossipFixture(t, Options{Args: func(f *Fleet, i int) []string {
		if err := writeSite(f, i, map[string]any{"estimate": map[string]any{"types": map[string]any{"s*": "disk", "s1": "flash"}}}); err != nil {
			t.Error(err)
		}
		return nil
	}})
	w.startTraffic()
	w.waitServed(minServed)
	s := w.newTestPeer("s", w.allDaemons()...)
	node := func(name string) (v nodestats.View) {
		w.waitAllOrigins(s)
		for k, x := range s.viewsByKey() {
			if k.Node == name && k.Class == "" {
				v = x
			}
		}
		return v
	}
	w.waitUntil("all daemons report both nodes", func() bool {
		a, b := node("s0"), node("s1")
		return a.Type == "disk" && b.Type == "flash" && a.Origins == 3 && b.Origins == 3 && a.Window >= 1 && b.Window >= 1
	})
	if e := w.estimate(0, "s1"); e.Get("work.0.type").Str != "flash" {
		t.Error(e)
	}

	w.must(w.SetNodeStatus(0, "leaving"))
	w.waitUntil("a leaving node has no window", func() bool { return node("s0").Window == 0 })
	w.must(w.SetNodeStatus(0, "active"))
	w.waitUntil("the node has a window again", func() bool { return node("s0").Window >= 1 })

	version := float64(w.fakeListOf(0).Service.Index()) // of the other lists too
	w.waitMetric("peers_list_oldest_version", func(_ int, v float64) bool { return v == version })
	w.must(w.SetListFault(2, ListSilent))
	w.must(w.SetNodeStatus(1, "leaving"))
	w.waitMetric("peers_list_processes_behind", func(_ int, v float64) bool { return v == 1 })
	w.waitMetric("peers_list_processes", func(_ int, v float64) bool { return v == 3 })
	for i := range w.opt.Daemons {
		if oldest, newest := w.metric(i, "peers_list_oldest_version"), w.metric(i, "peers_list_newest_version"); oldest != version || newest != version+1 {
			t.Errorf("daemon %d reports list versions from %v to %v, expected from %v to the next one", i, oldest, newest, version)
		}
	}
	w.must(w.SetListFault(2, ListHealthy))
	w.waitMetric("peers_list_processes_behind", func(_ int, v float64) bool { return v == 0 })
	w.stopAndAudit()
}
