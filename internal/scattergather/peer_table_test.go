package scattergather

import (
	"errors"
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"wheatsaddle/gather"
)

func newParts(n int) (all []gather.Part) {
	for i := range n {
		all = append(all, gather.Part{ID: fmt.Sprint("p", i), Shard: i})
	}
	return all
}

func treeRules(peers int) TreeRules {
	r := TreeRules{LeastParts: 4, GroupMost: 6, FanOut: 4, Copies: 2, Silent: 40 * ms, Rest: 100 * ms, RestMax: 800 * ms}
	for i := range peers {
		r.Peers = append(r.Peers, fmt.Sprint("q", i))
	}
	return r
}

// peerModel is what the model knows of a peer.
type peerModel struct {
	failures  int
	notBefore time.Duration
	trials    int
	notAlive  bool // it is known not to be alive
}

// simulatePeerTable drives a book through random reads and says which invariant it broke.
func simulatePeerTable(t *rapid.T, f treeFault) string {
	set := treeRules(rapid.IntRange(1, 6).Draw(t, "peers"))
	set.GroupMost = rapid.IntRange(2, 8).Draw(t, "groupMost")
	set.FanOut = rapid.IntRange(1, 5).Draw(t, "fanOut")
	set.Copies = rapid.IntRange(1, 3).Draw(t, "copies")
	b, err := NewPeerTable(set, 7)
	if err != nil {
		t.Fatal(err)
	}
	twin, _ := NewPeerTable(set, 7)
	b.fault, twin.fault = f, f
	model := map[string]*peerModel{}
	for _, p := range set.Peers {
		model[p] = &peerModel{}
	}
	type asked struct {
		Group
		plan int
	}
	var plans []ReadPlan
	var out []asked
	ended := func(now time.Duration, a asked, o PeerOutcome) {
		peer, m := a.PeerOrder[0], model[a.PeerOrder[0]]
		b.AttemptEnded(now, peer, a.Trial, o, 150*ms)
		twin.AttemptEnded(now, peer, a.Trial, o, 150*ms)
		if a.Trial != 0 {
			m.trials--
		}
		switch {
		case o == OutcomeSuccess && a.Trial != 0:
			m.failures, m.notBefore = 0, 0
		case o == OutcomeFailure && (a.Trial != 0 || m.failures == 0):
			rest := min(set.RestMax, set.Rest<<m.failures)
			m.failures++
			m.notBefore = max(m.notBefore, now+rest*3/4)
		case o == OutcomeRejected:
			m.notBefore = max(m.notBefore, now+150*ms)
		}
	}
	now := time.Duration(0)
	for range rapid.IntRange(1, 40).Draw(t, "steps") {
		now += time.Duration(rapid.IntRange(0, 12).Draw(t, "wait")) * 10 * ms
		if len(out) > 0 && rapid.Bool().Draw(t, "end") {
			i := rapid.IntRange(0, len(out)-1).Draw(t, "which")
			ended(now, out[i], rapid.SampledFrom([]PeerOutcome{OutcomeSuccess, OutcomeFailure, OutcomeFailure, OutcomeRejected, OutcomeUnknown}).Draw(t, "outcome"))
			out = slices.Delete(out, i, i+1)
			continue
		}
		if rapid.IntRange(0, 3).Draw(t, "members") == 0 {
			var alive []string
			for _, p := range set.Peers {
				if model[p].notAlive = rapid.Bool().Draw(t, "gone"); !model[p].notAlive {
					alive = append(alive, p)
				}
			}
			b.SetAlive(alive)
			twin.SetAlive(alive)
		}
		parts := newParts(rapid.IntRange(1, 30).Draw(t, "parts"))
		safe, limited := rapid.IntRange(0, 4).Draw(t, "safe") > 0, rapid.IntRange(0, 4).Draw(t, "limited") == 0
		plan := b.Split(now, parts, safe, limited)
		if fmt.Sprint(plan) != fmt.Sprint(twin.Split(now, parts, safe, limited)) {
			return "T8"
		}
		if (!safe || limited || len(parts) < set.LeastParts) && len(plan.Groups) > 0 {
			return "T2"
		}
		have := map[string]int{}
		least, most := len(parts), 0
		for _, g := range plan.Groups {
			least, most = min(least, len(g.Parts)), max(most, len(g.Parts))
			for i, p := range g.Parts {
				have[p.ID]++
				if g.Of[i] != p.ID {
					return "T1: named otherwise"
				}
			}
			if len(g.Of) != len(g.Parts) {
				return "T1: parts of a group"
			}
		}
		for _, p := range plan.Local {
			have[p.ID]++
		}
		for _, p := range parts {
			if have[p.ID] != 1 {
				return "T1: " + p.ID
			}
		}
		if len(plan.Groups) > 0 && (least < 2 || most > set.GroupMost || most > least+1 || len(plan.Groups) > set.FanOut) {
			return "T1: sizes"
		}
		lead := map[string]bool{}
		for _, g := range plan.Groups {
			uses := map[string]bool{}
			for k, peer := range g.PeerOrder {
				m := model[peer]
				switch {
				case uses[peer] || k == 0 && lead[peer] || len(g.PeerOrder) > set.Copies:
					return "T3"
				case m.notAlive:
					return "T9"
				case now < m.notBefore:
					return "T4"
				case m.failures > 0 && (k > 0 || g.Trial == 0 || m.trials > 0):
					return "T5"
				}
				uses[peer] = true
			}
			if lead[g.PeerOrder[0]] = true; g.Trial != 0 {
				model[g.PeerOrder[0]].trials++
			}
			out = append(out, asked{g, len(plans)})
		}
		plans = append(plans, plan)
		if rapid.IntRange(0, 5).Draw(t, "over") == 0 { // the read ends with nothing said of its peers
			for _, a := range out {
				if a.plan == len(plans)-1 && a.Trial != 0 {
					model[a.PeerOrder[0]].trials--
				}
			}
			out = slices.DeleteFunc(out, func(a asked) bool { return a.plan == len(plans)-1 })
			b.ReadEnded(plan)
			twin.ReadEnded(plan)
		}
	}
	return ""
}

func TestPeerTableInvariants(t *testing.T) { checkInvariants(t, simulatePeerTable) }

func TestPeerTableInvariantsFindInjectedFaults(t *testing.T) {
	checkFaultsAreFound(t, simulatePeerTable, map[treeFault]string{treeFaultLosePart: "T1", treeFaultDelegateNonIdempotent: "T2", treeFaultSamePeerFirst: "T3", treeFaultNoBackoff: "T4", treeFaultIgnoreRetryAfter: "T4",
		treeFaultConstantBackoff: "T4", treeFaultNoTrial: "T5", treeFaultUnseededRandom: "T8", treeFaultUseDeadPeers: "T9"})
}

// The ordinary way: 24 parts over three peers and the process itself; a peer that fails rests, is tried, and is back.
func TestSplitByPeerStatus(t *testing.T) {
	b, err := NewPeerTable(treeRules(3), 1)
	if err != nil {
		t.Fatal(err)
	}
	sizes := func(now time.Duration, n int) (s []int) {
		p := b.Split(now, newParts(n), true, false)
		for _, g := range p.Groups {
			s = append(s, len(g.Parts))
		}
		return append(s, len(p.Local))
	}
	for n, want := range map[int][]int{3: {3}, 4: {2, 2}, 8: {2, 2, 2, 2}, 24: {6, 6, 6, 6}, 26: {6, 6, 6, 8}, 11: {3, 3, 3, 2}} {
		if got := sizes(0, n); !slices.Equal(got, want) {
			t.Errorf("%d parts: %v, not %v", n, got, want)
		}
	}
	b.AttemptEnded(0, "q1", 0, OutcomeFailure, 0)
	if got := sizes(10*ms, 24); !slices.Equal(got, []int{6, 6, 12}) {
		t.Errorf("at rest: %v", got)
	}
	p := b.Split(200*ms, newParts(24), true, false)
	if g := p.Groups[0]; len(p.Groups) != 3 || g.PeerOrder[0] != "q1" || g.Trial == 0 || len(g.PeerOrder) != 2 {
		t.Errorf("on trial: %+v", p.Groups)
	}
	if got := sizes(200*ms, 24); !slices.Equal(got, []int{6, 6, 12}) {
		t.Errorf("beside a trial: %v", got)
	}
	b.AttemptEnded(210*ms, "q1", p.Groups[0].Trial, OutcomeSuccess, 0)
	if got := sizes(220*ms, 24); !slices.Equal(got, []int{6, 6, 6, 6}) || b.Status(220 * ms)[1] != (PeerStatus{Name: "q1"}) {
		t.Errorf("back: %v %v", got, b.Status(220*ms))
	}
	for _, c := range []struct { // where it is known who is alive
		alive []string
		want  []int
	}{{[]string{"q0", "q2", "other"}, []int{6, 6, 12}}, {nil, []int{24}}, {[]string{"q0", "q1", "q2"}, []int{6, 6, 6, 6}}} {
		if b.SetAlive(c.alive); !slices.Equal(sizes(300*ms, 24), c.want) {
			t.Errorf("alive %v: %v, not %v", c.alive, sizes(300*ms, 24), c.want)
		}
	}
	for _, bad := range []func(*TreeRules){func(r *TreeRules) { r.Peers = nil }, func(r *TreeRules) { r.Peers[1] = "q0" }, func(r *TreeRules) { r.LeastParts = 3 },
		func(r *TreeRules) { r.GroupMost = 1 }, func(r *TreeRules) { r.FanOut = 0 }, func(r *TreeRules) { r.Copies = 9 }, func(r *TreeRules) { r.Silent = 0 },
		func(r *TreeRules) { r.RestMax = 1 }} {
		r := treeRules(3)
		bad(&r)
		if _, err := NewPeerTable(r, 1); !errors.As(err, new(*InvalidRules)) {
			t.Errorf("%+v: %v", r, err)
		}
	}
}
