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

// partialOf is the whole partial result of a group, whose parts hold what body says.
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

// simulatedGroupAttempt is a copy of a group, or an own part, that is under way.
type simulatedGroupAttempt struct {
	Attempt
	text    []byte
	sent    int
	fault   string
	from    time.Duration
	last    time.Duration // it brought something
	blocked bool
}

// simulateTree drives a Gather with groups through a random world and says which invariant it broke.
func simulateTree(t *rapid.T, f treeFault) string {
	const total, until = 400 * ms, 300 * ms
	parts := rapid.IntRange(4, 14).Draw(t, "parts")
	rows := rapid.IntRange(0, 40).Draw(t, "rows")
	set := treeRules(rapid.IntRange(1, 4).Draw(t, "peers"))
	set.Copies = rapid.IntRange(1, 3).Draw(t, "copies")
	r := Rules{Share: 0.25, AtOnce: rapid.IntRange(1, 4).Draw(t, "atOnce"), Safe: true}
	cut := rapid.SampledFrom([]string{"", "", `,"truncate":{"top":30}`}).Draw(t, "cut")
	r.Merge = rulesOf(t, 8192, `,"complete":{"need":"best-effort"}`+cut)
	book, err := NewPeerTable(set, rapid.Uint64().Draw(t, "seed"))
	if err != nil {
		t.Fatal(err)
	}
	plan := book.Split(0, newParts(parts), true, false)
	g, err := New(r, total, plan.Parts())
	if err != nil {
		t.Fatal(err)
	}
	g.setGroups(set, plan)
	g.treeFault = f
	stall := rapid.SampledFrom([]time.Duration{total, total, 0, 60 * ms}).Draw(t, "stall") // the client takes no more
	byID := map[string]Group{}
	whole := map[string][]byte{}
	for _, x := range plan.Groups {
		byID[x.ID] = x
		whole[x.ID] = partialOf(t, r.Merge, x.Parts, parts, rows)
	}
	var outs []*simulatedGroupAttempt
	self, peers, over := map[string]bool{}, map[string]int{}, map[string]bool{}
	lost, failed, slack := map[string]bool{}, map[string]bool{}, map[string]bool{}
	var got []string
	for now := time.Duration(0); ; now += 5 * ms {
		for range 12 {
			for now < stall {
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
					outs = slices.DeleteFunc(outs, func(o *simulatedGroupAttempt) bool { return o.Part.ID == id && o.Number == a.Number })
					continue
				}
				o := &simulatedGroupAttempt{Attempt: a.Attempt, fault: "whole", from: now, last: now}
				if !isGroup {
					o.text = partRows(a.Part.Shard, parts, rows)
				} else {
					o.text = whole[id]
					if a.Peer == "" {
						self[id] = true
						o.fault = rapid.SampledFrom([]string{"whole", "whole", "whole", "refused"}).Draw(t, "own fate")
					} else {
						peers[id]++
						o.fault = rapid.SampledFrom([]string{"whole", "failed", "cut", "silent", "silent", "slow", "slow", "lost"}).Draw(t, "fate")
						if lost[id] {
							return "T6: a peer after one that lost parts"
						}
					}
					if peers[id] > len(x.PeerOrder) || a.Peer != "" && !slices.Contains(x.PeerOrder, a.Peer) {
						return "T3"
					}
				}
				outs = append(outs, o)
				n := 0
				for _, o := range outs {
					if o.Part.ID == id {
						n++
					}
				}
				if isGroup && n > maxConcurrentAttempts {
					return "T7: three"
				}
			}
			if g.WakeAt() > now {
				break
			}
		}
		final, done := g.Final()
		if done {
			if stall == total && cut == "" && !final.Result.Whole && !slices.Contains(slices.Collect(maps.Values(failed)), true) {
				return "T6: not whole, though the process itself could have asked"
			}
			return checkTree(&final, got, byID, parts, rows, cut != "")
		}
		if now >= total {
			return "S9"
		}
		for _, d := range g.merge.Want() { // what was brought waits for the merge
			slack[d.Part] = slack[d.Part] || !d.First && 2*d.Bytes <= 8192/(len(plan.Parts())+1)
		}
		for id := range byID {
			k := slices.IndexFunc(outs, func(o *simulatedGroupAttempt) bool { return o.Part.ID == id })
			slack[id] = slack[id] || k >= 0 && slices.ContainsFunc(outs, func(o *simulatedGroupAttempt) bool { return o.Part.ID == id && o.blocked })
			// What waits for room is not late.
			if over[id] || self[id] || slack[id] || stall < total || cut != "" || now >= until {
				continue
			}
			if k < 0 {
				return "T6: nobody is asked"
			}
			n := time.Duration(set.Copies)
			if now > until*n/(n+1) {
				return "T6: not asked in time"
			}
			if newest := outs[len(outs)-1-slices.IndexFunc(reversed(outs), func(o *simulatedGroupAttempt) bool { return o.Part.ID == id })]; now > newest.last+set.Silent {
				return "T7: silent, and nobody follows"
			}
		}
		for _, o := range slices.Clone(outs) {
			id := o.Part.ID
			most := 64
			if o.Peer == "" {
				most = 4096
			}
			limit := len(o.text)
			var end error
			switch o.fault {
			case "silent":
				continue
			case "slow":
				most = 3
			case "failed":
				limit, end = 0, &PeerFailed{id, o.Peer, "gone"}
			case "refused":
				limit, end = 0, &Rejection{ms}
			case "cut":
				limit, end = len(o.text)*2/3, &PeerFailed{id, o.Peer, "cut"}
			case "lost":
				limit, end = len(o.text)/2, &PeerLostParts{id, o.Peer, "x"}
			}
			n := min(most, limit-o.sent)
			took := g.Receive(now, id, o.Number, o.text[o.sent:o.sent+n])
			if o.blocked = took < n; took > 0 {
				o.last = now
			}
			if o.sent += took; o.sent < limit || o.blocked {
				continue
			}
			outs = slices.DeleteFunc(outs, func(x *simulatedGroupAttempt) bool { return x == o })
			lost[id] = lost[id] || o.fault == "lost"
			over[id] = over[id] || end == nil
			failed[id] = failed[id] || o.fault == "refused"
			g.AttemptEnded(now, id, o.Number, end)
		}
	}
}

func reversed[T any](s []T) []T { s = slices.Clone(s); slices.Reverse(s); return s }

// checkTree: the rows are the flat merge's, or what is absent is named.
func checkTree(f *Final, got []string, groups map[string]Group, parts, rows int, cut bool) string {
	named := map[int]bool{}
	for _, p := range f.Result.Parts {
		named[p.Shard] = true
	}
	k := 0
	for _, row := range got {
		for ; row != fmt.Sprintf(`{"n":%d}`, k); k++ {
			if k >= parts*rows || !named[shardOf(groups, k%parts)] && !named[k%parts] {
				return "S8: " + row
			}
		}
		k++
	}
	if f.Kind == Served && f.Result.Whole && !cut && len(got) != parts*rows {
		return fmt.Sprintf("S8: %d of %d", len(got), parts*rows)
	}
	if f.Kind == Served && !f.Result.Whole && !cut && len(named) == 0 {
		return "S8: not whole, nothing named"
	}
	return ""
}

// shardOf: the root knows the parts of a group by the group's shard.
func shardOf(groups map[string]Group, shard int) int {
	for _, x := range groups {
		if slices.ContainsFunc(x.Parts, func(p gather.Part) bool { return p.Shard == shard }) {
			return x.Shard
		}
	}
	return shard
}

func TestGroupTakeoverInvariants(t *testing.T) { checkInvariants(t, simulateTree) }

func TestGroupTakeoverInvariantsFindInjectedFaults(t *testing.T) {
	checkFaultsAreFound(t, simulateTree, map[treeFault]string{treeFaultNoLocalAttempt: "T6", treeFaultIgnoreTimeShare: "T6", treeFaultThirdAttempt: "T7", treeFaultIgnoreSilence: "T7", treeFaultIgnoreLostParts: "T6"})
}
