package soak

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"wheatsaddle/internal/testkit/fake/pacednode"
)

// FloodKind is what the requests of a flood have in common.
type FloodKind int

// The kinds. Each request has a new id.
const (
	SmallReads     FloodKind = iota // sound ones, all of one volume
	NewVolumes                      // sound ones, each of a new volume and with a new key
	ShortDeadlines                  // of new volumes, with hardly any time
	UnknownClasses                  // each of a new class
	UnknownPlans                    // each of a new plan
	UnsoundFields                   // fields that are missing or have no valid value
	UnsoundHeads                    // heads that are no HTTP, each on a new connection
	MixedFlood                      // all of these in turn, but for UnsoundHeads
)

var floodNames = []string{"small reads", "new volumes", "short deadlines", "unknown classes", "unknown plans", "unsound fields", "unsound heads", "mixed"}

func (k FloodKind) String() string { return floodNames[k] }

const (
	floodDeadline = 500 * time.Millisecond
	floodHurried  = 20 * time.Millisecond
	floodBatch    = 32 << 10 // bytes of requests that the client writes at once
)

// Flood is picture (c): one client that sends requests on one connection as fast as the daemon takes them, without awaiting the
// answers; and sound clients beside it.
type Flood struct {
	Kind     FloodKind
	Duration time.Duration
}

// FloodResult tells what the flood was, and how the sound clients and the daemon fared.
type FloodResult struct {
	Requests    int64 // written by the flooding client
	Answers     int64 // that it got
	Sound       CrowdResult
	LogBytes    int // that the daemon wrote
	SeriesAdded int // names of metrics
}

func (r FloodResult) String() string {
	return fmt.Sprintf("%d requests, %d answers; %v; log %d bytes, %d series added", r.Requests, r.Answers, r.Sound, r.LogBytes, r.SeriesAdded)
}

// Play plays the flood for its duration.
func (f Flood) Play(d *Deployment) (result FloodResult) {
	seriesBefore, logBefore := d.countSeries(), len(d.Proc.Log())
	stop := make(chan struct{})
	var flooding sync.WaitGroup
	var requests, answers atomic.Int64
	flooding.Go(func() {
		d.repeatAfter(stop, floodReconnect, func(nc net.Conn) { f.flood(d, nc, &requests, &answers) })
	})
	memory := d.watchMemory()
	d.soundClients(Crowd{Duration: f.Duration, SoundInterval: floodSoundInterval, SoundWork: floodSoundWork}, &result.Sound)
	close(stop)
	flooding.Wait()
	result.Sound.Peak = memory.end()
	result.Requests, result.Answers = requests.Load(), answers.Load()
	result.LogBytes, result.SeriesAdded = len(d.Proc.Log())-logBefore, d.countSeries()-seriesBefore
	return result
}

const (
	floodReconnect     = time.Millisecond
	floodSoundInterval = 25 * time.Millisecond
	floodSoundWork     = 50 * time.Millisecond // more than floodHurried, so the daemon rejects hurried requests at once
)

// repeat floods the daemon until stop is closed, and connects again when its connection ends.
func (f Flood) repeat(d *Deployment, stop <-chan struct{}) {
	var requests, answers atomic.Int64
	d.repeatAfter(stop, floodReconnect, func(nc net.Conn) { f.flood(d, nc, &requests, &answers) })
}

// flood writes requests until the connection ends, and counts them and the answers.
func (f Flood) flood(d *Deployment, nc net.Conn, requests, answers *atomic.Int64) {
	go countAnswers(nc, answers)
	var batch bytes.Buffer
	for {
		batch.Reset()
		count := int64(0)
		for batch.Len() < floodBatch {
			number := requests.Load() + count
			batch.WriteString(f.Kind.request(int(number), d.Shards()))
			count++
			if f.Kind == UnsoundHeads {
				break
			}
		}
		if _, err := nc.Write(batch.Bytes()); err != nil {
			return
		}
		requests.Add(count)
	}
}

// countAnswers reads answers until the connection ends.
func countAnswers(nc net.Conn, answers *atomic.Int64) {
	lines := bufio.NewScanner(nc)
	for lines.Scan() {
		if strings.Contains(lines.Text(), "HTTP/1.") {
			answers.Add(1)
		}
	}
}

// request returns the bytes of one request.
func (k FloodKind) request(number, shards int) string {
	r := Request{ID: fmt.Sprintf("%016x", number), Class: ClassRead, Shard: number % shards, Deadline: floodDeadline, Script: pacednode.Script{Size: 1}}
	switch k {
	case NewVolumes:
		r.Volume, r.Key = uint64(number)+2, fmt.Sprintf("key-%d", number)
	case ShortDeadlines:
		r.Volume, r.Deadline = uint64(number)+2, floodHurried
	case UnknownClasses:
		r.Class = fmt.Sprintf("class-%d", number)
	case UnknownPlans:
		return strings.Replace(r.head(), "Tier: "+planName, fmt.Sprintf("Tier: plan-%d", number), 1)
	case UnsoundFields:
		fields := []string{"IO-Info: ", "X-Request-Id: ", "X-Deadline-Ms: ", "Cookie: "}
		return strings.Replace(r.head(), fields[number%len(fields)], fmt.Sprintf("X-Field-%d: ", number), 1)
	case UnsoundHeads:
		return fmt.Sprintf("GET\x01%d\r\n\r\n", number)
	case MixedFlood:
		return FloodKind(number%int(UnsoundHeads)).request(number, shards)
	case SmallReads:
	}
	return r.head()
}

// countSeries returns the number of the daemon's metrics; 0 if it serves none.
func (d *Deployment) countSeries() (count int) {
	if !d.options.Metrics {
		return 0
	}
	nc, err := net.DialTimeout("tcp", d.Metrics, time.Second)
	if err != nil {
		return 0
	}
	defer func() { _ = nc.Close() }()
	_ = nc.SetDeadline(time.Now().Add(overdue))
	_, _ = io.WriteString(nc, "GET /metrics HTTP/1.0\r\nHost: metrics\r\n\r\n")
	for lines := bufio.NewScanner(nc); lines.Scan(); {
		if strings.HasPrefix(lines.Text(), "wheatsaddle_") {
			count++
		}
	}
	return count
}
