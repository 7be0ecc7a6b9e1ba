package cluster

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"wheatsaddle/internal/testkit/client"
	"wheatsaddle/internal/testkit/historycheck"
)

// What a daemon says as it goes on; a test waits for it.
const (
	saysAccepts = "accepting connections on the passed socket"
	saysLeft    = "passed socket released to the next process"
	saysEmpty   = `msg="handover complete" open_connections=0`
)

// passing has a node that is included again be cold for a moment only.
var passing = map[string]any{"rules": map[string]any{"cold": 100}}

// replaced is one scheduler whose processes come and go on one passed socket.
type replaced struct {
	*world
	now *Proc // that accepts
}

func (r *replaced) says(p *Proc, what string) {
	r.t.Helper()
	r.until(p.Name+" says: "+what, func() bool { return strings.Contains(p.Log(), what) })
}

// silent fails if it has said so.
func (r *replaced) silent(p *Proc, what string) {
	r.t.Helper()
	if strings.Contains(p.Log(), what) {
		r.t.Errorf("%s has said: %s", p.Name, what)
	}
}

// next starts one beside the one that accepts. It says that it is ready, and does not accept while the other does.
func (r *replaced) next() *Proc {
	r.t.Helper()
	p, err := r.Beside(0, nil)
	r.must(err)
	r.must(r.Wait(r.ctx, p.Name+" is ready", p.Ready))
	r.serves(some)
	r.silent(p, saysAccepts)
	return p
}

// over ends the old one as the platform does: it exits 0, and the new one serves.
func (r *replaced) over(p *Proc) {
	r.t.Helper()
	r.must(r.now.Signal(syscall.SIGTERM))
	r.says(p, saysAccepts)
	r.serves(some)
	r.must(r.now.End(r.ctx))
	r.says(r.now, saysLeft)
	r.says(r.now, saysEmpty)
	r.silent(r.now, "still accepting connections")
	r.now = p
}

// killed writes the span of a process that was killed, until the next one serves.
func (r *replaced) killed(p *Proc) {
	r.t.Helper()
	r.falls(0, true)
	r.must(r.now.Signal(syscall.SIGKILL))
	if err := r.now.End(r.ctx); err == nil {
		r.t.Error("killed, and exit 0")
	}
	r.says(p, saysAccepts)
	r.serves(some)
	r.mu.Lock()
	r.rises(0)
	r.mu.Unlock()
	r.now = p
}

func (r *replaced) admin(p *Proc, method, call string) {
	r.t.Helper()
	q, err := http.NewRequestWithContext(r.ctx, method, "http://"+p.adminAddress+call, nil)
	r.must(err)
	a, err := once.Do(q)
	r.must(err)
	defer a.Body.Close()
	if a.StatusCode != 200 {
		r.t.Fatalf("%s %s: %d", method, call, a.StatusCode)
	}
}

// Processes of one scheduler come and go on one passed socket under load: from clients that keep their connections, and
// from some that open one for each request, of a volume with a limit, faster than the limit. Nothing of it is
// lost: the auditor finds each request answered, but those that a kill or a stop excuses.
func TestReplace(t *testing.T) {
	for _, x := range []struct {
		fault, expected string
		run             func(*replaced)
	}{
		{fault: "three replacements in a row", expected: "nothing is lost, the limit holds, a node excluded by hand stays out until it is included", run: func(r *replaced) {
			r.admin(r.now, "PUT", "/api/exclude?who=s0")
			out := r.Fleet.now() + r.Rules().Grace + slack
			r.until("the exclusion counts", func() bool { return r.Fleet.now() > out })
			for range 3 {
				r.over(r.next())
			}
			in := r.Fleet.now()
			for _, s := range r.History().Sent {
				if s.Node == "s0" && s.First > out && s.First < in {
					r.t.Errorf("%s went to s0 at %v, excluded since %v", s.ID, s.First, out)
				}
			}
			r.admin(r.now, "PUT", "/api/include?who=s0")
			ran := r.Node(0).Counts().Ran
			r.until("s0 serves again", func() bool { return r.Node(0).Counts().Ran > ran })
		}},
		{fault: "the old one is killed", expected: "the kernel lets the lock go: the next one serves", run: func(r *replaced) {
			r.killed(r.next())
			r.over(r.next())
		}},
		{fault: "the old one is stopped, then killed", expected: "nobody serves meanwhile, as it would spend its limits when it runs on; then the next one does", run: func(r *replaced) {
			p := r.next()
			r.must(r.Stop(0))
			r.until("nobody serves", func() bool { return r.Ask(Ask{Deadline: 200 * time.Millisecond}).End == historycheck.Unheard })
			r.silent(p, saysAccepts)
			r.must(r.now.Signal(syscall.SIGTERM)) // it waits, too
			r.killed(p)
			_ = r.Continue(0) // the span ends
			r.over(r.next())
		}},
		{fault: "the new one is killed while it waits", expected: "the old one serves on, another takes its place", run: func(r *replaced) {
			p := r.next()
			r.must(p.Signal(syscall.SIGKILL))
			if err := p.End(r.ctx); err == nil {
				r.t.Error("killed, and exit 0")
			}
			r.serves(some)
			r.over(r.next())
		}},
		{fault: "the new one is ended while it waits", expected: "exit 0, the old one serves on", run: func(r *replaced) {
			p := r.next()
			r.must(p.Signal(syscall.SIGTERM))
			r.must(p.End(r.ctx))
			r.silent(p, saysAccepts)
			r.serves(some)
			r.over(r.next())
		}},
		{fault: "the new one's settings are broken, or its descriptor is no socket", expected: "exit 1 with a code, the old one serves on", run: func(r *replaced) {
			for code, change := range map[string]func(*Proc){
				"config-json": func(p *Proc) { r.must(os.WriteFile(p.config, []byte("{"), 0o600)) },
				"sock-passed": func(p *Proc) { p.env = append(p.env, "ROUTER_PASSED_SOCKET=99") },
			} {
				p, err := r.Beside(0, change)
				r.must(err)
				if err := p.End(r.ctx); err == nil || !strings.Contains(p.Log(), "code: "+code) || !strings.Contains(p.Log(), "advice: ") {
					r.t.Errorf("%s: %v\n%s", code, err, p.Log())
				}
				r.serves(some)
			}
			r.over(r.next())
		}},
		{fault: "a client sends its body slowly over the replacement", expected: "the old one answers it whole, and ends", run: func(r *replaced) {
			m := client.Message{ID: "slow", Class: "write", Plan: thePlan, Extent: fmt.Sprintf("%016x", 1), Volume: fmt.Sprintf("%016x", 1), Units: 1, Shard: 1, Hosts: 1,
				Write: true, Deadline: 5 * time.Second, Body: []byte(strings.Repeat("x", 2000))}
			text := m.Append(nil)
			nc, err := net.Dial("tcp", r.now.Listen)
			r.must(err)
			defer nc.Close()
			half := len(text) - 1000
			_, err = nc.Write(text[:half])
			r.must(err)
			r.mu.Lock()
			r.h.Taken = append(r.h.Taken, historycheck.Taken{ID: m.ID, Class: m.Class, Plan: m.Plan, Volume: m.Volume, Units: 1, At: r.Fleet.now(), GivesUp: r.Fleet.now() + 5*time.Second})
			r.mu.Unlock()
			p := r.next()
			r.must(r.now.Signal(syscall.SIGTERM))
			r.says(p, saysAccepts)
			r.serves(1)
			_, err = nc.Write(text[half:])
			r.must(err)
			var a fasthttp.Response
			if err := a.Read(bufio.NewReader(nc)); err != nil || a.StatusCode() != 200 || !a.ConnectionClose() {
				r.t.Errorf("%v, %d, closes: %v", err, a.StatusCode(), a.ConnectionClose())
			}
			r.mu.Lock()
			r.h.Answered = append(r.h.Answered, historycheck.Answered{ID: m.ID, At: r.Fleet.now(), End: historycheck.Whole})
			r.mu.Unlock()
			if n, err := nc.Read(make([]byte, 1)); n != 0 || !errors.Is(err, io.EOF) {
				r.t.Errorf("%d bytes, %v", n, err)
			}
			r.must(r.now.End(r.ctx))
			r.now = p
			r.serves(some)
		}},
		{fault: "a client sends requests of the limited volume ahead", expected: "those that wait in the socket are answered, and over the limit refused", run: func(r *replaced) {
			const ahead = 150
			nc, err := net.Dial("tcp", r.now.Listen)
			r.must(err)
			defer nc.Close()
			var text []byte
			var ids []string
			for i := range ahead {
				ids = append(ids, fmt.Sprintf("p%03d", i))
				m := client.Message{ID: ids[i], Class: "read", Plan: "small", Extent: fmt.Sprintf("%016x", i), Volume: fmt.Sprintf("%016x", 99), Units: 1,
					Shard: i % 2, Hosts: 1, Deadline: time.Second}
				text = m.Append(text)
			}
			r.mu.Lock()
			for _, id := range ids {
				r.h.Taken = append(r.h.Taken, historycheck.Taken{ID: id, Class: "read", Plan: "small", Volume: fmt.Sprintf("%016x", 99), Units: 1, At: r.Fleet.now(), GivesUp: historycheck.Never})
			}
			r.mu.Unlock()
			_, err = nc.Write(text)
			r.must(err)
			br, n, after := bufio.NewReader(nc), 0, 0
			p, gone := r.next(), false
			for closed := false; !closed; n++ {
				var a fasthttp.Response
				if n == 2 {
					r.must(r.now.Signal(syscall.SIGTERM))
					gone = true
				}
				if err := a.Read(br); err != nil {
					r.t.Errorf("answer %d: %v", n, err)
					break
				}
				if gone {
					after++
				}
				r.mu.Lock()
				r.h.Answered = append(r.h.Answered, historycheck.Answered{ID: ids[n], At: r.Fleet.now(), End: historycheck.Whole})
				r.mu.Unlock()
				closed = a.ConnectionClose()
			}
			if after < ahead/2 { // but what had been read ahead of the last answer
				r.t.Errorf("%d answers after SIGTERM, %d in all", after, n)
			}
			r.mu.Lock()
			for _, id := range ids[n:] {
				r.h.Answered = append(r.h.Answered, historycheck.Answered{ID: id, At: r.Fleet.now(), End: historycheck.Left})
			}
			r.mu.Unlock()
			r.must(r.now.End(r.ctx))
			r.says(p, saysAccepts)
			r.now = p
			r.serves(some)
		}},
	} {
		t.Run(x.fault, func(t *testing.T) {
			r := &replaced{world: begin(t, Options{Daemons: 1, Direct: true, Admin: true, Passed: true, Settings: passing})}
			r.now = r.Proc(0)
			keep := r.Run(r.ctx, Load{Clients: 4, Gap: 3 * time.Millisecond, Ask: usual})
			limited := r.Run(r.ctx, Load{Clients: 3, Gap: 10 * time.Millisecond, Once: true, Ask: func(int, int, int) Ask {
				return Ask{Plan: "small", Volume: 99}
			}})
			r.stop = func() { keep(); limited() }
			r.serves(some)
			x.run(r)
			r.end()
			if r.codes[503] == 0 {
				t.Error("the limit was never reached")
			}
		})
	}
}

// Where no lock can be had the process says so, with what to do, and accepts beside the other.
func TestReplaceWithoutLock(t *testing.T) {
	r := &replaced{world: begin(t, Options{Daemons: 1, Direct: true, Admin: true, Passed: true, Settings: passing})}
	r.traffic()
	p, err := r.Beside(0, func(p *Proc) { p.env = append(p.env, "TMPDIR="+r.Dir(0)+"/none") })
	r.must(err)
	r.says(p, saysAccepts)
	r.must(r.Wait(r.ctx, "ready", p.Ready))
	if log := p.Log(); !strings.Contains(log, "code=handover-no-lock") || !strings.Contains(log, "advice=") {
		t.Error(log)
	}
	r.serves(some)
	r.must(r.Proc(0).Signal(syscall.SIGTERM))
	r.must(r.Proc(0).End(r.ctx))
	r.serves(some)
	r.end()
}
