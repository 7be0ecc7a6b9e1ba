package config

import (
	"cmp"
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"

	"wheatsaddle/policy"
)

const (
	playSeed   = 7     // of the module, and of what is drawn
	playStart  = 1e6   // ms: the module's time at the start
	playFilled = 120e3 // ms after the first request: every store of a limit is full
	playLate   = 1e-6  // ms: what floating point adds to a time
	playAnswer = 20.0  // ms: a node's usual answer
	playAgain  = 500.0 // ms: after which what may be sent again has been, and no node is silent yet
	playBeyond = 5     // units asked of a volume over what its limit holds
	playReview = 10.0  // ms: waiting requests are reviewed so often
	playSweep  = 2 * playReview
)

// player drives the module made from a variant's settings in virtual time, and holds each of its actions
// against the settings as told. It is the clients, the nodes and the list.
type player struct {
	t      *testing.T
	site   deployment
	module *policy.Scheduler
	now    float64
	due    playDues
	seq    int
	asked  map[string]*playRequest
	order  []*playRequest
	nodes  map[string]policy.Node
	told   map[string]float64 // when a node was last told to drain
	takes  []float64          // requests taken
	extras []float64          // further attempts
	stores map[string]*playStore
	acts   []policy.Action // of the last step
	// onSend says how an attempt ends; nil: the test ends it itself.
	onSend func(r *playRequest, attempt int)
	seen   playSeen
}

// playSeen counts what a test has to have reached.
type playSeen struct {
	again, refusedInDoubt, failedInDoubt, pastWindow map[string]int // by class
	copies                                           int
}

type playRequest struct {
	id       string
	class    toldClass
	plan     toldPlan
	volume   string
	units    float64
	hosts    int
	shard    int
	came     float64
	notAfter float64
	tries    []*playTry
	final    string // "", served, refused, failed, gone
	finalAt  float64
	wait     float64 // told with a refusal
}

type playTry struct {
	node   string
	at     float64
	by     float64
	open   bool
	status policy.Status
}

// mayHaveRun: it is out, or its end proves nothing.
func (x *playTry) mayHaveRun() bool {
	return x.open || !slices.Contains([]policy.Status{policy.NodeFull, policy.ConnectFailed, policy.Abandoned}, x.status)
}

type playStore struct{ level, at float64 }

type playDue struct {
	at  float64
	seq int
	do  func()
}

type playDues []playDue

func (d playDues) Len() int { return len(d) }
func (d playDues) Less(i, j int) bool {
	return d[i].at < d[j].at || d[i].at == d[j].at && d[i].seq < d[j].seq
}
func (d playDues) Swap(i, j int) { d[i], d[j] = d[j], d[i] }
func (d *playDues) Push(x any)   { *d = append(*d, x.(playDue)) }
func (d *playDues) Pop() any {
	old := *d
	x := old[len(old)-1]
	*d = old[:len(old)-1]
	return x
}

// newPlayer starts the module with one node for each of some shards, in all zones in turn.
func newPlayer(t *testing.T, s deployment, shards int) *player {
	t.Helper()
	module, err := policy.New(s.conf.Settings, playSeed)
	if err != nil {
		t.Fatalf("%s: %v", s.name, err)
	}
	p := &player{t: t, site: s, module: module, now: playStart, asked: map[string]*playRequest{}, nodes: map[string]policy.Node{},
		told: map[string]float64{}, stores: map[string]*playStore{},
		seen: playSeen{again: map[string]int{}, refusedInDoubt: map[string]int{}, failedInDoubt: map[string]int{}, pastWindow: map[string]int{}}}
	var list []policy.Node
	for i := range shards {
		n := policy.Node{ID: fmt.Sprint("node-", i), Zone: s.told.Zones[i%len(s.told.Zones)], Shard: i, Weight: 1}
		list = append(list, n)
		p.nodes[n.ID] = n
	}
	p.step(policy.Event{Kind: policy.CachedListLoaded, Nodes: list})
	if asks := slices.ContainsFunc(p.acts, func(a policy.Action) bool { return a.Kind == policy.Subscribe }); asks != (s.told.Mode == "ask") {
		t.Errorf("%s: the list is %sed, and asked for: %v", s.name, s.told.Mode, asks)
	}
	p.step(policy.Event{Kind: policy.ListReceived, Nodes: list})
	return p
}

// filled lets the stores of limits fill: at a start they count as empty.
func (p *player) filled() *player {
	r := p.ask(p.site.told.Profiles[0], p.site.told.Contracts[len(p.site.told.Contracts)-1], 0, 0)
	p.end(r, 0, policy.OK)
	p.run(p.now + playFilled)
	return p
}

func (p *player) after(wait float64, do func()) {
	p.seq++
	heap.Push(&p.due, playDue{p.now + wait, p.seq, do})
}

// run goes on to a time.
func (p *player) run(until float64) {
	for len(p.due) > 0 && p.due[0].at <= until {
		d := heap.Pop(&p.due).(playDue)
		p.now = max(p.now, d.at)
		d.do()
	}
	p.now = max(p.now, until)
}

// step gives the module events and judges what it does.
func (p *player) step(events ...policy.Event) {
	p.t.Helper()
	p.acts = p.module.Step(p.now, events, nil)
	for _, a := range slices.Clone(p.acts) {
		p.judge(a)
	}
}

func (p *player) fault(form string, args ...any) {
	p.t.Helper()
	p.t.Errorf("%s at %.0f ms: %s", p.site.name, p.now-playStart, fmt.Sprintf(form, args...))
}

// ask brings a request; with no time left told, the class's deadline is its client's. Each is of a volume of its own.
func (p *player) ask(c toldClass, plan toldPlan, shard int, left float64) *playRequest {
	p.t.Helper()
	return p.askOf(fmt.Sprint("volume-", len(p.order)), 1, c, plan, shard, left)
}

func (p *player) askOf(volume string, hosts int, c toldClass, plan toldPlan, shard int, left float64) *playRequest {
	p.t.Helper()
	if left == 0 {
		left = c.Deadline
	}
	r := &playRequest{id: fmt.Sprint("request-", len(p.order)), class: c, plan: plan, volume: volume, units: 1, hosts: hosts,
		shard: shard, came: p.now, notAfter: p.now + left}
	p.order = append(p.order, r)
	p.asked[r.id] = r
	p.takes = append(p.takes, p.now)
	p.after(left, func() { p.timeOut(r) })
	p.after(left+p.site.told.Rules.AnswerSlack, func() { p.overdue(r) })
	p.step(policy.Event{Kind: policy.RequestArrived, Request: policy.Request{ID: r.id, Class: c.Name, Plan: plan.Name, Key: "key-" + r.id,
		Volume: volume, Deadline: r.notAfter, Units: r.units, Shard: shard, Schedulers: hosts}})
	return r
}

// timeOut is the client's last moment: what is out ends, as the network code has it.
func (p *player) timeOut(r *playRequest) {
	for i, x := range r.tries {
		if x.open {
			p.end(r, i, policy.TimedOut)
		}
	}
}

// overdue is when a request must have its final answer.
func (p *player) overdue(r *playRequest) {
	p.t.Helper()
	if r.final == "" {
		p.fault("%s (%s, %s) has no final answer at its client's deadline", r.id, r.class.Name, r.plan.Name)
		r.final = "lost"
	}
}

// end tells the module how an attempt ended.
func (p *player) end(r *playRequest, attempt int, status policy.Status) {
	p.t.Helper()
	x := r.tries[attempt]
	if !x.open {
		return
	}
	x.open, x.status = false, status
	if status == policy.OK && r.final == "" {
		r.final, r.finalAt = "served", p.now
	}
	p.step(policy.Event{Kind: policy.AttemptEnded, ID: r.id, Attempt: attempt, Node: x.node, Status: status, Latency: p.now - x.at,
		Finished: r.final != ""})
}

// judge holds one action against the settings.
func (p *player) judge(a policy.Action) {
	p.t.Helper()
	r := p.asked[a.ID]
	switch a.Kind {
	case policy.SetTimer:
		p.after(a.Wait, func() { p.step(policy.Event{Kind: policy.TimerFired, Tag: a.Tag}) })
	case policy.Send:
		p.judgeSend(r, a)
	case policy.Reject:
		p.judgeFinal(r, "refused")
		r.wait = a.Wait
		if most := p.site.told.Ceilings.RetryMost; a.Wait > most || a.Wait > 0 && !p.site.told.Ceilings.RetryAfter {
			p.fault("%s is told to come back after %.0f ms", r.id, a.Wait)
		}
		if doubt, _ := r.doubt(); doubt {
			p.seen.refusedInDoubt[r.class.Name]++
			if r.class.Repeat == "unsafe" || r.class.Repeat == "keyed" && r.class.Scope != "all" {
				p.fault("%s (%s) is refused, and may have run", r.id, r.class.Name)
			}
		}
	case policy.Fail:
		p.judgeFinal(r, "failed")
		if doubt, _ := r.doubt(); doubt {
			p.seen.failedInDoubt[r.class.Name]++
		}
	case policy.Cancel:
		if !p.site.told.Ceilings.Cancel {
			p.fault("%s is called off", r.id)
		}
		p.after(0, func() { p.end(r, a.Attempt, policy.Cancelled) })
	case policy.CheckHealth:
		if !p.site.told.Ceilings.Probes {
			p.fault("%s is probed", a.Node)
		}
	case policy.Gossip:
		if !p.site.told.Ceilings.Peers {
			p.fault("peers are told")
		}
	}
}

func (p *player) judgeFinal(r *playRequest, final string) {
	p.t.Helper()
	if r.final != "" {
		p.fault("%s is %s, and was %s", r.id, final, r.final)
	}
	if p.now > r.notAfter+p.site.told.Rules.AnswerSlack {
		p.fault("%s is %s %.0f ms after its client left", r.id, final, p.now-r.notAfter)
	}
	r.final, r.finalAt = final, p.now
}

// doubt says whether an attempt of the request may have run, and when the first of these was sent.
func (r *playRequest) doubt() (bool, *playTry) {
	for _, x := range r.tries {
		if x.mayHaveRun() {
			return true, x
		}
	}
	return false, nil
}

func (p *player) judgeSend(r *playRequest, a policy.Action) {
	p.t.Helper()
	told := p.site.told
	n := p.nodes[a.Node]
	doubt, first := r.doubt()
	open := 0
	for _, x := range r.tries {
		if x.open {
			open++
		}
	}
	if r.final != "" {
		p.fault("%s is sent, and was %s", r.id, r.final)
	}
	if len(r.tries) >= told.Ceilings.Attempts {
		p.fault("%s is sent %d times, %d may", r.id, len(r.tries)+1, told.Ceilings.Attempts)
	}
	if open > 1 || open == 1 && !told.Ceilings.SecondCopies {
		p.fault("%s is sent beside %d attempts that are out", r.id, open)
	}
	if a.Deadline > r.notAfter+playLate {
		p.fault("%s is sent for %.0f ms, its client has %.0f left", r.id, a.Deadline-p.now, r.notAfter-p.now)
	}
	if r.shard >= 0 && n.Shard != r.shard {
		p.fault("%s of shard %d goes to %s", r.id, r.shard, a.Node)
	}
	if since, draining := p.told[a.Node]; draining && p.now > since+told.Rules.Grace {
		p.fault("%s goes to %s %.0f ms after it was told to drain", r.id, a.Node, p.now-since)
	}
	if doubt {
		p.judgeRepeat(r, a, first)
	}
	if len(r.tries) == 0 {
		p.judgeLimit(r)
	} else {
		p.judgeBudget(r)
		p.seen.again[r.class.Name]++
	}
	if open > 0 {
		p.seen.copies++
	}
	r.tries = append(r.tries, &playTry{node: a.Node, at: p.now, by: a.StartBy, open: true})
	if attempt := len(r.tries) - 1; p.onSend != nil {
		p.onSend(r, attempt)
	}
}

// judgeRepeat: an attempt after one that may have run goes by the class's effect.
func (p *player) judgeRepeat(r *playRequest, a policy.Action, first *playTry) {
	p.t.Helper()
	switch r.class.Repeat {
	case "unsafe":
		p.fault("%s (%s) is sent again, and may have run", r.id, r.class.Name)
	case "keyed":
		from, to := p.nodes[first.node], p.nodes[a.Node]
		if r.class.Scope == "cell" && from.Shard != to.Shard || r.class.Scope == "zone" && from.Zone != to.Zone {
			p.fault("%s (%s) is sent again outside its %s", r.id, r.class.Name, r.class.Scope)
		}
		ends := first.at + r.class.Window
		if p.now > ends+playLate {
			p.fault("%s (%s) is sent again %.0f ms after its window", r.id, r.class.Name, p.now-ends)
		}
		if a.StartBy == 0 || a.StartBy > ends+playLate {
			p.fault("%s (%s) is sent again and may begin until %.0f ms, its window ends at %.0f", r.id, r.class.Name, a.StartBy-playStart, ends-playStart)
		}
	}
}

// judgeLimit: a volume's first attempts draw on this host's part of a store that was full at first.
func (p *player) judgeLimit(r *playRequest) {
	p.t.Helper()
	if r.plan.Cap == 0 {
		return
	}
	part := 1 / float64(r.hosts)
	s := p.stores[r.volume]
	if s == nil {
		s = &playStore{r.plan.Burst * part, p.now}
		p.stores[r.volume] = s
	}
	s.level, s.at = min(s.level+r.plan.Cap*part*(p.now-s.at)/1000, r.plan.Burst*part), p.now
	if s.level -= r.units; s.level < -playLate {
		p.fault("%s (%s) is sent %.2f units over its volume's limit", r.id, r.plan.Name, -s.level)
	}
}

// judgeBudget: further attempts stay within a part of the requests taken.
func (p *player) judgeBudget(r *playRequest) {
	p.t.Helper()
	rules := p.site.told.Rules
	if rules.Counted == 0 {
		return
	}
	within := func(times []float64, here func(age float64) bool) (n float64) {
		for _, at := range times {
			if here(p.now - at) {
				n++
			}
		}
		return n
	}
	p.extras = append(p.extras, p.now)
	sent := within(p.extras, func(age float64) bool { return age <= rules.Counted })
	taken := within(p.takes, func(age float64) bool { return age < rules.Counted })
	if sent > rules.Floor+rules.Ratio*taken {
		p.fault("%s is a further attempt, the %.0fth of %.0f requests", r.id, sent, taken)
	}
}

// eachClassAndPlan runs a test for each class and plan of each variant.
func eachClassAndPlan(t *testing.T, play func(t *testing.T, s deployment, c toldClass, plan toldPlan)) {
	for _, s := range deployments(t) {
		for _, c := range s.told.Profiles {
			for _, plan := range s.told.Contracts {
				t.Run(s.name+"/"+c.Name+"/"+plan.Name, func(t *testing.T) { play(t, s, c, plan) })
			}
		}
	}
}

// A request of each class and plan goes out at once, for as long as its client waits, and an answer ends it.
func TestDeploymentRequestsAreServed(t *testing.T) {
	eachClassAndPlan(t, func(t *testing.T, s deployment, c toldClass, plan toldPlan) {
		for _, left := range []float64{c.Deadline, c.Deadline / 2} {
			p := newPlayer(t, s, 3).filled()
			r := p.ask(c, plan, 1, left)
			i := slices.IndexFunc(p.acts, func(a policy.Action) bool { return a.Kind == policy.Send })
			if len(r.tries) != 1 || p.acts[i].Deadline != r.notAfter {
				t.Fatalf("sent %d times, %+v", len(r.tries), p.acts)
			}
			p.run(p.now + playAnswer)
			p.end(r, 0, policy.OK)
			p.run(r.notAfter + 1)
			if r.final != "served" || len(r.tries) != 1 {
				t.Errorf("%s after %d attempts", r.final, len(r.tries))
			}
		}
	})
}

// Names of another deployment mean nothing here: a request of an unknown class or plan is refused.
func TestDeploymentKnowsItsOwnNamesAlone(t *testing.T) {
	all := deployments(t)
	for i, s := range all {
		other := all[(i+1)%len(all)].told
		own := s.told
		for _, x := range []struct {
			class toldClass
			plan  toldPlan
			final string
		}{{own.Profiles[0], own.Contracts[1], ""}, {other.Profiles[0], own.Contracts[1], "refused"}, {own.Profiles[0], other.Contracts[1], "refused"}} {
			p := newPlayer(t, s, 2)
			if r := p.ask(x.class, x.plan, 0, 0); r.final != x.final {
				t.Errorf("%s: %s, %s: %q, want %q", s.name, x.class.Name, x.plan.Name, r.final, x.final)
			}
		}
	}
}

// What follows an attempt goes by the class's effect: one that may have run is sent again where the class may be
// repeated, and else ends as failed; one that never ran is sent again in any class.
func TestDeploymentEffects(t *testing.T) {
	eachClassAndPlan(t, func(t *testing.T, s deployment, c toldClass, plan toldPlan) {
		for _, status := range []policy.Status{policy.Errored, policy.ConnectionReset, policy.NodeFull, policy.ConnectFailed} {
			p := newPlayer(t, s, 3).filled()
			r := p.ask(c, plan, 1, 0)
			p.run(p.now + playAnswer)
			p.end(r, 0, status)
			p.run(p.now + min(c.Aim/2, playAgain))
			proved := status == policy.NodeFull || status == policy.ConnectFailed
			if again := proved || c.Repeat != "unsafe"; again != (len(r.tries) == 2) {
				t.Fatalf("status %v: sent %d times, then %q", status, len(r.tries), r.final)
			}
			if c.Repeat == "unsafe" && !proved && r.final != "failed" {
				t.Errorf("status %v: %q", status, r.final)
			}
			if c.Repeat == "keyed" && len(r.tries) == 2 {
				want := 0.0 // it never ran: no window is open
				if !proved {
					want = r.tries[0].at + c.Window
				}
				if r.tries[1].by != want {
					t.Errorf("status %v: may begin until %v, want %v", status, r.tries[1].by, want)
				}
			}
			p.run(r.notAfter + 1)
			if len(r.tries) > s.told.Ceilings.Attempts {
				t.Errorf("sent %d times", len(r.tries))
			}
		}
	})
}

// A request is sent as often as the settings allow, and no more: those of classes that may be repeated freely after
// errors, others after proof that they never ran, between which a node gets longer and longer rests.
func TestDeploymentAttemptsAreCounted(t *testing.T) {
	for _, s := range deployments(t) {
		for _, c := range s.told.Profiles {
			status, least := policy.NodeFull, 2
			if c.Repeat == "safe" {
				status, least = policy.Errored, s.told.Ceilings.Attempts
			}
			p := newPlayer(t, s, 2).filled()
			p.onSend = func(r *playRequest, attempt int) {
				p.after(1, func() { p.end(r, attempt, status) })
			}
			r := p.ask(c, s.told.Contracts[len(s.told.Contracts)-1], 0, 0)
			p.run(r.notAfter + 1)
			if len(r.tries) < least || len(r.tries) > s.told.Ceilings.Attempts || r.final != "refused" {
				t.Errorf("%s, %s: %q after %d attempts of %d", s.name, c.Name, r.final, len(r.tries), s.told.Ceilings.Attempts)
			}
		}
	}
}

// Where further attempts have a budget, a burst of errors spends all of it and no more; elsewhere each request has
// the attempts that the settings allow. The days on sockets leave budgets out of their settings, so they are taken
// from the site file, as the simulator's settings have them.
func TestDeploymentBudgets(t *testing.T) {
	const burst = 40
	budgets := 0
	for _, s := range deployments(t) {
		s = s.withBudget(t)
		rules, c := s.told.Rules, s.told.Profiles[0]
		p := newPlayer(t, s, 2).filled()
		p.onSend = func(r *playRequest, attempt int) {
			p.after(1, func() { p.end(r, attempt, policy.Errored) })
		}
		further := 0
		for range burst {
			r := p.ask(c, s.told.Contracts[len(s.told.Contracts)-1], 0, 0)
			p.run(p.now + 10)
			further += len(r.tries) - 1
		}
		want := burst * (s.told.Ceilings.Attempts - 1)
		if rules.Counted > 0 {
			budgets++
			want = int(rules.Floor + rules.Ratio*burst) // all within one count: judgeBudget holds each
		}
		if c.Repeat != "safe" || burst*10 > rules.Counted && rules.Counted > 0 || further != want {
			t.Errorf("%s, %s: %d further attempts, want %d", s.name, c.Name, further, want)
		}
	}
	if budgets == 0 {
		t.Error("no variant has a budget")
	}
}

// A keyed request that waits for its node's window goes again up to the end of the class's window, and not past
// it, though its client has time. Its first attempt lasts beyond its aim, as what waits at the aim is ended then:
// answers have been slow, so that nothing is called off yet, and the errors of requests that are not sent again
// show that the node is not silent, and make room.
func TestDeploymentWindowsEnd(t *testing.T) {
	const (
		late  = 1.05 // of the aim: when the first attempt fails
		slow  = 0.6  // of the aim: the answers before, of which twice the time is given to an attempt
		faded = 8e3  // ms: after which slow answers tell little of a node
		room  = 4    // attempts that a node gets at once at first
	)
	reached := 0
	for _, s := range deployments(t) {
		classes, last := s.told.Profiles, s.told.Contracts[len(s.told.Contracts)-1]
		patient := slices.MaxFunc(classes, func(a, b toldClass) int { return cmp.Compare(a.Aim, b.Aim) })
		once := slices.IndexFunc(classes, func(c toldClass) bool { return c.Repeat == "unsafe" })
		for _, c := range classes {
			if once < 0 || c.Repeat != "keyed" || c.Window >= 0.9*c.Deadline || c.Window < 1.2*late*c.Aim {
				continue
			}
			for _, x := range []struct {
				back float64 // when the node has room again, in windows
				sent int
			}{{0.95, 2}, {1.01, 1}} {
				p := newPlayer(t, s, 2).filled()
				before := p.ask(patient, last, 0, 0)
				p.run(p.now + slow*c.Aim)
				p.end(before, 0, policy.OK)
				p.run(p.now + faded)
				r := p.ask(c, last, 1, 0)
				sent := p.now
				p.run(sent + late*c.Aim/2)
				p.end(p.ask(classes[once], last, 1, 0), 0, policy.Errored)
				p.run(sent + late*c.Aim - 1)
				var others []*playRequest
				for range room {
					others = append(others, p.ask(classes[once], last, 1, 0))
				}
				p.run(sent + late*c.Aim)
				p.end(r, 0, policy.Errored)
				p.run(sent + x.back*c.Window)
				if len(r.tries) != 1 || r.final != "" || len(others[room-1].tries) != 1 {
					t.Fatalf("%s, %s: %d attempts, %q: it does not wait", s.name, c.Name, len(r.tries), r.final)
				}
				p.end(others[0], 0, policy.Errored)
				p.run(p.now + 5*playSweep)
				if len(r.tries) != x.sent {
					t.Errorf("%s, %s: sent %d times, want %d: the node had room at %.2f of the window", s.name, c.Name, len(r.tries), x.sent, x.back)
				}
				p.run(r.notAfter + 1)
				if x.sent == 1 && r.final != "failed" {
					t.Errorf("%s, %s: %q", s.name, c.Name, r.final)
				}
				reached++
			}
		}
	}
	if reached == 0 {
		t.Error("no variant has a class whose window ends between its aim and its deadline")
	}
}

// hide changes a node's state in the list.
func (p *player) hide(id string, state policy.NodeState) {
	p.t.Helper()
	n := p.nodes[id]
	n.State = state
	p.nodes[id] = n
	delete(p.told, id)
	if state == policy.NodeDraining || state == policy.NodeRemoved {
		p.told[id] = p.now
	}
	p.step(policy.Event{Kind: policy.ListChanged, Nodes: []policy.Node{n}})
}

// A request whose shard nobody holds waits until its class's aim and is refused then, before its client leaves.
func TestDeploymentAimsAndDeadlines(t *testing.T) {
	eachClassAndPlan(t, func(t *testing.T, s deployment, c toldClass, plan toldPlan) {
		nobody := s.told.Extra.Shards - 1
		for _, left := range []float64{c.Deadline, c.Aim / 3} {
			p := newPlayer(t, s, 2).filled()
			r := p.ask(c, plan, nobody, left)
			p.run(r.notAfter + s.told.Rules.AnswerSlack)
			ends := min(c.Aim, left)
			if took := r.finalAt - r.came; r.final != "refused" || took > ends+playSweep || took < ends-playSweep {
				t.Errorf("%q after %.0f ms; its aim is %.0f ms, its client leaves after %.0f", r.final, took, c.Aim, left)
			}
		}
	})
}

// What waits when its client leaves has its answer by then, however the reviews of what waits lie to that time.
func TestDeploymentAnswersComeBeforeClientsLeave(t *testing.T) {
	const phases = 20 // in the time from one review to the next
	for _, s := range deployments(t) {
		for _, c := range s.told.Profiles {
			for i := range phases {
				p := newPlayer(t, s, 2).filled()
				r := p.ask(c, s.told.Contracts[len(s.told.Contracts)-1], s.told.Extra.Shards-1, c.Aim/3+float64(i)*playReview/phases)
				p.run(r.notAfter + s.told.Rules.AnswerSlack) // overdue and judgeFinal hold the answer against the settings
				if r.finalAt > r.notAfter {
					t.Errorf("%s, %s: %q %.1f ms after its client left", s.name, c.Name, r.final, r.finalAt-r.notAfter)
				}
			}
		}
	}
}

// A volume of a limited plan gets this host's part of its store at once, and then its part of the rate; one of
// another plan is not held.
func TestDeploymentLimits(t *testing.T) {
	limited := 0
	for _, s := range deployments(t) {
		for _, plan := range s.told.Contracts {
			for _, hosts := range []int{1, 2, 3} {
				p := newPlayer(t, s, 2).filled()
				p.onSend = func(r *playRequest, attempt int) { p.after(0, func() { p.end(r, attempt, policy.OK) }) }
				asks := int(plan.Burst) + playBeyond
				flood := func() (sent int) {
					for range asks {
						if r := p.askOf("flooded", hosts, s.told.Profiles[0], plan, 0, 0); len(r.tries) > 0 {
							sent++
						}
						p.run(p.now)
					}
					return sent
				}
				want := asks
				if plan.Cap > 0 {
					limited++
					want = int(plan.Burst / float64(hosts))
				}
				if sent := flood(); sent != want {
					t.Errorf("%s, %s over %d hosts: %d of %d units sent at once, want %d", s.name, plan.Name, hosts, sent, asks, want)
				}
				p.run(p.now + s.told.Profiles[0].Deadline + 1) // judgeLimit holds what waited against the rate
				if plan.Cap > 0 && p.stores["flooded"] == nil {
					t.Errorf("%s, %s: no store was drawn on", s.name, plan.Name)
				}
			}
		}
	}
	if limited == 0 {
		t.Error("no variant has a plan with a limit")
	}
}

// Of requests that wait alike, those of the dearer plan go first.
func TestDeploymentPricesOrderPlans(t *testing.T) {
	for _, s := range deployments(t) {
		c := s.told.Profiles[0]
		p := newPlayer(t, s, 2).filled()
		p.hide("node-1", policy.NodeExcluded)
		var waiting []*playRequest
		for _, plan := range s.told.Contracts {
			waiting = append(waiting, p.ask(c, plan, 1, 0))
		}
		p.hide("node-1", policy.NodeUp)
		last := math.Inf(1)
		sent := 0
		for _, a := range p.acts {
			if a.Kind != policy.Send {
				continue
			}
			price := p.asked[a.ID].plan.Price
			if price > last {
				t.Errorf("%s: a plan of price %v goes after one of %v", s.name, price, last)
			}
			last, sent = price, sent+1
		}
		if sent < 2 || waiting[0].plan.Price == waiting[1].plan.Price {
			t.Errorf("%s: %d of %d sent at once", s.name, sent, len(waiting))
		}
	}
}

// Nothing new goes to a node that drains once the grace is over, and where the grace is short nothing at all.
func TestDeploymentDrains(t *testing.T) {
	for _, s := range deployments(t) {
		for _, c := range s.told.Profiles {
			p := newPlayer(t, s, 2).filled()
			p.hide("node-1", policy.NodeDraining)
			for range 50 {
				p.ask(c, s.told.Contracts[len(s.told.Contracts)-1], 1, 0)
				p.run(p.now + s.told.Rules.Grace/25) // judgeSend holds each send against the grace
			}
			r := p.ask(c, s.told.Contracts[len(s.told.Contracts)-1], 0, 0)
			if len(r.tries) != 1 {
				t.Errorf("%s, %s: the other node is not used", s.name, c.Name)
			}
		}
	}
}

// A random day: all classes and plans, every outcome at any time, nodes that drain, vanish and come back. Each
// action is held against the settings as told.
func TestDeploymentRandomDays(t *testing.T) {
	const days, arrivals = 4, 1500
	gaps := []float64{40, 12} // ms between arrivals: an easy day, and one on which attempts are overtaken
	for _, s := range deployments(t) {
		total := playSeen{again: map[string]int{}, refusedInDoubt: map[string]int{}, failedInDoubt: map[string]int{}, pastWindow: map[string]int{}}
		finals := map[string]int{}
		for day := range days {
			p := newPlayer(t, s, 5)
			rng := rand.New(rand.NewPCG(playSeed, uint64(day)))
			p.onSend = func(r *playRequest, attempt int) { p.drawEnd(rng, r, attempt) }
			for range arrivals {
				p.run(p.now + rng.ExpFloat64()*gaps[day%len(gaps)])
				c := s.told.Profiles[rng.IntN(len(s.told.Profiles))]
				plan := s.told.Contracts[rng.IntN(len(s.told.Contracts))]
				p.askOf(fmt.Sprint(plan.Name, rng.IntN(4)), 1+rng.IntN(2), c, plan, rng.IntN(5), c.Deadline*(0.3+0.7*rng.Float64()))
				if rng.IntN(60) == 0 {
					state := []policy.NodeState{policy.NodeUp, policy.NodeDraining, policy.NodeExcluded, policy.NodeRemoved}[rng.IntN(4)]
					id := fmt.Sprint("node-", rng.IntN(5))
					p.hide(id, state)
					p.after(rng.Float64()*3000, func() { p.hide(id, policy.NodeUp) })
				}
			}
			p.run(p.now + 60e3)
			for _, r := range p.order {
				finals[r.final]++
				if doubt, first := r.doubt(); doubt && r.class.Repeat == "keyed" && r.finalAt > first.at+r.class.Window && r.final != "served" {
					total.pastWindow[r.class.Name]++
				}
			}
			for _, x := range [][2]map[string]int{{total.again, p.seen.again}, {total.refusedInDoubt, p.seen.refusedInDoubt}, {total.failedInDoubt, p.seen.failedInDoubt}} {
				for name, n := range x[1] {
					x[0][name] += n
				}
			}
			total.copies += p.seen.copies
		}
		t.Logf("%s: %v, %+v", s.name, finals, total)
		for _, c := range s.told.Profiles {
			if total.again[c.Name] == 0 {
				t.Errorf("%s: no %s was sent again", s.name, c.Name)
			}
			if c.Repeat == "unsafe" && total.failedInDoubt[c.Name] == 0 {
				t.Errorf("%s: no %s ended in doubt", s.name, c.Name)
			}
			if c.Repeat == "keyed" && c.Window < c.Deadline && total.pastWindow[c.Name] == 0 {
				t.Errorf("%s: no %s outlasted its window", s.name, c.Name)
			}
		}
		if (total.copies > 0) != s.told.Ceilings.SecondCopies {
			t.Errorf("%s: %d copies", s.name, total.copies)
		}
		if finals["served"] < days*arrivals/3 {
			t.Errorf("%s: %v", s.name, finals)
		}
	}
}

// drawEnd decides how and when an attempt ends: mostly soon and well; sometimes never, which ends with its client.
func (p *player) drawEnd(rng *rand.Rand, r *playRequest, attempt int) {
	wait := playAnswer * (0.5 + rng.ExpFloat64())
	status := policy.OK
	if attempt > 0 && rng.IntN(4) == 0 {
		return
	}
	switch rng.IntN(20) {
	case 0:
		return
	case 1:
		status = policy.ConnectionReset
	case 2:
		status, wait = policy.Errored, rng.Float64()*r.class.Deadline
	case 3:
		status, wait = policy.NodeFull, 1
	case 4:
		status, wait = policy.ConnectFailed, 200*rng.Float64()
	case 5:
		wait = rng.Float64() * r.class.Aim
	}
	p.after(wait, func() { p.end(r, attempt, status) })
}
