package cluster

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"

	"wheatsaddle/internal/testkit/fake/link"
)

// previousCommit is the version in service before comments, names and texts were reworded throughout. What it stores and
// sends has to be understood by this version, and the other way round.
const previousCommit = "cb6334f9c4b2c953f51c284076231b4b2695ce50"

// previousDaemon builds the daemon of previousCommit from the repository's own history, once for all tests. It skips the test
// if the history does not contain that commit; the packages' tests on recorded bytes and files still check the formats then.
func previousDaemon(t *testing.T) string {
	t.Helper()
	path, err := buildPrevious()
	if err != nil {
		t.Fatal(err)
	}
	if path == "" {
		t.Skip("the repository's history does not reach back to the previous version")
	}
	return path
}

var buildPrevious = sync.OnceValues(func() (string, error) {
	if exec.Command("git", "cat-file", "-e", previousCommit+"^{commit}").Run() != nil {
		return "", nil
	}
	dir, err := os.MkdirTemp("", "previous")
	if err != nil {
		return "", err
	}
	previousDir = dir
	top, err := exec.Command("git", "rev-parse", "--show-toplevel").Output()
	if err != nil {
		return "", err
	}
	const script = `git -C "$0" archive "$1" | tar -x -C "$2" && cd "$2" && go build -o wheatsaddle-previous ./cmd/wheatsaddle`
	build := exec.Command("bash", "-c", "set -o pipefail; "+script, string(top[:len(top)-1]), previousCommit, dir)
	if out, err := build.CombinedOutput(); err != nil {
		return "", fmt.Errorf("the previous version cannot be built: %w\n%s", err, out)
	}
	return filepath.Join(dir, "wheatsaddle-previous"), nil
})

var previousDir string // created by buildPrevious; "": none

// A process of the previous version and one of this version take over the passed socket from each other under load, in
// both directions, and no request is lost. A node that an operator excluded stays excluded, as each version reads the exclusions
// that the other one stored.
func TestSocketHandoverBetweenVersions(t *testing.T) {
	previous := previousDaemon(t)
	r := &handoverFixture{fixture: newFixture(t, Options{Daemons: 1, Direct: true, Admin: true, PassedSockets: true, Settings: shortSlowStart})}
	r.active = r.Proc(0)
	r.startTraffic()
	r.waitServed(minServed)
	r.callAdmin(r.active, "PUT", "/api/exclude?who=s0")
	excludedFrom := r.Fleet.now() + r.Rules().Grace + auditSlack
	r.waitUntil("the exclusion applies", func() bool { return r.Fleet.now() > excludedFrom })
	for _, daemon := range []string{previous, r.opt.Daemon, previous} { // the first process is of this version
		next, err := r.StartReplacement(0, func(p *Proc) { p.daemon = daemon })
		r.must(err)
		r.must(r.Wait(r.ctx, next.Name+" is ready", next.Ready))
		r.waitServed(minServed)
		r.must(r.active.Signal(syscall.SIGTERM))
		r.must(r.active.Wait(r.ctx))
		r.waitServed(minServed)
		r.callAdmin(next, "GET", "/api/ready")
		r.active = next
	}
	includedAt := r.Fleet.now()
	for _, s := range r.History().Attempts {
		if s.Node == "s0" && s.FirstByte > excludedFrom && s.FirstByte < includedAt {
			t.Errorf("%s was sent to s0 at %v, excluded since %v", s.ID, s.FirstByte, excludedFrom)
		}
	}
	r.callAdmin(r.active, "PUT", "/api/include?who=s0")
	before := r.Node(0).Counts().Executions
	r.waitUntil("s0 serves again", func() bool { return r.Node(0).Counts().Executions > before })
	r.stopAndAudit()
}

// Processes of both versions gossip with each other, and one of each version starts from the snapshot that one of the
// other hands over.
func TestGossipBetweenVersions(t *testing.T) {
	previous := previousDaemon(t)
	const older, newer, third = 1, 0, 2 // daemons; the third is of this version, too
	for _, x := range []struct {
		name             string
		starting, giving int
	}{
		{"this version starts from the previous one's snapshot", newer, older},
		{"the previous version starts from this one's snapshot", older, newer},
	} {
		t.Run(x.name, func(t *testing.T) {
			s := newStartupFixture(t, Options{ListInConfig: true}, nil, nil, true)
			s.Proc(older).daemon = previous
			s.launchDaemons(s.allDaemons()...)
			s.startTraffic()
			file := func(i int) string { return filepath.Join(s.Dir(i), "learned") }
			s.waitEach("its startup is complete", func(i int) bool { _, err := os.Stat(file(i)); return err == nil })
			s.waitMetric("peers_members", func(_ int, v float64) bool { return v == 3 })
			s.waitMetric("peers_list_processes", func(_ int, v float64) bool { return v == 3 })
			s.must(s.Suspend(third)) // so that only the other version can hand over a snapshot
			s.killDaemon(x.starting)
			s.must(os.Remove(file(x.starting)))
			s.restartNodes(0, 2)
			s.launchDaemons(x.starting)
			s.waitUntil("it takes the other version's snapshot", func() bool {
				return s.listens(x.starting) && s.metric(x.starting, "peers_taken_snapshots") == 1
			})
			if n := s.metric(x.giving, "peers_given_snapshots"); n != 1 {
				t.Errorf("daemon %d handed over %v snapshots, expected 1", x.giving, n)
			}
			s.waitServed(minServed, third)
			s.must(s.Resume(third))
			s.finishAndAudit()
		})
	}
}

// restartAs ends daemon i by SIGTERM and starts it again as another build.
func (w *fixture) restartAs(i int, daemon string) {
	w.t.Helper()
	w.must(w.Terminate(i))
	w.must(w.Proc(i).Wait(w.ctx))
	w.Proc(i).daemon = daemon
	w.must(w.Restart(w.ctx, i))
}

// Processes of both versions share the observations from which plan costs are estimated, also after a link between them was
// cut under load. Afterwards all have the same state, and each estimates a node from observations of all three.
func TestPlanCostsBetweenVersions(t *testing.T) {
	previous := previousDaemon(t)
	w := &gossipFixture{}
	w.fixture, w.metrics = newGossipFixture(t, Options{})
	w.startTraffic()
	const older = 1
	w.restartAs(older, previous)
	w.waitMetric("peers_members", func(_ int, v float64) bool { return v == 3 })
	across := [][2]int{{0, older}, {older, 2}}
	w.setPeerFault(link.Fault{Cut: true}, across...)
	w.waitPeerFault(func(c link.Counts) int { return c.Cut }, across...)
	w.waitMetric("peers_members", func(i int, v float64) bool { return i == older && v == 1 || i != older && v == 2 })
	w.waitServed(minServed)
	w.setPeerFault(link.Fault{}, across...)
	w.waitMetric("peers_members", func(_ int, v float64) bool { return v == 3 })
	s := w.newTestPeer("s", w.allDaemons()...)
	w.waitServed(minServed)
	w.stopAndConverge(s)
	for i := range w.opt.Daemons {
		basis := w.estimate(i, "s0").Get("rests_on")
		if basis.Get("level").Str != "node" || basis.Get("origins").Num != 3 {
			t.Errorf("daemon %d estimates node s0 not from observations of it by all three daemons, but from %s", i, basis.Raw)
		}
	}
}

// The coordinator of a gathered read and its peers are of different versions, in both directions, and one link between them
// is cut in the middle of an answer. The read must be complete, and each peer with an intact link gathers a group.
func TestGatherGroupsBetweenVersions(t *testing.T) {
	previous := previousDaemon(t)
	const shards, rows, deadline = 12, 500, 8 * time.Second
	for _, x := range []struct {
		name     string
		previous []int // daemons of the previous version; daemon 3 is the coordinator
	}{
		{"this version coordinates peers of the previous one", []int{0, 1, 2}},
		{"the previous version coordinates peers of this one", []int{3}},
	} {
		t.Run(x.name, func(t *testing.T) {
			inScenarioSlot(func() {
				g := newDelegationFixture(t, shards, rows, `{"least_parts":4,"silent_ms":400,"rest_ms":60000,"rest_most_ms":60000,"copies":2}`, "")
				for _, i := range x.previous {
					g.restartAs(i, previous)
					g.must(g.Wait(g.ctx, fmt.Sprint("daemon ", i, " gathers from all shards"), func() error {
						if r := g.readAt(i, "read", defaultPlan, deadline); r.err != nil || !r.result.Get("whole").Bool() || !g.sawAllShards(shards) {
							return fmt.Errorf("%w, code %d, %d rows, %s", r.err, r.code, len(r.rows), r.result.Raw)
						}
						return nil
					}))
				}
				g.checkComplete("a read", g.read("read", defaultPlan, deadline), deadline)
				if n := g.countParts(true); n != shards*3/4 || g.countParts(false) != shards/4 {
					t.Errorf("%d parts were sent by groups and %d by the coordinator itself, expected three quarters and a quarter", n, g.countParts(false))
				}
				g.must(g.delegationLinks[0].SetFault(link.Backward, link.Fault{ResetAfter: 9000}))
				g.checkComplete("a read over a cut link", g.read("read", defaultPlan, deadline), deadline)
				if g.delegationLinks[0].Counts(link.Backward).Reset == 0 {
					t.Error("the link did not cut an answer, so the scenario checked nothing")
				}
				g.audit()
			})
		})
	}
}

// Both versions accept the same files: the deployments that the repository holds, and the settings, site and iSCSI files
// with every section.
func TestConfigurationsBetweenVersions(t *testing.T) {
	beginScenario(t)
	previous := previousDaemon(t)
	for _, x := range []struct{ dir, config, site, iscsi string }{
		{"deploy", "sites/tromso-tides/config.json", "site.json", "iscsi.json"},
		{"deploy", "sites/callao-customs/config.json", "site.json", "iscsi.json"},
		{"internal/config", "testdata/recorded-files/config.json", "testdata/recorded-files/site.json", "testdata/recorded-files/iscsi.json"},
		{"internal/config", "testdata/recorded-files/config-least.json", "testdata/recorded-files/site-least.json", "testdata/recorded-files/iscsi-least.json"},
	} {
		check := func(daemon string) (string, error) {
			command := exec.Command(daemon, "--site", x.site, "--iscsi", x.iscsi, "check-config", x.config)
			command.Dir = filepath.Join("..", "..", "..", filepath.FromSlash(x.dir))
			out, err := command.CombinedOutput()
			return string(out), err
		}
		want, previousErr := check(previous)
		got, err := check(daemonPath)
		if err != nil || previousErr != nil || got != want {
			t.Errorf("%s is not accepted by both versions with equal output: this version: %v, previous version: %v\n%s\nprevious version:\n%s", x.config, err, previousErr, got, want)
		}
	}
}
