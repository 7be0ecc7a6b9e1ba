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
	logAccepting = "accepting connections on the passed socket"
	logReleased  = "passed socket released to the next process"
	logDrained   = `msg="handover complete" open_connections=0`
)

// shortColdStart has a node that is included again be cold for a moment only.
var shortColdStart = map[string]any{"rules": map[string]any{"cold": 100}}

// handoverFixture is one scheduler whose processes come and go on one passed socket.
type handoverFixture struct {
	*fixture
	active *Proc // that accepts
}

func (r *handoverFixture) waitLog(p *Proc, what string) {
	r.t.Helper()
	r.waitUntil(p.Name+" says: "+what, func() bool { return strings.Contains(p.Log(), what) })
}

// checkNotLogged fails if it has said so.
func (r *handoverFixture) checkNotLogged(p *Proc, what string) {
	r.t.Helper()
	if strings.Contains(p.Log(), what) {
		r.t.Errorf("%s has said: %s", p.Name, what)
	}
}

// startNext starts one beside the one that accepts. It says that it is ready, and does not accept while the other does.
func (r *handoverFixture) startNext() *Proc {
	r.t.Helper()
	p, err := r.StartReplacement(0, nil)
	r.must(err)
	r.must(r.Wait(r.ctx, p.Name+" is ready", p.Ready))
	r.waitServed(serveCount)
	r.checkNotLogged(p, logAccepting)
	return p
}

// handOver ends the old one as the platform does: it exits 0, and the new one serves.
func (r *handoverFixture) handOver(p *Proc) {
	r.t.Helper()
	r.must(r.active.Signal(syscall.SIGTERM))
	r.waitLog(p, logAccepting)
	r.waitServed(serveCount)
	r.must(r.active.End(r.ctx))
	r.waitLog(r.active, logReleased)
	r.waitLog(r.active, logDrained)
	r.checkNotLogged(r.active, "still accepting connections")
	r.active = p
}

// killActive writes the span of a process that was killed, until the next one serves.
func (r *handoverFixture) killActive(p *Proc) {
	r.t.Helper()
	r.markDown(0, true)
	r.must(r.active.Signal(syscall.SIGKILL))
	if err := r.active.End(r.ctx); err == nil {
		r.t.Error("killed, and exit 0")
	}
	r.waitLog(p, logAccepting)
	r.waitServed(serveCount)
	r.mu.Lock()
	r.markUp(0)
	r.mu.Unlock()
	r.active = p
}

func (r *handoverFixture) callAdmin(p *Proc, method, call string) {
	r.t.Helper()
	q, err := http.NewRequestWithContext(r.ctx, method, "http://"+p.adminAddress+call, nil)
	r.must(err)
	a, err := uncachedClient.Do(q)
	r.must(err)
	defer a.Body.Close()
	if a.StatusCode != 200 {
		r.t.Fatalf("%s %s: %d", method, call, a.StatusCode)
	}
}

// Processes of one scheduler come and go on one passed socket under load: from clients that keep their connections, and
// from some that open one for each request, of a volume with a limit, faster than the limit. Nothing of it is
// lost: the auditor finds each request answered, but those that a kill or a stop excuses.
func TestSocketHandover(t *testing.T) {
	for _, x := range []struct {
		fault, expected string
		run             func(*handoverFixture)
	}{
		{fault: "three replacements in a row", expected: "nothing is lost, the limit holds, a node excluded by hand stays out until it is included", run: func(r *handoverFixture) {
			r.callAdmin(r.active, "PUT", "/api/exclude?who=s0")
			excludedAt := r.Fleet.now() + r.Rules().Grace + auditSlack
			r.waitUntil("the exclusion counts", func() bool { return r.Fleet.now() > excludedAt })
			for range 3 {
				r.handOver(r.startNext())
			}
			includedAt := r.Fleet.now()
			for _, s := range r.History().Sent {
				if s.Node == "s0" && s.First > excludedAt && s.First < includedAt {
					r.t.Errorf("%s went to s0 at %v, excluded since %v", s.ID, s.First, excludedAt)
				}
			}
			r.callAdmin(r.active, "PUT", "/api/include?who=s0")
			ran := r.Node(0).Counts().Ran
			r.waitUntil("s0 serves again", func() bool { return r.Node(0).Counts().Ran > ran })
		}},
		{fault: "the old one is killed", expected: "the kernel lets the lock go: the next one serves", run: func(r *handoverFixture) {
			r.killActive(r.startNext())
			r.handOver(r.startNext())
		}},
		{fault: "the old one is stopped, then killed", expected: "nobody serves meanwhile, as it would spend its limits when it runs on; then the next one does", run: func(r *handoverFixture) {
			p := r.startNext()
			r.must(r.Stop(0))
			r.waitUntil("nobody serves", func() bool {
				return r.Send(ClientRequest{Deadline: 200 * time.Millisecond}).End == historycheck.Unheard
			})
			r.checkNotLogged(p, logAccepting)
			r.must(r.active.Signal(syscall.SIGTERM)) // it waits, too
			r.killActive(p)
			_ = r.Continue(0) // the span ends
			r.handOver(r.startNext())
		}},
		{fault: "the new one is killed while it waits", expected: "the old one serves on, another takes its place", run: func(r *handoverFixture) {
			p := r.startNext()
			r.must(p.Signal(syscall.SIGKILL))
			if err := p.End(r.ctx); err == nil {
				r.t.Error("killed, and exit 0")
			}
			r.waitServed(serveCount)
			r.handOver(r.startNext())
		}},
		{fault: "the new one is ended while it waits", expected: "exit 0, the old one serves on", run: func(r *handoverFixture) {
			p := r.startNext()
			r.must(p.Signal(syscall.SIGTERM))
			r.must(p.End(r.ctx))
			r.checkNotLogged(p, logAccepting)
			r.waitServed(serveCount)
			r.handOver(r.startNext())
		}},
		{fault: "the new one's settings are broken, or its descriptor is no socket", expected: "exit 1 with a code, the old one serves on", run: func(r *handoverFixture) {
			for code, change := range map[string]func(*Proc){
				"config-json": func(p *Proc) { r.must(os.WriteFile(p.config, []byte("{"), 0o600)) },
				"sock-passed": func(p *Proc) { p.env = append(p.env, "ROUTER_PASSED_SOCKET=99") },
			} {
				p, err := r.StartReplacement(0, change)
				r.must(err)
				if err := p.End(r.ctx); err == nil || !strings.Contains(p.Log(), "code: "+code) || !strings.Contains(p.Log(), "advice: ") {
					r.t.Errorf("%s: %v\n%s", code, err, p.Log())
				}
				r.waitServed(serveCount)
			}
			r.handOver(r.startNext())
		}},
		{fault: "a client sends its body slowly over the replacement", expected: "the old one answers it whole, and ends", run: func(r *handoverFixture) {
			m := client.Message{ID: "slow", Class: "write", Plan: defaultPlan, Extent: fmt.Sprintf("%016x", 1), Volume: fmt.Sprintf("%016x", 1), Units: 1, Shard: 1, Hosts: 1,
				Write: true, Deadline: 5 * time.Second, Body: []byte(strings.Repeat("x", 2000))}
			text := m.Append(nil)
			nc, err := net.Dial("tcp", r.active.Listen)
			r.must(err)
			defer nc.Close()
			sent := len(text) - 1000
			_, err = nc.Write(text[:sent])
			r.must(err)
			r.mu.Lock()
			r.history.Taken = append(r.history.Taken, historycheck.Taken{ID: m.ID, Class: m.Class, Plan: m.Plan, Volume: m.Volume, Units: 1, At: r.Fleet.now(), GivesUp: r.Fleet.now() + 5*time.Second})
			r.mu.Unlock()
			p := r.startNext()
			r.must(r.active.Signal(syscall.SIGTERM))
			r.waitLog(p, logAccepting)
			r.waitServed(1)
			_, err = nc.Write(text[sent:])
			r.must(err)
			var a fasthttp.Response
			if err := a.Read(bufio.NewReader(nc)); err != nil || a.StatusCode() != 200 || !a.ConnectionClose() {
				r.t.Errorf("%v, %d, closes: %v", err, a.StatusCode(), a.ConnectionClose())
			}
			r.mu.Lock()
			r.history.Answered = append(r.history.Answered, historycheck.Answered{ID: m.ID, At: r.Fleet.now(), End: historycheck.Whole})
			r.mu.Unlock()
			if n, err := nc.Read(make([]byte, 1)); n != 0 || !errors.Is(err, io.EOF) {
				r.t.Errorf("%d bytes, %v", n, err)
			}
			r.must(r.active.End(r.ctx))
			r.active = p
			r.waitServed(serveCount)
		}},
		{fault: "a client sends requests of the limited volume ahead", expected: "those that wait in the socket are answered, and over the limit refused", run: func(r *handoverFixture) {
			const pipelined = 150
			nc, err := net.Dial("tcp", r.active.Listen)
			r.must(err)
			defer nc.Close()
			var text []byte
			var ids []string
			for i := range pipelined {
				ids = append(ids, fmt.Sprintf("p%03d", i))
				m := client.Message{ID: ids[i], Class: "read", Plan: "small", Extent: fmt.Sprintf("%016x", i), Volume: fmt.Sprintf("%016x", 99), Units: 1,
					Shard: i % 2, Hosts: 1, Deadline: time.Second}
				text = m.Append(text)
			}
			r.mu.Lock()
			for _, id := range ids {
				r.history.Taken = append(r.history.Taken, historycheck.Taken{ID: id, Class: "read", Plan: "small", Volume: fmt.Sprintf("%016x", 99), Units: 1, At: r.Fleet.now(), GivesUp: historycheck.Never})
			}
			r.mu.Unlock()
			_, err = nc.Write(text)
			r.must(err)
			br, n, answersAfterTerm := bufio.NewReader(nc), 0, 0
			p, terminated := r.startNext(), false
			for closed := false; !closed; n++ {
				var a fasthttp.Response
				if n == 2 {
					r.must(r.active.Signal(syscall.SIGTERM))
					terminated = true
				}
				if err := a.Read(br); err != nil {
					r.t.Errorf("answer %d: %v", n, err)
					break
				}
				if terminated {
					answersAfterTerm++
				}
				r.mu.Lock()
				r.history.Answered = append(r.history.Answered, historycheck.Answered{ID: ids[n], At: r.Fleet.now(), End: historycheck.Whole})
				r.mu.Unlock()
				closed = a.ConnectionClose()
			}
			if answersAfterTerm < pipelined/2 { // but what had been read ahead of the last answer
				r.t.Errorf("%d answers after SIGTERM, %d in all", answersAfterTerm, n)
			}
			r.mu.Lock()
			for _, id := range ids[n:] {
				r.history.Answered = append(r.history.Answered, historycheck.Answered{ID: id, At: r.Fleet.now(), End: historycheck.Left})
			}
			r.mu.Unlock()
			r.must(r.active.End(r.ctx))
			r.waitLog(p, logAccepting)
			r.active = p
			r.waitServed(serveCount)
		}},
	} {
		t.Run(x.fault, func(t *testing.T) {
			r := &handoverFixture{fixture: newFixture(t, Options{Daemons: 1, Direct: true, Admin: true, PassedSockets: true, Settings: shortColdStart})}
			r.active = r.Proc(0)
			stopKeptConns := r.StartLoad(r.ctx, Load{Clients: 4, Pause: 3 * time.Millisecond, Request: mixedRequest})
			stopLimited := r.StartLoad(r.ctx, Load{Clients: 3, Pause: 10 * time.Millisecond, NewConnPerRequest: true, Request: func(int, int, int) ClientRequest {
				return ClientRequest{Plan: "small", Volume: 99}
			}})
			r.stopTraffic = func() { stopKeptConns(); stopLimited() }
			r.waitServed(serveCount)
			x.run(r)
			r.stopAndAudit()
			if r.answersByCode[503] == 0 {
				t.Error("the limit was never reached")
			}
		})
	}
}

// Where no lock can be had the process says so, with what to do, and accepts beside the other.
func TestSocketHandoverWithoutLock(t *testing.T) {
	r := &handoverFixture{fixture: newFixture(t, Options{Daemons: 1, Direct: true, Admin: true, PassedSockets: true, Settings: shortColdStart})}
	r.startTraffic()
	p, err := r.StartReplacement(0, func(p *Proc) { p.env = append(p.env, "TMPDIR="+r.Dir(0)+"/none") })
	r.must(err)
	r.waitLog(p, logAccepting)
	r.must(r.Wait(r.ctx, "ready", p.Ready))
	if log := p.Log(); !strings.Contains(log, "code=handover-no-lock") || !strings.Contains(log, "advice=") {
		t.Error(log)
	}
	r.waitServed(serveCount)
	r.must(r.Proc(0).Signal(syscall.SIGTERM))
	r.must(r.Proc(0).End(r.ctx))
	r.waitServed(serveCount)
	r.stopAndAudit()
}
