package address

import (
	"fmt"
	"math/rand"
	"testing"
	"time"

	"wheatsaddle/internal/testkit/recorded"
)

// recordedActions are the recording's words for the actions.
var recordedActions = map[ActionKind]string{Connect: "connect", Write: "write", Close: "close", Fail: "fail", LogState: "state"}

// recordedModes are the modes from which scripts draw the behaviour of an address.
var recordedModes = []string{"ok", "ok", "ok", "refused", "hang", "silent", "reset", "slow", "rejects", "slow connect"}

// recordedAddresses are the addresses from which scripts draw the list of the node's addresses.
var recordedAddresses = []string{"unix:/run/n.sock", "[2001:db8::1]:80", "10.0.0.1:80", "10.0.0.2:80", "node.example:80"}

// scriptSettings returns the settings of a script by its number.
func scriptSettings(i int) Settings {
	s := Defaults()
	switch i % 4 {
	case 1:
		s.MaxConns, s.MaxWaiting, s.ConnectRate, s.ConnectBurst = 4, 8, 10, 2
	case 2:
		s.Preference, s.MinReturnDelay, s.MinReturnConns = []Family{IPv4, HostName}, 300*ms, 1
	case 3:
		s.MaxConns, s.Jitter, s.Backoff, s.MaxBackoff, s.TrialPatience = 8, 1, 200*ms, time.Second, 100*ms
	}
	return s
}

// The decisions under random faults of addresses, drains, changed addresses and changed settings equal those of the recording.
func TestRecordedDecisions(t *testing.T) {
	for i := range 24 {
		t.Run(fmt.Sprint(i), func(t *testing.T) {
			rng := rand.New(rand.NewSource(int64(900 + i)))
			var script recorded.Script
			s := newSimulation(scriptSettings(i), recordedAddresses[:2+i%4]...)
			s.onStep = func(e Event) {
				fields := []any{int64(s.now), int(e.Kind), int64(s.selector.Next()), s.selector.Waiting(), s.selector.Primary().String()}
				for _, a := range s.actions {
					fields = append(fields, recordedActions[a.Kind], uint64(a.Conn), uint64(a.Req), a.Addr.String(), int(a.State), int(a.Reason))
				}
				if s.selector.Waiting() == 0 && e.Kind == TimerFired {
					for _, status := range s.selector.AppendStatus(nil) {
						fields = append(fields, status.Addr.String(), int(status.State), status.Primary, status.Conns, int64(status.Until), s.selector.HasBetter(status.Addr))
					}
				}
				if e.Conn != 0 {
					fields = append(fields, s.selector.MayBeWrongNode(s.now, e.Conn))
				}
				script.Add(fields...)
			}
			for round := range 60 {
				for _, addr := range recordedAddresses {
					if rng.Intn(3) == 0 {
						s.modes[addr] = recordedModes[rng.Intn(len(recordedModes))]
					}
				}
				if round%10 == 9 { // all addresses work again
					clear(s.modes)
				}
				s.responseTime = time.Duration(1+rng.Intn(30)) * ms
				s.randomChange(rng)
				s.run(time.Duration(200+rng.Intn(1500))*ms, time.Duration(3+rng.Intn(60))*ms, func(int) bool { return rng.Intn(3) > 0 })
			}
			s.step(Event{Kind: NodeRemoved})
			s.run(2*time.Second, 100*ms, allIdempotent)
			if s.violation != nil {
				t.Error(s.violation)
			}
			script.Check(t, fmt.Sprintf("faults-%02d", i))
		})
	}
}

// randomChange applies a random change by an operator, the list or the operating system, or none.
func (s *simulation) randomChange(rng *rand.Rand) {
	switch rng.Intn(14) {
	case 0:
		s.step(Event{Kind: DrainChanged, Draining: true})
		s.respondToActions()
		s.run(300*ms, 50*ms, allIdempotent)
		s.step(Event{Kind: DrainChanged})
	case 1:
		order := rng.Perm(len(recordedAddresses))[:1+rng.Intn(len(recordedAddresses))]
		var addrs []string
		for _, k := range order {
			addrs = append(addrs, recordedAddresses[k])
		}
		s.setAddresses(addrs...)
	case 2:
		next := scriptSettings(rng.Intn(4))
		s.selector.Adjust(next)
	case 3:
		s.step(Event{Kind: DemandContinued})
	case 4:
		if len(s.busy) > 0 {
			s.step(Event{Kind: ProgressSeen, Conn: s.busy[rng.Intn(len(s.busy))]})
		}
	case 5:
		if len(s.busy) > 0 {
			s.breakConn(s.busy[rng.Intn(len(s.busy))], []Reason{ReasonUnwritten, ReasonCutOff, ReasonReset}[rng.Intn(3)])
		}
	case 6:
		if len(s.connecting) > 0 {
			s.failConnect(s.connecting[rng.Intn(len(s.connecting))], []Reason{ReasonNoResource, ReasonNoFamily}[rng.Intn(2)])
		}
	case 7:
		if len(s.busy) > 0 {
			c := s.busy[rng.Intn(len(s.busy))]
			s.outcomes[s.requestOn[c]] = "served"
			s.respond(c, []Verdict{VerdictServed, VerdictOther, VerdictRejected, VerdictWrongNode}[rng.Intn(4)])
		}
	case 8:
		if rng.Intn(2) == 0 {
			s.now += 2 * time.Second // a stall
		}
		s.advanceTime(ms)
	case 9: // some requests are cancelled, sometimes after a stall
		s.now += time.Duration(rng.Intn(2)) * 400 * ms
		for q := s.lastRequest; q > 0 && q+10 > s.lastRequest; q-- {
			if s.openRequests[q] && rng.Intn(2) == 0 {
				s.cancelRequest(q)
				s.respondToActions()
			}
		}
	case 10:
		for i := range s.selector.conns {
			if c := &s.selector.conns[i]; c.phase == idle && rng.Intn(2) == 0 {
				s.step(Event{Kind: IdleConnClosed, Conn: c.id})
			}
		}
	case 11:
		if len(s.busy) > 0 {
			c := s.busy[rng.Intn(len(s.busy))]
			delete(s.openRequests, s.requestOn[c])
			s.removeConn(c)
			s.step(Event{Kind: ResponseReceived, Conn: c, Verdict: VerdictServed})
		}
	case 12: // more requests at once than may wait
		for range 40 {
			s.queueRequest(rng.Intn(2) == 0)
		}
	case 13: // events of a connection that does not exist
		for _, kind := range []EventKind{Connected, ConnectFailed, ResponseReceived, ConnBroken, IdleConnClosed, ProgressSeen, RequestCancelled} {
			s.step(Event{Kind: kind, Conn: 1<<40 | 1})
		}
	}
	s.respondToActions()
}
