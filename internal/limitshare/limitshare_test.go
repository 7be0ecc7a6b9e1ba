package limitshare

import (
	"testing"

	"pgregory.net/rapid"

	"wheatsaddle/internal/testkit/rapidtest"
)

func TestMain(m *testing.M) { rapidtest.Main(m) }

// A process alone has the whole limit; beside others each phase has its share.
func TestSharesByPhase(t *testing.T) {
	limit, base := Amount{800, 400}, Amount{40, 20}
	claim := func(memory, sockets int64, phase Phase) Claim { return Claim{Amount{memory, sockets}, phase} }
	for _, x := range []struct {
		name   string
		own    Claim
		held   Amount
		others []Claim
		want   Amount
	}{
		{"alone", claim(40, 20, Waiting), base, nil, limit},
		{"alone and draining", claim(800, 400, Draining), base, nil, limit},
		{"beside a full process", claim(40, 20, Waiting), base, []Claim{claim(800, 400, Serving)}, base},
		{"waiting", claim(40, 20, Waiting), base, []Claim{claim(660, 330, Serving)}, Amount{140, 70}},
		{"serving beside one that waits", claim(800, 400, Serving), Amount{650, 320}, []Claim{claim(40, 20, Waiting)}, Amount{660, 330}},
		{"serving beside one that waits, and holds much", claim(800, 400, Serving), Amount{790, 390}, []Claim{claim(40, 20, Waiting)}, Amount{790, 390}},
		{"serving beside two that wait", claim(800, 400, Serving), base, []Claim{claim(40, 20, Waiting), claim(40, 20, Waiting)}, Amount{520, 260}},
		{"draining, and holds little", claim(660, 330, Draining), Amount{100, 390}, []Claim{claim(140, 70, Serving)}, Amount{400, 330}},
		{"draining, and holds more than it claims", claim(600, 300, Draining), Amount{700, 350}, []Claim{claim(140, 70, Serving)}, Amount{600, 300}},
		{"draining, and holds much", claim(660, 330, Draining), Amount{600, 100}, []Claim{claim(140, 70, Serving)}, Amount{600, 200}},
		{"serving beside one that drains", claim(140, 70, Serving), base, []Claim{claim(600, 200, Draining)}, Amount{200, 200}},
		{"serving beside one that drains and one that waits", claim(140, 70, Serving), base, []Claim{claim(300, 100, Draining), claim(140, 70, Waiting)}, Amount{360, 230}},
		{"a lower limit", claim(2000, 900, Serving), Amount{600, 300}, []Claim{claim(140, 70, Waiting)}, Amount{660, 330}},
	} {
		if got := Decide(State{Limit: limit, Base: base, Own: x.own, Held: x.held, Others: x.others}); got != x.want {
			t.Errorf("%s: claims %+v, want %+v", x.name, got, x.want)
		}
	}
}

// For any order of starts, takeovers, ends and decisions the claims stay within the limit, but for the bases of processes that have
// just started, and a process that is left alone gets the whole.
func TestClaimsStayWithinLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := Amount{rapid.Int64Range(200, 2000).Draw(t, "memory"), rapid.Int64Range(64, 1024).Draw(t, "sockets")}
		base := Amount{rapid.Int64Range(1, 40).Draw(t, "base memory"), rapid.Int64Range(1, 12).Draw(t, "base sockets")}
		var processes []*Claim
		held := map[*Claim]Amount{}
		others := func(own *Claim) (claims []Claim) {
			for _, p := range processes {
				if p != own {
					claims = append(claims, *p)
				}
			}
			return claims
		}
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			if len(processes) == 0 || len(processes) < 4 && rapid.IntRange(0, 9).Draw(t, "start") == 0 {
				processes = append(processes, &Claim{Amount: base})
				continue
			}
			i := rapid.IntRange(0, len(processes)-1).Draw(t, "process")
			own := processes[i]
			switch rapid.IntRange(0, 9).Draw(t, "step") {
			case 0:
				processes = append(processes[:i], processes[i+1:]...)
			case 1:
				own.Phase = min(own.Phase+1, Draining)
			case 2:
				held[own] = Amount{rapid.Int64Range(0, own.Memory).Draw(t, "held"), rapid.Int64Range(0, own.Sockets).Draw(t, "held sockets")}
			default:
				before := *own
				decided := Decide(State{Limit: limit, Base: base, Own: *own, Held: held[own], Others: others(own)})
				own.Amount = Amount{max(decided.Memory, min(held[own].Memory, own.Memory)), max(decided.Sockets, min(held[own].Sockets, own.Sockets))}
				checkRaise(t, limit.Memory, base.Memory, before.Memory, own.Memory, processes, func(c *Claim) int64 { return c.Memory })
				checkRaise(t, limit.Sockets, base.Sockets, before.Sockets, own.Sockets, processes, func(c *Claim) int64 { return c.Sockets })
				if len(processes) == 1 && own.Amount != limit {
					t.Fatalf("a process alone claims %+v of %+v", own.Amount, limit)
				}
			}
		}
	})
}

// checkRaise fails if a claim was raised beyond what the others leave.
func checkRaise(t *rapid.T, limit, base, before, after int64, processes []*Claim, amount func(*Claim) int64) {
	t.Helper()
	sum := int64(0)
	for _, p := range processes {
		sum += amount(p)
	}
	if after > before && after > base && sum > limit {
		t.Fatalf("raised from %d to %d: the claims are %d of %d", before, after, sum, limit)
	}
}
