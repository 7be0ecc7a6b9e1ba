package scattergather

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"wheatsaddle/gather"
)

// partialOf returns the complete partial result of a group, whose parts have the rows of partRows.
func partialOf(t interface{ Fatal(...any) }, r *gather.Rules, group []gather.Part, parts, rows int) []byte {
	m, err := gather.New(r, group)
	if err != nil {
		t.Fatal(err)
	}
	var text []byte
	left := make([][]byte, len(group))
	for i, p := range group {
		left[i] = partRows(p.Shard, parts, rows)
	}
	for done := false; !done; {
		for i, p := range group {
			for _, d := range m.Want() {
				if n := min(d.Bytes, len(left[i])); d.Part == p.ID && len(left[i]) > 0 {
					if err := m.Add(p.ID, 1, left[i][:n]); err != nil {
						t.Fatal(err)
					}
					left[i] = left[i][n:]
				}
			}
			if len(left[i]) == 0 {
				_ = m.End(p.ID, 1, nil)
			}
		}
		text, done = m.AppendPartial(text, 0)
	}
	return text
}

// simulatedGroupAttempt is an attempt in flight, of a group or of a part that this process requests itself.
type simulatedGroupAttempt struct {
	Attempt
	text         []byte
	sent         int
	fault        string
	startedAt    time.Duration
	lastActivity time.Duration // when its last bytes were consumed
	blocked      bool
}

// simulateDelegation drives a Gather with groups through a random simulation and returns the invariant that it broke, numbered as in
// gather.go and peer_table.go.
func simulateDelegation(t *rapid.T, injected delegationFault) string {
	const deadline, partsDeadline = 400 * ms, 300 * ms
	parts := rapid.IntRange(4, 14).Draw(t, "parts")
	rows := rapid.IntRange(0, 40).Draw(t, "rows")
	rules := testDelegationRules(rapid.IntRange(1, 4).Draw(t, "peers"))
	rules.MaxPeerAttempts = rapid.IntRange(1, 3).Draw(t, "max peer attempts")
	r := Rules{MergeTimeShare: 0.25, MaxConcurrentParts: rapid.IntRange(1, 4).Draw(t, "concurrent parts"), Idempotent: true}
	truncate := rapid.SampledFrom([]string{"", "", `,"truncate":{"top":30}`}).Draw(t, "truncate")
	r.Merge = rulesOf(t, 8192, `,"complete":{"need":"best-effort"}`+truncate)
	peerTable, err := NewPeerTable(rules, rapid.Uint64().Draw(t, "seed"))
	if err != nil {
		t.Fatal(err)
	}
	plan := peerTable.Split(0, newParts(parts), true, false)
	g, err := New(r, deadline, plan.Parts())
	if err != nil {
		t.Fatal(err)
	}
	g.setGroups(rules, plan)
	g.delegationFault = injected
	stallAt := rapid.SampledFrom([]time.Duration{deadline, deadline, 0, 60 * ms}).Draw(t, "stall at") // the client reads no more rows
	byID := map[string]Group{}
	completeResults := map[string][]byte{}
	for _, x := range plan.Groups {
		byID[x.ID] = x
		completeResults[x.ID] = partialOf(t, r.Merge, x.Parts, parts, rows)
	}
	var inFlight []*simulatedGroupAttempt
	local, peerAttempts, finished := map[string]bool{}, map[string]int{}, map[string]bool{}
	lostParts, rejected, waitedForMerge := map[string]bool{}, map[string]bool{}, map[string]bool{}
	var got []string
	for now := time.Duration(0); ; now += 5 * ms {
		for range 12 {
			for now < stallAt {
				row, ok := g.Next()
				if !ok {
					break
				}
				got = append(got, string(row))
			}
			for _, a := range g.Step(now) {
				id := a.Part.ID
				x, isGroup := byID[id]
				if a.Cancel {
					inFlight = slices.DeleteFunc(inFlight, func(o *simulatedGroupAttempt) bool { return o.Part.ID == id && o.Number == a.Number })
					continue
				}
				o := &simulatedGroupAttempt{Attempt: a.Attempt, fault: "complete", startedAt: now, lastActivity: now}
				if !isGroup {
					o.text = partRows(a.Part.Shard, parts, rows)
				} else {
					o.text = completeResults[id]
					if a.Peer == "" {
						local[id] = true
						o.fault = rapid.SampledFrom([]string{"complete", "complete", "complete", "rejected"}).Draw(t, "local fault")
					} else {
						peerAttempts[id]++
						o.fault = rapid.SampledFrom([]string{"complete", "failed", "truncated", "silent", "silent", "slow", "slow", "lost"}).Draw(t, "fault")
						if lostParts[id] {
							return "T6: a peer is used after another lost parts"
						}
					}
					if peerAttempts[id] > len(x.PeerOrder) || a.Peer != "" && !slices.Contains(x.PeerOrder, a.Peer) {
						return "T3: a group is sent to too many peers, or to one that is not in its order"
					}
				}
				inFlight = append(inFlight, o)
				n := 0
				for _, o := range inFlight {
					if o.Part.ID == id {
						n++
					}
				}
				if isGroup && n > maxConcurrentAttempts {
					return "T7: three attempts in flight"
				}
			}
			if g.WakeAt() > now {
				break
			}
		}
		final, done := g.Final()
		if done {
			if stallAt == deadline && truncate == "" && !final.Result.Whole && !slices.Contains(slices.Collect(maps.Values(rejected)), true) {
				return "T6: incomplete, although this process could have gathered the group"
			}
			return checkResult(&final, got, byID, parts, rows, truncate != "")
		}
		if now >= deadline {
			return "S9: no final answer at the client's deadline"
		}
		for _, d := range g.merge.Want() { // the delivered bytes wait for the merge
			waitedForMerge[d.Part] = waitedForMerge[d.Part] || !d.First && 2*d.Bytes <= 8192/(len(plan.Parts())+1)
		}
		for id := range byID {
			k := slices.IndexFunc(inFlight, func(o *simulatedGroupAttempt) bool { return o.Part.ID == id })
			waitedForMerge[id] = waitedForMerge[id] || k >= 0 && slices.ContainsFunc(inFlight, func(o *simulatedGroupAttempt) bool { return o.Part.ID == id && o.blocked })
			// An attempt that waits for memory of the merge is not late.
			if finished[id] || local[id] || waitedForMerge[id] || stallAt < deadline || truncate != "" || now >= partsDeadline {
				continue
			}
			if k < 0 {
				return "T6: no attempt in flight"
			}
			n := time.Duration(rules.MaxPeerAttempts)
			if now > partsDeadline*n/(n+1) {
				return "T6: this process starts its attempt too late"
			}
			if newest := inFlight[len(inFlight)-1-slices.IndexFunc(reversed(inFlight), func(o *simulatedGroupAttempt) bool { return o.Part.ID == id })]; now > newest.lastActivity+rules.SilenceTimeout {
				return "T7: a silent attempt is not taken over"
			}
		}
		for _, o := range slices.Clone(inFlight) {
			id := o.Part.ID
			maxBytes := 64
			if o.Peer == "" {
				maxBytes = 4096
			}
			limit := len(o.text)
			var end error
			switch o.fault {
			case "silent":
				continue
			case "slow":
				maxBytes = 3
			case "failed":
				limit, end = 0, &PeerFailed{id, o.Peer, "unreachable"}
			case "rejected":
				limit, end = 0, &Rejection{ms}
			case "truncated":
				limit, end = len(o.text)*2/3, &PeerFailed{id, o.Peer, "truncated"}
			case "lost":
				limit, end = len(o.text)/2, &PeerLostParts{id, o.Peer, "x"}
			}
			n := min(maxBytes, limit-o.sent)
			consumed := g.Receive(now, id, o.Number, o.text[o.sent:o.sent+n])
			if o.blocked = consumed < n; consumed > 0 {
				o.lastActivity = now
			}
			if o.sent += consumed; o.sent < limit || o.blocked {
				continue
			}
			inFlight = slices.DeleteFunc(inFlight, func(x *simulatedGroupAttempt) bool { return x == o })
			lostParts[id] = lostParts[id] || o.fault == "lost"
			finished[id] = finished[id] || end == nil
			rejected[id] = rejected[id] || o.fault == "rejected"
			g.AttemptEnded(now, id, o.Number, end)
		}
	}
}

func reversed[T any](s []T) []T { s = slices.Clone(s); slices.Reverse(s); return s }

// checkResult returns invariant S8 if the rows are not those of the flat merge and no missing part explains it.
func checkResult(f *Final, got []string, groups map[string]Group, parts, rows int, truncated bool) string {
	named := map[int]bool{}
	for _, p := range f.Result.Parts {
		named[p.Shard] = true
	}
	k := 0
	for _, row := range got {
		for ; row != fmt.Sprintf(`{"n":%d}`, k); k++ {
			if k >= parts*rows || !named[shardOf(groups, k%parts)] && !named[k%parts] {
				return "S8: a row is out of order, or rows before it are missing, but their part is not named: " + row
			}
		}
		k++
	}
	if f.Kind == Served && f.Result.Whole && !truncated && len(got) != parts*rows {
		return fmt.Sprintf("S8: the complete answer has %d rows of %d", len(got), parts*rows)
	}
	if f.Kind == Served && !f.Result.Whole && !truncated && len(named) == 0 {
		return "S8: incomplete, but no part is named"
	}
	return ""
}

// shardOf returns the shard under which the coordinator names a part: for a part of a group, the group's shard.
func shardOf(groups map[string]Group, shard int) int {
	for _, x := range groups {
		if slices.ContainsFunc(x.Parts, func(p gather.Part) bool { return p.Shard == shard }) {
			return x.Shard
		}
	}
	return shard
}

func TestGroupTakeoverInvariants(t *testing.T) { checkInvariants(t, simulateDelegation) }

// Some simulation with each injected fault must break the invariant that is given for the fault.
func TestGroupTakeoverInvariantsFindInjectedFaults(t *testing.T) {
	checkFaultsAreFound(t, simulateDelegation, map[delegationFault]string{delegationFaultNoLocalAttempt: "T6", delegationFaultIgnoreTimeShare: "T6", delegationFaultThirdAttempt: "T7", delegationFaultIgnoreSilence: "T7", delegationFaultIgnoreLostParts: "T6"})
}
