package policy

// What an instance remembers, and the bookkeeping that decides nothing.

import (
	"math"
	"math/rand"
	"slices"
	"sort"
)

// Scheduler is one instance. It holds only what its own events told it.
type Scheduler struct {
	set       Settings
	rng       *rand.Rand
	now       float64
	firstAt   float64 // its first request came; before: infinite
	out       []Action
	classes   []*class
	classOf   map[string]*class
	planOf    map[string]*Plan
	filled    map[string]flow // by plan: what an unheard volume's limit held when the settings last changed
	reqs      map[string]*request
	volumes   map[tenant]*volume
	known     []*volume // in order of their first request
	lanes     map[int]*shardQueue
	order     []*shardQueue // by shard
	busy      []*shardQueue // those where requests wait or are out, by shard
	nodes     map[string]*node
	listed    []*node // by id
	keys      map[string]*keyLine
	unserved  map[requestKey]unservedTry // requests that ended unserved, of late
	takes     []float64
	extras    []float64
	seq       int
	waiting   int
	tightest  float64 // aim
	armed     bool    // a sweep timer is set
	due       float64 // next adaptation
	settle    float64
	stalled   bool // a node stood still in this interval
	asked     float64
	askGap    float64
	tuned     bool // the subscription stands
	logged    float64
	heartbeat float64 // when the beat is due
	resumed   bool    // this step comes late: the host stood still
	resumedAt float64 // end of its last stall
	meanWorth float64 // of the classes
	coldSum   float64 // this host's part of what all nodes in slow start bear, when it last drew
	coldLeft  float64 // units that this host may still send to nodes in slow start ...
	coldDue   float64 // ... until it draws anew, at this time
	coldWait  float64 // the first draw comes later by a part of this
	nodeHosts float64 // hosts that work with one node, as estimated
	poolAt    float64 // when that was last learnt
	pool      float64 // usual latency over all nodes
	handed    bool    // another process of this host fills the limits' stores now
	retired   int     // class objects that take no new requests, kept for those under way
}

type request struct {
	id        string
	class     *class
	vol       *volume
	key       string
	queue     *shardQueue
	units     float64
	began     float64 // first try of the client, as far as known
	aimAt     float64
	notAfter  float64
	fresh     bool // a new object
	from      requestKey
	repeat    bool // a client's further try
	band      int
	level     float64
	due       int // the band it was charged to on arrival
	seq       int
	queued    bool
	held      bool // waited for a node to come, or for its volume's limit
	done      bool
	streaming bool
	tries     []try
	open      int
	mayRan    *node   // keyed, unsafe: where an attempt may have run
	mayRanAt  float64 // when that was sent
	limitPaid bool
	most      int     // attempts, by the settings that it came under
	called    bool    // its last attempt was called off at its aim
	lost      bool    // its last attempt was overtaken
	mark      float64 // answers of the node when it was sent
	ahead     float64 // out at the node when it was sent
}

type try struct {
	node *node
	at   float64
	open bool
	lost bool // written off: overtaken
}

// shardQueue is the line before the node (or nodes) that hold one shard.
type shardQueue struct {
	shard   int
	nodes   []*node
	queues  [][]*request // by class, in the order of worth
	finish  []float64    // by class: virtual time its next turn starts at
	virtual float64
	units   float64 // waiting
	asked   float64 // when a request last named this shard
	first   float64 // ... and the first one, since none had for namedSpan
	served  float64 // units that its nodes answered, fading over namedSpan
	fadedAt float64 // when served was last brought up to date
	busy    bool    // is among the busy ones
}

type class struct {
	Class
	ix      int
	span    float64 // longest time a client has given
	weight  float64
	delay   float64
	slope   float64
	sum     float64 // of samples since the last adaptation
	count   float64
	oldW    float64 // share and delay at the last commit
	oldD    float64
	changed bool
}

// volume tracks what a volume is due through this host.
type volume struct {
	plan  *Plan
	hosts int
	store float64 // reserve, units
	limit float64 // limit, units
	at    float64
	level float64 // use beyond the reserve, units over usageSpan
}

type node struct {
	Node
	window    float64
	out       []*request // in order of sending
	units     float64    // out
	usual     float64    // latency, as of late
	latencyAt float64    // when that was last learnt
	notBefore float64    // no sends before
	peak      int        // most out in this window epoch
	epoch     float64    // start of it
	latency   float64    // of this window epoch
	size      float64
	count     int
	best      float64
	filled    bool
	failing   float64 // share of attempts that fail
	heard     float64 // last word of any kind from it
	silent    bool
	silentAt  float64 // since when
	answers   float64 // since it is known
	backoff   float64
	slotFrom  float64 // in slow start: its slot is counted from here ...
	slotPart  float64 // ... and comes after this part of the time that a slot of each host takes
	timely    bool    // its last answer came in good time, and nothing was sent since
	coldAt    float64 // start that it may be cold from
	drainAt   float64 // when this host was told that it drains
	sent      []flow  // sends and answers within OverloadWindow
	served    []flow
}

// requestKey names what a client asked for, and unservedTry tells of its last try.
type requestKey struct{ class, volume, key string }

// tenant is a volume on a plan: a volume that is asked for on another plan has that plan's figures, and none of the first's.
type tenant struct{ volume, plan string }

type unservedTry struct{ began, end float64 }

type flow struct{ at, units float64 }

// keyLine is the line of ordered requests on one key.
type keyLine struct {
	seen float64 // last request
	line []*request
	rest float64
}

func (s *Scheduler) emit(a Action) { s.out = append(s.out, a) }

func (s *Scheduler) queueOf(shard int) *shardQueue {
	l := s.lanes[shard]
	if l == nil {
		l = &shardQueue{shard: shard, asked: math.Inf(-1), queues: make([][]*request, len(s.classes)), finish: make([]float64, len(s.classes))}
		s.lanes[shard] = l
		at := sort.Search(len(s.order), func(i int) bool { return s.order[i].shard > shard })
		s.order = slices.Insert(s.order, at, l)
	}
	return l
}

// markBusy puts a shard queue among the busy ones: only these are looked at in a step, as a list may hold
// a thousand nodes of which a host works with a few.
func (s *Scheduler) markBusy(l *shardQueue) {
	if !l.busy {
		l.busy = true
		s.busy = slices.Insert(s.busy, s.busyAt(l.shard), l)
	}
}

func (s *Scheduler) busyAt(shard int) int {
	return sort.Search(len(s.busy), func(i int) bool { return s.busy[i].shard >= shard })
}

// busyFrom is the first busy shard queue at or after a shard; nil: there is none.
func (s *Scheduler) busyFrom(shard int) *shardQueue {
	if i := s.busyAt(shard); i < len(s.busy) {
		return s.busy[i]
	}
	return nil
}

// idle says that a busy shard queue has neither requests that wait nor any out, and is no longer busy.
func (l *shardQueue) idle() bool {
	l.busy = slices.ContainsFunc(l.queues, func(q []*request) bool { return len(q) > 0 }) ||
		slices.ContainsFunc(l.nodes, func(n *node) bool { return len(n.out) > 0 })
	return !l.busy
}

func (s *Scheduler) dequeue(r *request) {
	l, i := r.queue, r.class.ix
	at := slices.Index(l.queues[i], r)
	l.queues[i] = slices.Delete(l.queues[i], at, at+1)
	l.units -= r.units
	r.queued = false
	s.waiting--
}

func (r *request) lastAt() float64 { return r.tries[len(r.tries)-1].at }

// overtaken counts the answers to attempts sent after this one.
func (n *node) overtaken(r *request) float64 { return n.answers - r.mark - r.ahead }

// newState makes the empty memory of an instance.
func newState(set Settings, seed int64) *Scheduler {
	s := &Scheduler{set: set, rng: rand.New(rand.NewSource(seed)), classOf: map[string]*class{},
		planOf: map[string]*Plan{}, reqs: map[string]*request{}, volumes: map[tenant]*volume{},
		lanes: map[int]*shardQueue{}, nodes: map[string]*node{}, keys: map[string]*keyLine{}, unserved: map[requestKey]unservedTry{},
		now: math.NaN(), firstAt: math.Inf(1)}
	for i := range set.Plans {
		s.planOf[set.Plans[i].Name] = &set.Plans[i]
	}
	for i := range set.Classes {
		c := &class{Class: set.Classes[i], ix: i}
		s.classes = append(s.classes, c)
		s.classOf[c.Name] = c
		if s.tightest == 0 || c.LatencyObjective < s.tightest {
			s.tightest = c.LatencyObjective
		}
	}
	return s
}

// noteUnserved remembers a request that ended unserved: its client may come again.
func (s *Scheduler) noteUnserved(r *request) {
	if r.from.key != "" {
		s.unserved[r.from] = unservedTry{r.began, math.Max(r.notAfter, s.unserved[r.from].end)}
	}
}

// log writes a line, one each logSpan at most.
func (s *Scheduler) log(text string) {
	if s.now-s.logged >= logSpan {
		s.logged = s.now
		s.emit(Action{Kind: Log, Text: text})
	}
}

// forget drops what was not seen for a span, so that memory stays bounded.
func (s *Scheduler) forget(span float64) {
	s.compact()
	old := func(v *volume) bool { // the store of its limit, too, is as it would be of one not seen before
		filled := v.limit + v.plan.RateLimit/float64(v.hosts)*(s.now-v.at)/1000
		return s.now-v.at > span && (v.plan.RateLimit == 0 || filled >= v.plan.LimitBurst/float64(v.hosts))
	}
	s.known = slices.DeleteFunc(s.known, old)
	for id, v := range s.volumes {
		if old(v) {
			delete(s.volumes, id)
		}
	}
	for f, m := range s.unserved {
		if c := s.classOf[f.class]; c == nil || s.now > m.end && s.now-m.began > c.Deadline {
			delete(s.unserved, f)
		}
	}
	for len(s.takes) > 0 && s.takes[0] <= s.now-s.set.RetryBudgetWindow {
		s.takes = s.takes[1:]
	}
	for key, t := range s.keys {
		if len(t.line) == 0 && s.now-t.seen > span && s.now > t.rest {
			delete(s.keys, key)
		}
	}
}

// close forgets a finished request once nothing of it is out.
func (s *Scheduler) close(r *request) {
	if r.queued {
		s.dequeue(r)
	}
	r.done = true
	if r.open > 0 {
		return
	}
	delete(s.reqs, r.id)
	if t := s.keys[r.key]; t != nil && r.class.Ordered {
		if at := slices.Index(t.line, r); at >= 0 {
			t.line = slices.Delete(t.line, at, at+1)
		}
		if len(t.line) == 0 && s.now >= t.rest {
			delete(s.keys, r.key)
		}
	}
}

// joinKey puts an ordered request at the end of its key's line.
func (s *Scheduler) joinKey(r *request) {
	if !r.class.Ordered || r.key == "" {
		return
	}
	t := s.keys[r.key]
	if t == nil {
		t = &keyLine{}
		s.keys[r.key] = t
	}
	t.line, t.seen = append(t.line, r), s.now
}

// sumSince drops the flows before a time and sums the rest.
func sumSince(fs *[]flow, from float64) (sum float64) {
	for len(*fs) > 0 && (*fs)[0].at < from {
		*fs = (*fs)[1:]
	}
	for _, f := range *fs {
		sum += f.units
	}
	return sum
}

// rebuildQueues sorts the nodes that are listed into their shard queues, and forgets those that are
// gone once nothing of theirs is out.
func (s *Scheduler) rebuildQueues() {
	for _, l := range s.order {
		l.nodes = l.nodes[:0]
	}
	s.listed = slices.DeleteFunc(s.listed, func(n *node) bool {
		if n.State == NodeRemoved && len(n.out) == 0 {
			delete(s.nodes, n.ID)
			return true
		}
		return false
	})
	for _, n := range s.listed {
		if n.State != NodeRemoved {
			l := s.queueOf(n.Shard)
			l.nodes = append(l.nodes, n)
			if len(n.out) > 0 { // it may have come from another shard
				s.markBusy(l)
			}
		}
	}
}

// removeOut counts a request as no longer out at the node.
func (n *node) removeOut(r *request) {
	if at := slices.Index(n.out, r); at >= 0 {
		n.out = slices.Delete(n.out, at, at+1)
		n.units -= r.units
	}
}

// addOut counts a request as out at the node.
func (s *Scheduler) addOut(r *request, n *node) {
	if s.now-n.coldAt <= s.set.SlowStartDuration && !s.follows(n) {
		s.coldLeft = math.Max(0, s.coldLeft-r.units)
	}
	n.slotFrom, n.slotPart, n.timely = s.now, 0.5+s.rng.Float64(), false
	r.tries = append(r.tries, try{n, s.now, true, false})
	r.open++
	r.called, r.lost, r.mark, r.ahead = false, false, n.answers, float64(len(n.out))
	n.out = append(n.out, r)
	n.peak = max(n.peak, len(n.out))
	n.units += r.units
	n.sent = append(n.sent, flow{s.now, r.units})
	if s.now-n.coldAt > s.set.SlowStartDuration {
		n.sent = n.sent[:0]
	}
}

// namedShards counts the shards with a node, and those of them named since a time.
func (s *Scheduler) namedShards(from float64) (named, all float64) {
	for _, l := range s.order {
		if len(l.nodes) > 0 {
			all++
			if l.asked > from {
				named++
			}
		}
	}
	return named, all
}

// hasTimer tells whether a timer is among the events.
func hasTimer(events []Event, tag string) bool {
	return slices.ContainsFunc(events, func(ev Event) bool { return ev.Kind == TimerFired && ev.Tag == tag })
}

// unplacedNew lists the new objects that found no node, class by class.
func (s *Scheduler) unplacedNew() (rs []*request) {
	if l := s.lanes[-1]; l != nil {
		for _, q := range l.queues {
			rs = append(rs, q...)
		}
	}
	return rs
}

// addNode puts a node in the list, by id.
func (s *Scheduler) addNode(n *node) {
	s.nodes[n.ID] = n
	at := sort.Search(len(s.listed), func(i int) bool { return s.listed[i].ID > n.ID })
	s.listed = slices.Insert(s.listed, at, n)
}

// answered is the units that the shard's nodes answered of late.
func (l *shardQueue) answered(now float64) float64 {
	return l.served * math.Exp((l.fadedAt-now)/namedSpan)
}

// power is the part of its capacity that a node has at least at a time, by its age.
func (s *Scheduler) power(n *node, at float64) float64 {
	from, age := math.Max(s.set.SlowStartShare, coldLeast), math.Max(0, at-n.coldAt)/s.set.SlowStartDuration
	return from + (1-from)*age
}

// bears is the units that a cold node bears at a time from all hosts within OverloadWindow, by its age.
func (s *Scheduler) bears(n *node, at float64) float64 {
	return s.set.SlowStartUnits * s.power(n, at) / math.Max(s.set.SlowStartShare, coldLeast)
}

// coldParts is this host's part of what all nodes in slow start bear.
func (s *Scheduler) coldParts() (sum float64) {
	for _, n := range s.listed {
		if n.State == NodeUp && s.now-n.coldAt <= s.set.SlowStartDuration {
			sum += s.coldPart(n)
		}
	}
	return sum
}

// noteServed takes an answer into what the node has served.
func (s *Scheduler) noteServed(n *node, r *request) {
	n.answers++
	if l := s.lanes[n.Shard]; l != nil {
		l.served, l.fadedAt = l.answered(s.now)+r.units, s.now
	}
	n.served = append(n.served, flow{s.now, r.units})
	if s.now-n.coldAt > s.set.SlowStartDuration {
		n.served = n.served[:0]
	}
}

// AvoidedNodes counts the listed nodes that the list gives as up and that this instance keeps work
// from for now: silent ones, and those resting after failures. It decides nothing.
func (s *Scheduler) AvoidedNodes() (n int) {
	for _, x := range s.listed {
		if x.State == NodeUp && (x.silent || x.window < 1 && len(x.out) == 0 && s.now < x.notBefore) {
			n++
		}
	}
	return n
}

// RequestCount is how many requests the instance holds: open ones, and ended ones of which something is out.
func (s *Scheduler) RequestCount() int { return len(s.reqs) }
