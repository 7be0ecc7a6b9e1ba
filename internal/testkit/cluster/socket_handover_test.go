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

// Log texts of the daemon that the tests wait for.
const (
	logAccepting = "accepting connections on the passed socket"
	logReleased  = "passed socket released to the next process"
	logDrained   = `msg="handover complete" open_connections=0`
)

// shortSlowStart shortens the slow start of a node that is included again to 100 ms.
var shortSlowStart = map[string]any{"rules": map[string]any{"cold": 100}}

// handoverFixture is one scheduler whose processes replace each other on one passed socket.
type handoverFixture struct {
	*fixture
	active *Proc // accepts the connections
}

func (r *handoverFixture) waitLog(p *Proc, text string) {
	r.t.Helper()
	r.waitUntil(p.Name+" logs: "+text, func() bool { return strings.Contains(p.Log(), text) })
}

// checkNotLogged fails the test if the process has logged the text.
func (r *handoverFixture) checkNotLogged(p *Proc, text string) {
	r.t.Helper()
	if strings.Contains(p.Log(), text) {
		r.t.Errorf("%s has logged a text that it must not log: %s", p.Name, text)
	}
}

// startNext starts a process beside the active one and waits until it is ready. The new process must not accept connections while
// the active one does.
func (r *handoverFixture) startNext() *Proc {
	r.t.Helper()
	p, err := r.StartReplacement(0, nil)
	r.must(err)
	r.must(r.Wait(r.ctx, p.Name+" is ready", p.Ready))
	r.waitServed(minServed)
	r.checkNotLogged(p, logAccepting)
	return p
}

// handOver terminates the active process as the platform does. It must exit with 0, and the new process must serve.
func (r *handoverFixture) handOver(p *Proc) {
	r.t.Helper()
	r.must(r.active.Signal(syscall.SIGTERM))
	r.waitLog(p, logAccepting)
	r.waitServed(minServed)
	r.must(r.active.Wait(r.ctx))
	r.waitLog(r.active, logReleased)
	r.waitLog(r.active, logDrained)
	r.checkNotLogged(r.active, "still accepting connections")
	r.active = p
}

// killActive kills the active process, waits until the next one serves and records the downtime.
func (r *handoverFixture) killActive(p *Proc) {
	r.t.Helper()
	r.markDown(0, true)
	r.must(r.active.Signal(syscall.SIGKILL))
	if err := r.active.Wait(r.ctx); err == nil {
		r.t.Error("the killed process exited with 0")
	}
	r.waitLog(p, logAccepting)
	r.waitServed(minServed)
	r.mu.Lock()
	r.markUp(0)
	r.mu.Unlock()
	r.active = p
}

// callAdmin sends a request to a process's admin endpoint and expects code 200.
func (r *handoverFixture) callAdmin(p *Proc, method, path string) {
	r.t.Helper()
	request, err := http.NewRequestWithContext(r.ctx, method, "http://"+p.adminAddress+path, nil)
	r.must(err)
	response, err := noKeepAliveClient.Do(request)
	r.must(err)
	defer response.Body.Close()
	if response.StatusCode != 200 {
		r.t.Fatalf("%s %s answered with code %d", method, path, response.StatusCode)
	}
}

// Processes of one scheduler replace each other on one passed socket under load. Some clients reuse their connections, and
// others open one per request and exceed the limit of their volume. The audit checks that every request is answered, except
// while a process is killed or suspended.
func TestSocketHandover(t *testing.T) {
	for _, x := range []struct {
		fault, expected string
		run             func(*handoverFixture)
	}{
		{fault: "three replacements in a row", expected: "nothing is lost, the limit holds, an excluded node gets no requests until it is included", run: func(r *handoverFixture) {
			r.callAdmin(r.active, "PUT", "/api/exclude?who=s0")
			excludedAt := r.Fleet.now() + r.Rules().Grace + auditSlack
			r.waitUntil("the exclusion applies", func() bool { return r.Fleet.now() > excludedAt })
			for range 3 {
				r.handOver(r.startNext())
			}
			includedAt := r.Fleet.now()
			for _, s := range r.History().Attempts {
				if s.Node == "s0" && s.FirstByte > excludedAt && s.FirstByte < includedAt {
					r.t.Errorf("%s was sent to s0 at %v, excluded since %v", s.ID, s.FirstByte, excludedAt)
				}
			}
			r.callAdmin(r.active, "PUT", "/api/include?who=s0")
			servedBefore := r.Node(0).Counts().Executions
			r.waitUntil("s0 serves again", func() bool { return r.Node(0).Counts().Executions > servedBefore })
		}},
		{fault: "the active process is killed", expected: "the kernel releases its lock and the next one serves", run: func(r *handoverFixture) {
			r.killActive(r.startNext())
			r.handOver(r.startNext())
		}},
		{fault: "the active process is suspended, then killed", expected: "the next one serves only after the kill, as the suspended one would use the same limits once resumed", run: func(r *handoverFixture) {
			p := r.startNext()
			r.must(r.Suspend(0))
			r.waitUntil("no process serves", func() bool {
				return r.Send(ClientRequest{Deadline: 200 * time.Millisecond}).End == historycheck.NoResponse
			})
			r.checkNotLogged(p, logAccepting)
			r.must(r.active.Signal(syscall.SIGTERM)) // stays pending while the process is suspended
			r.killActive(p)
			_ = r.Resume(0) // only ends the recorded pause
			r.handOver(r.startNext())
		}},
		{fault: "the new process is killed while it waits", expected: "the active one keeps serving, and another replaces it", run: func(r *handoverFixture) {
			p := r.startNext()
			r.must(p.Signal(syscall.SIGKILL))
			if err := p.Wait(r.ctx); err == nil {
				r.t.Error("the killed process exited with 0")
			}
			r.waitServed(minServed)
			r.handOver(r.startNext())
		}},
		{fault: "the new process is terminated while it waits", expected: "exit 0, the active one keeps serving", run: func(r *handoverFixture) {
			p := r.startNext()
			r.must(p.Signal(syscall.SIGTERM))
			r.must(p.Wait(r.ctx))
			r.checkNotLogged(p, logAccepting)
			r.waitServed(minServed)
			r.handOver(r.startNext())
		}},
		{fault: "the new process has broken settings, or its descriptor is no socket", expected: "exit 1 with a code, the active one keeps serving", run: func(r *handoverFixture) {
			for code, change := range map[string]func(*Proc){
				"config-json": func(p *Proc) { r.must(os.WriteFile(p.config, []byte("{"), 0o600)) },
				"sock-passed": func(p *Proc) { p.env = append(p.env, "ROUTER_PASSED_SOCKET=99") },
			} {
				p, err := r.StartReplacement(0, change)
				r.must(err)
				if err := p.Wait(r.ctx); err == nil || !strings.Contains(p.Log(), "code: "+code) || !strings.Contains(p.Log(), "advice: ") {
					r.t.Errorf("the process did not fail with code %s and an advice: exit error %v\n%s", code, err, p.Log())
				}
				r.waitServed(minServed)
			}
			r.handOver(r.startNext())
		}},
		{fault: "a client sends its body slowly during the replacement", expected: "the old process answers it completely and exits", run: func(r *handoverFixture) {
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
			r.history.Requests = append(r.history.Requests, historycheck.Request{ID: m.ID, Class: m.Class, Plan: m.Plan, Volume: m.Volume, Units: 1, At: r.Fleet.now(), Deadline: r.Fleet.now() + 5*time.Second})
			r.mu.Unlock()
			p := r.startNext()
			r.must(r.active.Signal(syscall.SIGTERM))
			r.waitLog(p, logAccepting)
			r.waitServed(1)
			_, err = nc.Write(text[sent:])
			r.must(err)
			var a fasthttp.Response
			if err := a.Read(bufio.NewReader(nc)); err != nil || a.StatusCode() != 200 || !a.ConnectionClose() {
				r.t.Errorf("expected an answer with code 200 that closes the connection: error %v, code %d, connection close: %v", err, a.StatusCode(), a.ConnectionClose())
			}
			r.mu.Lock()
			r.history.Outcomes = append(r.history.Outcomes, historycheck.Outcome{ID: m.ID, At: r.Fleet.now(), Kind: historycheck.Complete})
			r.mu.Unlock()
			if n, err := nc.Read(make([]byte, 1)); n != 0 || !errors.Is(err, io.EOF) {
				r.t.Errorf("the connection was not closed after the answer: read %d bytes, error %v", n, err)
			}
			r.must(r.active.Wait(r.ctx))
			r.active = p
			r.waitServed(minServed)
		}},
		{fault: "a client pipelines requests of the limited volume", expected: "requests buffered in the socket are answered, those over the limit rejected", run: func(r *handoverFixture) {
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
				r.history.Requests = append(r.history.Requests, historycheck.Request{ID: id, Class: "read", Plan: "small", Volume: fmt.Sprintf("%016x", 99), Units: 1, At: r.Fleet.now(), Deadline: historycheck.Never})
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
					r.t.Errorf("pipelined answer %d cannot be read: %v", n, err)
					break
				}
				if terminated {
					answersAfterTerm++
				}
				r.mu.Lock()
				r.history.Outcomes = append(r.history.Outcomes, historycheck.Outcome{ID: ids[n], At: r.Fleet.now(), Kind: historycheck.Complete})
				r.mu.Unlock()
				closed = a.ConnectionClose()
			}
			if answersAfterTerm < pipelined/2 { // all requests were sent before the SIGTERM, and only 2 answers were read before it
				r.t.Errorf("only %d of %d answers came after the SIGTERM, fewer than half of the requests", answersAfterTerm, n)
			}
			r.mu.Lock()
			for _, id := range ids[n:] {
				r.history.Outcomes = append(r.history.Outcomes, historycheck.Outcome{ID: id, At: r.Fleet.now(), Kind: historycheck.Disconnected})
			}
			r.mu.Unlock()
			r.must(r.active.Wait(r.ctx))
			r.waitLog(p, logAccepting)
			r.active = p
			r.waitServed(minServed)
		}},
	} {
		t.Run(x.fault, func(t *testing.T) {
			r := &handoverFixture{fixture: newFixture(t, Options{Daemons: 1, Direct: true, Admin: true, PassedSockets: true, Settings: shortSlowStart})}
			r.active = r.Proc(0)
			stopReusedConns := r.Run(r.ctx, Load{Clients: 4, Pause: 3 * time.Millisecond, Request: mixedRequest})
			stopLimited := r.Run(r.ctx, Load{Clients: 3, Pause: 10 * time.Millisecond, NewConnPerRequest: true, Request: func(int, int, int) ClientRequest {
				return ClientRequest{Plan: "small", Volume: 99}
			}})
			r.stopTraffic = func() { stopReusedConns(); stopLimited() }
			r.waitServed(minServed)
			x.run(r)
			r.stopAndAudit()
			if r.answersByCode[503] == 0 {
				t.Error("no request was rejected with code 503, so the volume's limit was never reached")
			}
		})
	}
}

// A process that cannot get the lock logs an error with advice and accepts connections beside the other one.
func TestSocketHandoverWithoutLock(t *testing.T) {
	r := &handoverFixture{fixture: newFixture(t, Options{Daemons: 1, Direct: true, Admin: true, PassedSockets: true, Settings: shortSlowStart})}
	r.startTraffic()
	p, err := r.StartReplacement(0, func(p *Proc) { p.env = append(p.env, "TMPDIR="+r.Dir(0)+"/none") })
	r.must(err)
	r.waitLog(p, logAccepting)
	r.must(r.Wait(r.ctx, "the second process is ready", p.Ready))
	if log := p.Log(); !strings.Contains(log, "code=handover-no-lock") || !strings.Contains(log, "advice=") {
		t.Error(log)
	}
	r.waitServed(minServed)
	r.must(r.Proc(0).Signal(syscall.SIGTERM))
	r.must(r.Proc(0).Wait(r.ctx))
	r.waitServed(minServed)
	r.stopAndAudit()
}
