package nodestats

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Below so much weight a median of weights says nothing of who is loud.
const (
	minReferenceWeight = 16
	minOriginsToClip   = 3 // origins from which on a majority can be told from one that is wrong
	minVoteWeight      = 1 // weight from which on an origin has a voice
)

// classRow is one origin's word on one key, not yet read: figures are large.
type classRow struct {
	key        Key
	origin     string
	recorder   *Recorder // this process's own
	body       []byte
	age        time.Duration // since it was told or renewed
	decayAge   time.Duration // ... since its weights were 1
	shortDecay float64       // what is left of them, once it is read
}

func (w *classRow) read(f *classStats, halfLife time.Duration) {
	if w.recorder != nil {
		*f = w.recorder.stats
	} else {
		(&decoder{b: w.body}).classStats(f)
	}
	w.shortDecay = f.decay(w.decayAge, halfLife)
}

type healthRow struct {
	node      string
	startTime int64
	health    Health
	age       time.Duration
}

// Views are all keys, sorted, as all origins together see them. A node's own row has no class and no sums. Of
// a node that this process knows only the present life is in it.
func (s *State) Views(now time.Duration) []View {
	s.expireLocal(now)
	s.expireCells(now)
	rows, healths := s.collectRows(now)
	byNode := map[Key]View{}
	for i := 0; i < len(healths); {
		j := i + 1
		for j < len(healths) && healths[j].node == healths[i].node && healths[j].startTime == healths[i].startTime {
			j++
		}
		v := mergeHealth(healths[i:j], s.settings.ClipFactor)
		byNode[v.Key] = v
		i = j
	}
	views := make([]View, 0, len(byNode)+len(rows))
	for _, v := range byNode {
		views = append(views, v)
	}
	for i := 0; i < len(rows); {
		j := i + 1
		for j < len(rows) && rows[j].key == rows[i].key {
			j++
		}
		v := s.mergeClass(rows[i:j])
		if h, ok := byNode[Key{Node: v.Node, StartTime: v.StartTime}]; ok {
			v.Type, v.Shard, v.WarmingUp, v.Window, v.Queue = h.Type, h.Shard, h.WarmingUp, h.Window, h.Queue
		}
		views = append(views, v)
		i = j
		s.yield()
	}
	slices.SortFunc(views, func(a, b View) int { return a.Key.compare(b.Key) })
	return views
}

func (k Key) compare(o Key) int {
	return cmp.Or(cmp.Compare(k.Node, o.Node), cmp.Compare(k.StartTime, o.StartTime), cmp.Compare(k.Class, o.Class))
}

// collectRows are all origins' words, sorted.
func (s *State) collectRows(now time.Duration) ([]classRow, []healthRow) {
	var rows []classRow
	var healths []healthRow
	for _, name := range s.localOrder {
		n := s.localNodes[name]
		if n.hasHealth {
			healths = append(healths, healthRow{name, n.startTime, n.health, now - n.healthSetAt})
		}
		for _, l := range n.recorders {
			if l.lastRecorded > l.weightBase || l.stats.long.weight() > 0 {
				rows = append(rows, classRow{key: Key{name, n.startTime, l.key.Class}, origin: s.self, recorder: l, age: now - l.lastRecorded,
					decayAge: max(now, l.lastRecorded) - l.weightBase})
			}
		}
	}
	for _, name := range s.originNames() {
		if name == s.self {
			continue
		}
		s.yield()
		for id, c := range s.remote[name].cells {
			if id.node == "" {
				continue
			}
			r, age := &decoder{b: c.body}, max(now-c.createdAt, 0)
			since := r.int()
			if n := s.localNodes[id.node]; n != nil && n.startTime != since && s.lost != "since" {
				continue
			}
			if id.class == "" {
				_, h := (&decoder{b: c.body}).health()
				healths = append(healths, healthRow{id.node, since, h, age})
				continue
			}
			rows = append(rows, classRow{key: Key{id.node, since, id.class}, origin: name, body: c.body, age: age, decayAge: age})
		}
	}
	slices.SortFunc(rows, func(a, b classRow) int { return cmp.Or(a.key.compare(b.key), cmp.Compare(a.origin, b.origin)) })
	slices.SortFunc(healths, func(a, b healthRow) int {
		return cmp.Or(cmp.Compare(a.node, b.node), cmp.Compare(a.startTime, b.startTime), compareHealth(a.health, b.health), cmp.Compare(a.age, b.age))
	})
	return rows, healths
}

func compareHealth(a, b Health) int {
	cold := func(h Health) int {
		if h.WarmingUp {
			return 1
		}
		return 0
	}
	return cmp.Or(cmp.Compare(a.Type, b.Type), cmp.Compare(a.Shard, b.Shard), cmp.Compare(cold(a), cold(b)),
		cmp.Compare(a.Window, b.Window), cmp.Compare(a.Queue, b.Queue))
}

// mergeClass sums the origins of one key, each clipped. Of each the long memory counts, unless it tells of another node
// than all saw lately: then the short one does.
func (s *State) mergeClass(rows []classRow) View {
	v := View{Key: rows[0].key, Origins: len(rows), Age: rows[0].age}
	for len(s.readBuffer) < len(rows) {
		s.readBuffer = append(s.readBuffer, classStats{})
	}
	all := s.readBuffer[:len(rows)]
	for i := range rows {
		rows[i].read(&all[i], s.settings.HalfLife)
		v.Age = min(v.Age, rows[i].age)
	}
	long, short := clipAll(all, s.settings.ClipFactor, (*classStats).longTerm), clipAll(all, s.settings.ClipFactor, (*classStats).shortTerm)
	if s.lost == "clip" {
		for i := range rows {
			long[i], short[i] = clipFactors{1, 1, 1}, clipFactors{1, 1, 1}
		}
	}
	var lately, sum decayedCounts
	for i := range all {
		lately.add(all[i].short.clipped(short[i]))
	}
	var counts [numBins]float64
	for i := range rows {
		f, c := &all[i], short[i]
		m := f.long.clipped(long[i])
		if s.lost != "lately" && deviation(&m, &lately, false) > maxLongTermDeviation {
			m = f.short.clipped(c)
		}
		sum.add(m)
		shift := 0
		if c.times != 1 {
			shift = int(math.Round(math.Log(c.times) / math.Log(binMapping.LowerBound(1)/binMapping.LowerBound(0))))
		}
		for b, n := range f.bins {
			if n > 0 {
				counts[min(max(b+shift, 0), numBins-1)] += n * rows[i].shortDecay * c.weight
			}
		}
	}
	v.Sums, v.Rejected, v.Failed, v.TimedOut = sum.sums, sum.rejected, sum.failed, sum.timedOut
	v.Sketch = sketchOf(&counts)
	return v
}

func (f *classStats) longTerm() *decayedCounts  { return &f.long }
func (f *classStats) shortTerm() *decayedCounts { return &f.short }

// clipFactors is what one origin's weight, units and times are multiplied with.
type clipFactors struct{ weight, units, times float64 }

// clipAll finds who stands out. From three origins on, one counts for at most clip times the median weight, and the
// root mean square of its units and of its times is brought within clip of the median over origins, in which
// no voice is louder than the median weight.
func clipAll(rows []classStats, clip float64, of func(*classStats) *decayedCounts) []clipFactors {
	out := make([]clipFactors, len(rows))
	var weights []float64
	for i := range rows {
		out[i] = clipFactors{1, 1, 1}
		if w := of(&rows[i]).weight(); w >= minVoteWeight {
			weights = append(weights, w)
		}
	}
	if len(weights) < minOriginsToClip {
		return out
	}
	slices.Sort(weights)
	ref := max(weights[(len(weights)-1)/2], minReferenceWeight)
	var xs, ys []vote
	for i := range rows {
		m := of(&rows[i])
		out[i].weight = min(1, clip*ref/max(m.weight(), 1e-9))
		if m.weight() >= minVoteWeight && m.sums.N > 0 {
			n := min(m.sums.N, ref)
			xs = append(xs, vote{rms(m.sums.XX, m.sums.N), n})
			ys = append(ys, vote{rms(m.sums.YY, m.sums.N), n})
		}
	}
	x, y := median(xs), median(ys)
	for i := range rows {
		if m := of(&rows[i]); m.sums.N > 0 {
			out[i].units = clipFactor(rms(m.sums.XX, m.sums.N), x, clip)
			out[i].times = clipFactor(rms(m.sums.YY, m.sums.N), y, clip)
		}
	}
	return out
}

type vote struct{ value, weight float64 }

func rms(squares, n float64) float64 { return math.Sqrt(squares / n) }

// median is the lowest value that half of the weight does not go over.
func median(votes []vote) float64 {
	slices.SortFunc(votes, func(a, b vote) int { return cmp.Or(cmp.Compare(a.value, b.value), cmp.Compare(a.weight, b.weight)) })
	all, sum := 0.0, 0.0
	for _, v := range votes {
		all += v.weight
	}
	for _, v := range votes {
		if sum += v.weight; sum >= all/2 {
			return v.value
		}
	}
	return 0
}

// clipFactor is the factor that brings v to at most clip times away from m.
func clipFactor(v, m, clip float64) float64 {
	switch {
	case v <= 0 || m <= 0:
		return 1
	case v > m*clip:
		return m * clip / v
	case v < m/clip:
		return m / clip / v
	}
	return 1
}

// mergeHealth is one node's health over origins: what most say, and means of the windows and queues, each at most
// clip times the median.
func mergeHealth(rows []healthRow, clip float64) View {
	v := View{Key: Key{Node: rows[0].node, StartTime: rows[0].startTime}, Origins: len(rows), Age: rows[0].age}
	types, shards := map[string]int{}, map[int]int{}
	cold := 0
	var windows, queues []float64
	for _, r := range rows {
		if r.health.Type != "" {
			types[r.health.Type]++
		}
		shards[r.health.Shard]++
		if r.health.WarmingUp {
			cold++
		}
		windows, queues = append(windows, r.health.Window), append(queues, r.health.Queue)
		v.Age = min(v.Age, r.age)
	}
	v.Type, v.Shard, v.WarmingUp = mostCommon(types), mostCommon(shards), 2*cold >= len(rows) && cold > 0
	v.Window, v.Queue = clippedMean(windows, clip), clippedMean(queues, clip)
	return v
}

// mostCommon is what was named most often; of several the smallest.
func mostCommon[K cmp.Ordered](votes map[K]int) (best K) {
	n := 0
	for k, c := range votes {
		if c > n || c == n && k < best {
			best, n = k, c
		}
	}
	return best
}

func clippedMean(v []float64, clip float64) float64 {
	slices.Sort(v)
	top := math.Inf(1)
	if len(v) >= minOriginsToClip {
		top = clip * max(v[(len(v)-1)/2], 1)
	}
	sum := 0.0
	for _, x := range v {
		sum += min(x, top)
	}
	return sum / float64(len(v))
}

// ListSpread is how the versions of the node list differ among processes.
type ListSpread struct {
	Oldest, Newest int64
	Processes      int // that say which version they hold
	Behind         int // ... and hold an older one than another does
}

// ListSpread looks at the processes named and at this one. One that is gone would count as behind until
// what it told expires: so the caller names those that are there.
func (s *State) ListSpread(now time.Duration, there []string) (all ListSpread) {
	var held []int64
	if s.hasList {
		held = append(held, s.listVersion)
	}
	for _, name := range there {
		o := s.remote[name]
		if o == nil || name == s.self {
			continue
		}
		if c := o.cells[cellID{}]; c != nil && now-c.createdAt < s.settings.ExpireAfter {
			held = append(held, (&decoder{b: c.body}).int())
		}
	}
	if len(held) == 0 {
		return all
	}
	all = ListSpread{Oldest: slices.Min(held), Newest: slices.Max(held), Processes: len(held)}
	for _, v := range held {
		if v < all.Newest {
			all.Behind++
		}
	}
	return all
}

// ListVersions are the versions of the node list that origins hold, by origin; this process's own too.
func (s *State) ListVersions(now time.Duration) []ListVersion {
	s.expireCells(now)
	var out []ListVersion
	for _, name := range s.originNames() {
		if name == s.self {
			if s.hasList {
				out = append(out, ListVersion{name, s.listVersion, now - s.listSetAt})
			}
		} else if c := s.remote[name].cells[cellID{}]; c != nil {
			out = append(out, ListVersion{name, (&decoder{b: c.body}).int(), now - c.createdAt})
		}
	}
	return out
}
