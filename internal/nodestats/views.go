package nodestats

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// classRow is one origin's report on one key. Its statistics are large and are decoded only by read.
type classRow struct {
	key        Key
	origin     string
	recorder   *Recorder     // this process's own; nil: the report is in body
	body       []byte        // of another origin's cell
	age        time.Duration // since the last outcome, or since the cell was made
	decayAge   time.Duration // since the time to which the weights refer
	shortDecay float64       // decay factor of the short-term weights; set by read
}

func (r *classRow) read(stats *classStats, halfLife time.Duration) {
	if r.recorder != nil {
		*stats = r.recorder.stats
	} else {
		(&decoder{rest: r.body}).classStats(stats)
	}
	r.shortDecay = stats.decay(r.decayAge, halfLife)
}

// healthRow is one origin's report on a node's health.
type healthRow struct {
	node      string
	startTime int64
	health    Health
	age       time.Duration
}

func (r *healthRow) key() Key { return Key{Node: r.node, StartTime: r.startTime} }

// Views returns the views of all keys, sorted. A view with an empty class contains only the health of a node. For nodes
// that this process has a local record of, only that run has views.
func (s *State) Views(now time.Duration) []View {
	s.expireLocal(now)
	s.expireCells(now)
	rows, healths := s.collectRows(now)
	byNode := map[Key]View{}
	for len(healths) > 0 {
		n := leading(healths, func(r *healthRow) Key { return r.key() })
		v := mergeHealth(healths[:n], s.settings.ClipFactor)
		byNode[v.Key] = v
		healths = healths[n:]
	}
	views := make([]View, 0, len(byNode)+len(rows))
	for _, v := range byNode {
		views = append(views, v)
	}
	for len(rows) > 0 {
		n := leading(rows, func(r *classRow) Key { return r.key })
		v := s.mergeClass(rows[:n])
		if h, ok := byNode[Key{Node: v.Node, StartTime: v.StartTime}]; ok {
			v.Type, v.Shard, v.WarmingUp, v.Window, v.Queue = h.Type, h.Shard, h.WarmingUp, h.Window, h.Queue
		}
		views = append(views, v)
		rows = rows[n:]
		s.yield()
	}
	slices.SortFunc(views, func(a, b View) int { return a.Key.compare(b.Key) })
	return views
}

// leading returns the number of rows at the start of the slice that have the key of the first one.
func leading[Row any](rows []Row, key func(*Row) Key) int {
	n := 1
	for n < len(rows) && key(&rows[n]) == key(&rows[0]) {
		n++
	}
	return n
}

func (k Key) compare(o Key) int {
	return cmp.Or(cmp.Compare(k.Node, o.Node), cmp.Compare(k.StartTime, o.StartTime), cmp.Compare(k.Class, o.Class))
}

// collectRows returns the reports of all origins, sorted by key.
func (s *State) collectRows(now time.Duration) ([]classRow, []healthRow) {
	rows, healths := s.localRows(now)
	for _, name := range s.originNames() {
		if name == s.self {
			continue
		}
		s.yield()
		for id, c := range s.remote[name].cells {
			if id.node == "" {
				continue
			}
			age := max(now-c.createdAt, 0)
			body := &decoder{rest: c.body}
			startTime := body.int()
			if n := s.localNodes[id.node]; n != nil && n.startTime != startTime {
				continue
			}
			if id.class == "" {
				healths = append(healths, healthRow{id.node, startTime, body.health(), age})
				continue
			}
			rows = append(rows, classRow{key: Key{id.node, startTime, id.class}, origin: name, body: c.body, age: age, decayAge: age})
		}
	}
	slices.SortFunc(rows, func(a, b classRow) int { return cmp.Or(a.key.compare(b.key), cmp.Compare(a.origin, b.origin)) })
	slices.SortFunc(healths, func(a, b healthRow) int {
		return cmp.Or(a.key().compare(b.key()), a.health.compare(b.health), cmp.Compare(a.age, b.age))
	})
	return rows, healths
}

// localRows returns this process's own reports.
func (s *State) localRows(now time.Duration) (rows []classRow, healths []healthRow) {
	for _, name := range s.localOrder {
		n := s.localNodes[name]
		if n.hasHealth {
			healths = append(healths, healthRow{name, n.startTime, n.health, now - n.healthSetAt})
		}
		for _, r := range n.recorders {
			if r.lastRecorded > r.weightBase || r.stats.long.weight() > 0 {
				rows = append(rows, classRow{
					key:      Key{name, n.startTime, r.key.Class},
					origin:   s.self,
					recorder: r,
					age:      now - r.lastRecorded,
					decayAge: max(now, r.lastRecorded) - r.weightBase,
				})
			}
		}
	}
	return rows, healths
}

func (h Health) compare(o Health) int {
	warmingUp := 0
	switch {
	case h.WarmingUp && !o.WarmingUp:
		warmingUp = 1
	case o.WarmingUp && !h.WarmingUp:
		warmingUp = -1
	}
	return cmp.Or(cmp.Compare(h.Type, o.Type), cmp.Compare(h.Shard, o.Shard), warmingUp,
		cmp.Compare(h.Window, o.Window), cmp.Compare(h.Queue, o.Queue))
}

// mergeClass adds up the clipped statistics of all origins of one key. It uses each origin's long-term statistics, or the
// short-term ones if the long-term ones deviate too far from the recent observations of all origins.
func (s *State) mergeClass(rows []classRow) View {
	view := View{Key: rows[0].key, Origins: len(rows), Age: rows[0].age}
	for len(s.readBuffer) < len(rows) {
		s.readBuffer = append(s.readBuffer, classStats{})
	}
	origins := s.readBuffer[:len(rows)]
	for i := range rows {
		rows[i].read(&origins[i], s.settings.HalfLife)
		view.Age = min(view.Age, rows[i].age)
	}
	long := clipAll(origins, s.settings.ClipFactor, (*classStats).longTerm)
	short := clipAll(origins, s.settings.ClipFactor, (*classStats).shortTerm)
	var recent, sum decayedCounts
	for i := range origins {
		recent.add(origins[i].short.clipped(short[i]))
	}
	var bins [numBins]float64
	for i := range origins {
		counts := origins[i].long.clipped(long[i])
		if deviation(&counts, &recent, false) > maxLongTermDeviation {
			counts = origins[i].short.clipped(short[i])
		}
		sum.add(counts)
		addBins(&bins, &origins[i].bins, rows[i].shortDecay, short[i])
	}
	view.Sums, view.Rejected, view.Failed, view.TimedOut = sum.sums, sum.rejected, sum.failed, sum.timedOut
	view.Sketch = sketchOf(&bins)
	return view
}

// addBins adds one origin's latency bins, decayed and clipped. Times are clipped by shifting the bins.
func addBins(sum, bins *[numBins]float64, decay float64, clip clipFactors) {
	shift := 0
	if clip.times != 1 {
		shift = int(math.Round(math.Log(clip.times) / math.Log(binMapping.LowerBound(1)/binMapping.LowerBound(0))))
	}
	for i, n := range bins {
		if n > 0 {
			sum[min(max(i+shift, 0), numBins-1)] += n * decay * clip.weight
		}
	}
}

// mergeHealth aggregates a node's health over its origins: the most common type and shard, and clipped means of the windows
// and queues. The node counts as warming up if at least half of the origins report it so.
func mergeHealth(rows []healthRow, clip float64) View {
	view := View{Key: rows[0].key(), Origins: len(rows), Age: rows[0].age}
	types, shards := map[string]int{}, map[int]int{}
	warmingUp := 0
	var windows, queues []float64
	for _, r := range rows {
		if r.health.Type != "" {
			types[r.health.Type]++
		}
		shards[r.health.Shard]++
		if r.health.WarmingUp {
			warmingUp++
		}
		windows, queues = append(windows, r.health.Window), append(queues, r.health.Queue)
		view.Age = min(view.Age, r.age)
	}
	view.Type, view.Shard = mostCommon(types), mostCommon(shards)
	view.WarmingUp = 2*warmingUp >= len(rows) && warmingUp > 0
	view.Window, view.Queue = clippedMean(windows, clip), clippedMean(queues, clip)
	return view
}

// mostCommon returns the value with the most votes, or the smallest of several such values.
func mostCommon[K cmp.Ordered](votes map[K]int) (best K) {
	n := 0
	for k, c := range votes {
		if c > n || c == n && k < best {
			best, n = k, c
		}
	}
	return best
}
