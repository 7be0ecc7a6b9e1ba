package workload

import (
	"encoding/binary"
	"math"
	"math/rand/v2"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Request is one arrival. Class, Plan, Volume and Host are indexes; the shape and the sender map them to names.
type Request struct {
	Seq       uint64        // from 0
	At        time.Duration // after the start
	Class     int           // index into the shape's classes
	Plan      int
	Volume    int
	Host      int    // index of the host among the volume's hosts, from 0
	Extent    uint64 // id of the data that is read or written
	Units     int
	Shard     int    // -1: a write of a new object, or a read of one; only the answer to the write tells its shard
	CreatedBy uint64 // 1 + Seq of the write that created the object that is read; 0: not a read of a new object
	Surge     bool   // drawn from the additional load of a surge
}

// Schedule generates a shape's requests in the order of their times.
type Schedule struct {
	shape        Shape
	rng          *rand.Rand
	until        time.Duration
	seq          uint64
	now          float64 // ms
	classShares  []float64
	unitShares   []float64
	volumeShares []float64 // cumulative, as are classShares and unitShares
	volumePlans  []int     // plan of each volume
	busiestHosts []busiestHost
	runs         []extentRun   // by volume: the extent that successive requests access
	recentWrites []objectWrite // writes of new objects, a ring buffer
	writeCount   int           // number of writes added to recentWrites so far
	surge        surgePeriod
	hash         *xxhash.Digest
	buf          [64]byte
}

// busiestHost is the host that sends the share Shape.Uneven of a volume's requests until it changes.
type busiestHost struct {
	host     int
	changeAt float64 // time at which another host becomes the busiest, ms
}

// extentRun is a run of successive requests for one extent.
type extentRun struct {
	extent uint64
	left   int // requests left in the run
}

// objectWrite is a write that created an object.
type objectWrite struct {
	seq    uint64
	volume int
	extent uint64
	at     float64 // time of the write, ms
}

// surgePeriod is the current or the next surge, in milliseconds, with the volumes that take part.
type surgePeriod struct {
	from, to float64
	volumes  []int
}

const (
	maxRecentWrites   = 512    // writes remembered
	recentWriteMaxAge = 8000.0 // ms after its write; an older object is not read as a new one
	recentWriteMinAge = 300.0  // ms after its write before an object is read, so that the write has been answered
	rampStep          = 20.0   // ms; longest step of the staircase that approximates a ramp
)

// New returns the schedule of a shape up to a time. It fails if the shape does not pass Check.
func New(s Shape, seed uint64, until time.Duration) (*Schedule, error) {
	if err := s.Check(); err != nil {
		return nil, err
	}
	a := &Schedule{shape: s, rng: rand.New(rand.NewPCG(seed, 0x6172726976616c)), until: until, hash: xxhash.New()}
	for _, c := range s.Classes {
		a.classShares = append(a.classShares, c.Share)
	}
	a.classShares, a.unitShares = cumulativeShares(a.classShares), cumulativeShares(s.Units)
	shares := make([]float64, s.Volumes)
	for i := range shares {
		shares[i] = math.Pow(float64(i+1), -s.Skew)
	}
	a.volumeShares = cumulativeShares(shares)
	plan := make([]float64, 0, len(s.Plans))
	for _, p := range s.Plans {
		plan = append(plan, p.Share)
	}
	plan = cumulativeShares(plan)
	a.volumePlans, a.busiestHosts, a.runs = make([]int, s.Volumes), make([]busiestHost, s.Volumes), make([]extentRun, s.Volumes)
	for i := range a.volumePlans {
		a.volumePlans[i] = a.drawIndex(plan)
		a.busiestHosts[i] = busiestHost{a.rng.IntN(s.Hosts), a.drawBetween(s.SwapLow, s.SwapHigh) * a.rng.Float64()}
	}
	if u := s.Surges; u != nil {
		from := u.First
		if from == 0 {
			from = a.rng.ExpFloat64() * u.Every
		}
		a.nextSurge(from)
	} else {
		a.surge.from = math.Inf(1)
	}
	return a, nil
}

// cumulativeShares normalizes weights to a sum of 1 and returns their running sums.
func cumulativeShares(w []float64) []float64 {
	sum := 0.0
	for _, x := range w {
		sum += x
	}
	out, at := make([]float64, len(w)), 0.0
	for i, x := range w {
		at += x / sum
		out[i] = at
	}
	out[len(out)-1] = 1
	return out
}

// drawIndex draws an index by cumulative shares.
func (a *Schedule) drawIndex(shares []float64) int {
	x := a.rng.Float64()
	low, high := 0, len(shares)-1
	for low < high {
		if mid := (low + high) / 2; shares[mid] > x {
			high = mid
		} else {
			low = mid + 1
		}
	}
	return low
}

// drawBetween draws a length of time uniformly between two bounds.
func (a *Schedule) drawBetween(low, high float64) float64 { return low + a.rng.Float64()*(high-low) }

// nextSurge draws the length and the volumes of the surge that begins at the given time.
func (a *Schedule) nextSurge(from float64) {
	u := a.shape.Surges
	a.surge.from, a.surge.to = from, from+a.drawBetween(u.Least, u.Most)
	a.surge.volumes = a.surge.volumes[:0]
	for range min(u.Volumes, a.shape.Volumes) {
		a.surge.volumes = append(a.surge.volumes, a.drawIndex(a.volumeShares))
	}
}

// rate returns the rate at a time, in requests per millisecond, and the time until which it is constant.
func (a *Schedule) rate(at float64) (rate, until float64) {
	times, end := 1.0, math.Inf(1)
	for _, t := range a.shape.Steps {
		switch {
		case at < t.At:
			end = math.Min(end, t.At)
		case at < t.At+t.Over:
			width := t.Over / math.Ceil(t.Over/rampStep)
			stair := math.Floor((at-t.At)/width) * width
			times += (t.Times - times) * math.Min(1, (stair+width/2)/t.Over)
			end = math.Min(end, t.At+math.Min(stair+width, t.Over))
		default:
			times = t.Times
		}
		if at < t.At {
			break
		}
	}
	if at >= a.surge.from {
		times, end = times*a.shape.Surges.Times, math.Min(end, a.surge.to)
	} else {
		end = math.Min(end, a.surge.from)
	}
	return a.shape.Rate * times / 1000, end
}

// Next returns the next request, or false if the schedule has ended.
func (a *Schedule) Next() (Request, bool) {
	need := 1.0 // integral of the rate up to the next arrival
	if a.shape.Process == "poisson" {
		need = a.rng.ExpFloat64()
	}
	limit := float64(a.until) / float64(time.Millisecond)
	for {
		if a.shape.Surges != nil && a.now >= a.surge.to {
			a.nextSurge(a.surge.to + a.rng.ExpFloat64()*a.shape.Surges.Every)
		}
		rate, until := a.rate(a.now)
		until = math.Max(until, math.Nextafter(a.now, math.Inf(1))) // rounding may put the step's end at now: endless loop
		if step := need / rate; rate > 0 && a.now+step < until {
			a.now += step
			break
		}
		if until >= limit {
			return Request{}, false
		}
		need -= (until - a.now) * rate
		a.now = until
	}
	if a.now >= limit {
		return Request{}, false
	}
	r := a.drawRequest()
	a.seq++
	a.addToHash(&r)
	return r, true
}

// drawRequest draws the contents of the next request.
func (a *Schedule) drawRequest() Request {
	s := &a.shape
	r := Request{Seq: a.seq, At: ms(a.now), Class: a.drawIndex(a.classShares), Units: 1 + a.drawIndex(a.unitShares)}
	if extra := 1 - 1/a.surgeMultiple(); a.now >= a.surge.from && a.rng.Float64() < extra {
		r.Volume, r.Surge = a.surge.volumes[a.rng.IntN(len(a.surge.volumes))], true
	} else {
		r.Volume = a.drawIndex(a.volumeShares)
	}
	r.Plan = a.volumePlans[r.Volume]
	r.Host = a.drawHost(r.Volume)
	class := &s.Classes[r.Class]
	switch {
	case class.Write && a.rng.Float64() < s.NewShare:
		r.Extent, r.Shard = a.rng.Uint64()|1<<63, -1 // the top bit distinguishes new objects from the volumes' extents
		a.recentWrites, a.writeCount = pushRing(a.recentWrites, a.writeCount, objectWrite{a.seq, r.Volume, r.Extent, a.now})
		return r
	case !class.Write && a.rng.Float64() < s.ReadNew:
		if m, ok := a.drawRecentWrite(); ok {
			r.Volume, r.Plan, r.Host = m.volume, a.volumePlans[m.volume], a.drawHost(m.volume)
			r.Extent, r.CreatedBy, r.Shard = m.extent, m.seq+1, -1
			return r
		}
	}
	r.Extent = a.drawExtent(r.Volume)
	r.Shard = int(mix(r.Extent) % uint64(s.Shards))
	return r
}

// surgeMultiple is the rate during a surge as a multiple of the rate without one.
func (a *Schedule) surgeMultiple() float64 {
	if a.shape.Surges == nil {
		return 1
	}
	return a.shape.Surges.Times
}

// drawHost draws the host that sends a volume's next request.
func (a *Schedule) drawHost(volume int) int {
	s := &a.shape
	if s.Hosts == 1 {
		return 0
	}
	if s.Uneven == 0 {
		return a.rng.IntN(s.Hosts)
	}
	b := &a.busiestHosts[volume]
	for a.now >= b.changeAt {
		b.host = (b.host + 1 + a.rng.IntN(s.Hosts-1)) % s.Hosts
		b.changeAt += a.drawBetween(s.SwapLow, s.SwapHigh)
	}
	if a.rng.Float64() < s.Uneven {
		return b.host
	}
	return (b.host + 1 + a.rng.IntN(s.Hosts-1)) % s.Hosts
}

// drawExtent draws the extent of a volume's next request. Runs of successive requests have the same extent.
func (a *Schedule) drawExtent(volume int) uint64 {
	r := &a.runs[volume]
	if r.left == 0 {
		r.extent = mix(uint64(volume)<<32|uint64(a.rng.IntN(a.shape.Extents))) >> 1 // clears the top bit, which marks new objects
		r.left = 1 + a.rng.IntN(a.shape.Runs)
	}
	r.left--
	return r.extent
}

// mix is the finalizer of splitmix64.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

// drawRecentWrite draws one of the new objects whose age is between recentWriteMinAge and recentWriteMaxAge; false: there
// is none.
func (a *Schedule) drawRecentWrite() (objectWrite, bool) {
	n := len(a.recentWrites)
	at := func(i int) *objectWrite { return &a.recentWrites[(a.writeCount-n+i)%n] } // oldest first
	from := sort.Search(n, func(i int) bool { return at(i).at >= a.now-recentWriteMaxAge })
	to := sort.Search(n, func(i int) bool { return at(i).at > a.now-recentWriteMinAge })
	if from >= to {
		return objectWrite{}, false
	}
	return *at(from + a.rng.IntN(to-from)), true
}

// pushRing adds a write to the ring buffer, of which n writes came before, and returns the ring and the new count.
func pushRing(r []objectWrite, n int, m objectWrite) ([]objectWrite, int) {
	if len(r) < maxRecentWrites {
		return append(r, m), n + 1
	}
	r[n%maxRecentWrites] = m
	return r, n + 1
}

// addToHash adds a request to the hash.
func (a *Schedule) addToHash(r *Request) {
	b := a.buf[:0]
	surge := uint64(0)
	if r.Surge {
		surge = 1
	}
	for _, x := range [...]uint64{uint64(r.At), uint64(r.Class)<<32 | uint64(r.Plan), uint64(r.Volume)<<16 | uint64(r.Host), r.Extent,
		uint64(r.Units)<<1 | surge, uint64(int64(r.Shard)), r.CreatedBy} {
		b = binary.LittleEndian.AppendUint64(b, x)
	}
	_, _ = a.hash.Write(b)
}

// Hash returns the xxhash of all requests generated so far.
func (a *Schedule) Hash() uint64 { return a.hash.Sum64() }

// Generated returns the number of requests generated so far.
func (a *Schedule) Generated() uint64 { return a.seq }
