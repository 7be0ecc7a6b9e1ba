package cluster

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
)

// previousCommit is the last version in service whose identifiers, files and log texts were renamed as a whole. What it
// stores and sends has to be understood by this version, and the other way round.
const previousCommit = "631a8c3c9a2ca7e01f58eb62d81a4c4cd0772433"

// previousDaemon builds the daemon of previousCommit from the repository's own history, once for all tests. Where the
// history is not there the test is skipped: the bytes that the packages recorded then stand for it.
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
		return "", fmt.Errorf("previous version: %w\n%s", err, out)
	}
	return filepath.Join(dir, "wheatsaddle-previous"), nil
})

var previousDir string // what buildPrevious made; "": nothing

// A process of the previous version and one of this version take over the passed socket from each other under load, in
// both directions, and nothing is lost.
func TestSocketHandoverBetweenVersions(t *testing.T) {
	previous := previousDaemon(t)
	r := &replaced{world: begin(t, Options{Daemons: 1, Direct: true, Admin: true, Passed: true, Settings: passing})}
	r.now = r.Proc(0)
	r.traffic()
	r.serves(some)
	for _, daemon := range []string{previous, r.opt.Daemon, previous} {
		next, err := r.Beside(0, func(p *Proc) { p.daemon = daemon })
		r.must(err)
		r.must(r.Wait(r.ctx, next.Name+" is ready", next.Ready))
		r.serves(some)
		r.must(r.now.Signal(syscall.SIGTERM))
		r.must(r.now.End(r.ctx))
		r.serves(some)
		r.now = next
	}
	r.end()
}

// Processes of both versions gossip with each other, and one of each version starts from the snapshot that one of the
// other hands over.
func TestGossipBetweenVersions(t *testing.T) {
	previous := previousDaemon(t)
	const older, newer, third = 1, 0, 2
	for _, x := range []struct {
		name             string
		starting, giving int
	}{
		{"this version starts from the previous one's snapshot", newer, older},
		{"the previous version starts from this one's snapshot", older, newer},
	} {
		t.Run(x.name, func(t *testing.T) {
			s := starts(t, Options{Known: true}, nil, nil, true)
			s.Proc(older).daemon = previous
			s.launch(s.everyone()...)
			s.traffic()
			file := func(i int) string { return filepath.Join(s.Dir(i), "learned") }
			s.each("its start is over", func(i int) bool { _, err := os.Stat(file(i)); return err == nil })
			s.counts("peers_members", func(_ int, v float64) bool { return v == 3 })
			s.counts("peers_list_processes", func(_ int, v float64) bool { return v == 3 })
			s.must(s.Stop(third)) // so that only the other version can hand over a snapshot
			s.kill(x.starting)
			s.must(os.Remove(file(x.starting)))
			s.chill(0, 2)
			s.launch(x.starting)
			s.until("it takes what the other version has learned", func() bool {
				return s.listens(x.starting) && s.count(x.starting, "peers_taken_snapshots") == 1
			})
			if n := s.count(x.giving, "peers_given_snapshots"); n != 1 {
				t.Errorf("daemon %d handed over %v snapshots", x.giving, n)
			}
			s.serves(some, third)
			s.must(s.Continue(third))
			s.finish()
		})
	}
}
