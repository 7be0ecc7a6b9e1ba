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

func testDelegationRules(peers int) DelegationRules {
	r := DelegationRules{MinParts: 4, MaxGroupParts: 6, FanOut: 4, MaxPeerAttempts: 2, SilenceTimeout: 40 * ms, Backoff: 100 * ms, MaxBackoff: 800 * ms}
	for i := range peers {
		r.Peers = append(r.Peers, fmt.Sprint("q", i))
	}
	return r
}

// peerModel is the expected state of a peer.
type peerModel struct {
	failures  int
	notBefore time.Duration
	trials    int
	notAlive  bool
}

// simulatePeerTable drives a peer table through random reads and returns the invariant that it broke, numbered as in peer_table.go.
func simulatePeerTable(t *rapid.T, injected delegationFault) string {
	rules := testDelegationRules(rapid.IntRange(1, 6).Draw(t, "peers"))
	rules.MaxGroupParts = rapid.IntRange(2, 8).Draw(t, "max group parts")
	rules.FanOut = rapid.IntRange(1, 5).Draw(t, "fan-out")
	rules.MaxPeerAttempts = rapid.IntRange(1, 3).Draw(t, "max peer attempts")
	table, err := NewPeerTable(rules, 7)
	if err != nil {
		t.Fatal(err)
	}
	twin, _ := NewPeerTable(rules, 7) // has the same seed and events, for T8
	table.fault, twin.fault = injected, injected
	model := map[string]*peerModel{}
	for _, p := range rules.Peers {
		model[p] = &peerModel{}
	}
	type groupInFlight struct {
		Group
		plan int
	}
	var plans []ReadPlan
	var inFlight []groupInFlight
	endAttempt := func(now time.Duration, a groupInFlight, o PeerOutcome) {
		peer, m := a.PeerOrder[0], model[a.PeerOrder[0]]
		table.AttemptEnded(now, peer, a.Trial, o, 150*ms)
		twin.AttemptEnded(now, peer, a.Trial, o, 150*ms)
		if a.Trial != 0 {
			m.trials--
		}
		switch {
		case o == OutcomeSuccess && a.Trial != 0:
			m.failures, m.notBefore = 0, 0
		case o == OutcomeFailure && (a.Trial != 0 || m.failures == 0):
			backoff := min(rules.MaxBackoff, rules.Backoff<<m.failures)
			m.failures++
			m.notBefore = max(m.notBefore, now+backoff*3/4)
		case o == OutcomeRejected:
			m.notBefore = max(m.notBefore, now+150*ms)
		}
	}
	now := time.Duration(0)
	for range rapid.IntRange(1, 40).Draw(t, "steps") {
		now += time.Duration(rapid.IntRange(0, 12).Draw(t, "wait")) * 10 * ms
		if len(inFlight) > 0 && rapid.Bool().Draw(t, "an attempt ends") {
			i := rapid.IntRange(0, len(inFlight)-1).Draw(t, "ended attempt")
			endAttempt(now, inFlight[i], rapid.SampledFrom([]PeerOutcome{OutcomeSuccess, OutcomeFailure, OutcomeFailure, OutcomeRejected, OutcomeUnknown}).Draw(t, "outcome"))
			inFlight = slices.Delete(inFlight, i, i+1)
			continue
		}
		if rapid.IntRange(0, 3).Draw(t, "alive peers change if 0") == 0 {
			var alive []string
			for _, p := range rules.Peers {
				if model[p].notAlive = rapid.Bool().Draw(t, "not alive"); !model[p].notAlive {
					alive = append(alive, p)
				}
			}
			table.SetAlive(alive)
			twin.SetAlive(alive)
		}
		parts := newParts(rapid.IntRange(1, 30).Draw(t, "parts"))
		idempotent, limited := rapid.IntRange(0, 4).Draw(t, "idempotent if over 0") > 0, rapid.IntRange(0, 4).Draw(t, "rate limit if 0") == 0
		plan := table.Split(now, parts, idempotent, limited)
		if fmt.Sprint(plan) != fmt.Sprint(twin.Split(now, parts, idempotent, limited)) {
			return "T8: a table with the same seed and events splits the read differently"
		}
		if (!idempotent || limited || len(parts) < rules.MinParts) && len(plan.Groups) > 0 {
			return "T2: a read that must not be delegated has groups"
		}
		assigned := map[string]int{}
		smallest, largest := len(parts), 0
		for _, g := range plan.Groups {
			smallest, largest = min(smallest, len(g.Parts)), max(largest, len(g.Parts))
			for i, p := range g.Parts {
				assigned[p.ID]++
				if g.Of[i] != p.ID {
					return "T1: Of and Parts differ"
				}
			}
			if len(g.Of) != len(g.Parts) {
				return "T1: Of and Parts have different lengths"
			}
		}
		for _, p := range plan.Local {
			assigned[p.ID]++
		}
		for _, p := range parts {
			if assigned[p.ID] != 1 {
				return "T1: not in exactly one group or requested by this process: " + p.ID
			}
		}
		if len(plan.Groups) > 0 && (smallest < 2 || largest > rules.MaxGroupParts || largest > smallest+1 || len(plan.Groups) > rules.FanOut) {
			return "T1: too many groups, or groups of wrong sizes"
		}
		firstPeers := map[string]bool{}
		for _, g := range plan.Groups {
			used := map[string]bool{}
			for k, peer := range g.PeerOrder {
				m := model[peer]
				switch {
				case used[peer] || k == 0 && firstPeers[peer] || len(g.PeerOrder) > rules.MaxPeerAttempts:
					return "T3: a group has a peer twice or too many peers, or two groups have the same first peer"
				case m.notAlive:
					return "T9: a peer that is not alive is used"
				case now < m.notBefore:
					return "T4: a peer is used before its backoff or Retry-After ends"
				case m.failures > 0 && (k > 0 || g.Trial == 0 || m.trials > 0):
					return "T5: a peer that failed is used for more than one trial"
				}
				used[peer] = true
			}
			if firstPeers[g.PeerOrder[0]] = true; g.Trial != 0 {
				model[g.PeerOrder[0]].trials++
			}
			inFlight = append(inFlight, groupInFlight{g, len(plans)})
		}
		plans = append(plans, plan)
		if rapid.IntRange(0, 5).Draw(t, "the read ends if 0") == 0 { // the read ends without an outcome of its peers
			for _, a := range inFlight {
				if a.plan == len(plans)-1 && a.Trial != 0 {
					model[a.PeerOrder[0]].trials--
				}
			}
			inFlight = slices.DeleteFunc(inFlight, func(a groupInFlight) bool { return a.plan == len(plans)-1 })
			table.ReadEnded(plan)
			twin.ReadEnded(plan)
		}
	}
	return ""
}

func TestPeerTableInvariants(t *testing.T) { checkInvariants(t, simulatePeerTable) }

// Some simulation with each injected fault must break the invariant that is given for the fault.
func TestPeerTableInvariantsFindInjectedFaults(t *testing.T) {
	checkFaultsAreFound(t, simulatePeerTable, map[delegationFault]string{delegationFaultLosePart: "T1", delegationFaultDelegateNonIdempotent: "T2", delegationFaultSamePeerFirst: "T3", delegationFaultNoBackoff: "T4", delegationFaultIgnoreRetryAfter: "T4",
		delegationFaultConstantBackoff: "T4", delegationFaultNoTrial: "T5", delegationFaultUnseededRandom: "T8", delegationFaultUseDeadPeers: "T9"})
}

// Parts are split among three peers and this process. A peer that fails backs off, has a trial, and is used normally after its
// success. Peers that are known not to be alive get no group. Invalid rules are rejected.
func TestSplitByPeerStatus(t *testing.T) {
	table, err := NewPeerTable(testDelegationRules(3), 1)
	if err != nil {
		t.Fatal(err)
	}
	// sizes returns the number of parts in each group, and last the number of parts that this process requests.
	sizes := func(now time.Duration, n int) (s []int) {
		p := table.Split(now, newParts(n), true, false)
		for _, g := range p.Groups {
			s = append(s, len(g.Parts))
		}
		return append(s, len(p.Local))
	}
	for n, want := range map[int][]int{3: {3}, 4: {2, 2}, 8: {2, 2, 2, 2}, 24: {6, 6, 6, 6}, 26: {6, 6, 6, 8}, 11: {3, 3, 3, 2}} {
		if got := sizes(0, n); !slices.Equal(got, want) {
			t.Errorf("%d parts are split into %v, want %v", n, got, want)
		}
	}
	table.AttemptEnded(0, "q1", 0, OutcomeFailure, 0)
	if got := sizes(10*ms, 24); !slices.Equal(got, []int{6, 6, 12}) {
		t.Errorf("during the backoff 24 parts are split into %v", got)
	}
	p := table.Split(200*ms, newParts(24), true, false)
	if g := p.Groups[0]; len(p.Groups) != 3 || g.PeerOrder[0] != "q1" || g.Trial == 0 || len(g.PeerOrder) != 2 {
		t.Errorf("after the backoff q1 is not on trial with the first of three groups: %+v", p.Groups)
	}
	if got := sizes(200*ms, 24); !slices.Equal(got, []int{6, 6, 12}) {
		t.Errorf("during the trial 24 parts are split into %v", got)
	}
	table.AttemptEnded(210*ms, "q1", p.Groups[0].Trial, OutcomeSuccess, 0)
	if got := sizes(220*ms, 24); !slices.Equal(got, []int{6, 6, 6, 6}) || table.Status(220 * ms)[1] != (PeerStatus{Name: "q1"}) {
		t.Errorf("after the trial 24 parts are split into %v, with the status %v", got, table.Status(220*ms))
	}
	for _, c := range []struct { // with known live peers
		alive []string
		want  []int
	}{{[]string{"q0", "q2", "other"}, []int{6, 6, 12}}, {nil, []int{24}}, {[]string{"q0", "q1", "q2"}, []int{6, 6, 6, 6}}} {
		if table.SetAlive(c.alive); !slices.Equal(sizes(300*ms, 24), c.want) {
			t.Errorf("24 parts with %v alive are split into %v, want %v", c.alive, sizes(300*ms, 24), c.want)
		}
	}
	for _, invalidate := range []func(*DelegationRules){func(r *DelegationRules) { r.Peers = nil }, func(r *DelegationRules) { r.Peers[1] = "q0" }, func(r *DelegationRules) { r.MinParts = 3 },
		func(r *DelegationRules) { r.MaxGroupParts = 1 }, func(r *DelegationRules) { r.FanOut = 0 }, func(r *DelegationRules) { r.MaxPeerAttempts = 9 }, func(r *DelegationRules) { r.SilenceTimeout = 0 },
		func(r *DelegationRules) { r.MaxBackoff = 1 }} {
		r := testDelegationRules(3)
		invalidate(&r)
		if _, err := NewPeerTable(r, 1); !errors.As(err, new(*InvalidRules)) {
			t.Errorf("rules %+v: error %v, want InvalidRules", r, err)
		}
	}
}
