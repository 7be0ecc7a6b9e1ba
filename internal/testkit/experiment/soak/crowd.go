package soak

import (
	"bufio"
	"cmp"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"wheatsaddle/internal/testkit/fake/pacednode"
)

// Crowd is picture (a): many clients at once that write slowly, stop half way through a long request, send heads of very many
// fields, or read long answers slowly; and sound clients beside them.
type Crowd struct {
	SlowWriters, Stoppers, ManyFields, SlowReaders int // clients of each kind
	Duration                                       time.Duration
	SoundInterval                                  time.Duration // between two sound requests
	SoundWork                                      time.Duration // of a sound request at its node; 0: 2 ms
	Kills                                          int           // how often the daemon is killed and started again meanwhile
}

const (
	slowRate      = 64 << 10               // bytes per second at which a slow client writes or reads
	readerAnswer  = 3 << 20                // bytes of a slow reader's answer
	crowdPause    = 100 * time.Millisecond // of a client between two connections
	soundDeadline = time.Second
	soundWork     = 2 * time.Millisecond
)

// The sizes of the crowd's requests, in bytes. Clients of a kind take them in turn.
var (
	slowBodies   = []int{1 << 20, 60 << 10}
	stopperSizes = []struct{ declared, sent int }{{8 << 20, 300 << 10}, {64 << 10, 60 << 10}}
	// fieldCounts are the fields of a head. One head exceeds what the daemon buffers of it, and one does not.
	fieldCounts = []int{8000, 1250}
)

// CrowdResult counts the ends of the sound requests, and tells how much memory the daemon had.
type CrowdResult struct {
	Served, Rejected, Unanswered int           // those sent while the daemon was started again are not counted
	Slowest                      time.Duration // answer of a sound request
	Peak                         Memory
	KilledAt                     []time.Time
}

func (r CrowdResult) String() string {
	return fmt.Sprintf("sound requests: %d served, %d rejected, %d unanswered, slowest answer %v; peak resident %.1f MB, anonymous %.1f MB",
		r.Served, r.Rejected, r.Unanswered, r.Slowest.Round(time.Millisecond), float64(r.Peak.Resident)/1e6, float64(r.Peak.Anonymous)/1e6)
}

// Play plays the crowd for its duration.
func (c Crowd) Play(d *Deployment) (result CrowdResult) {
	stop := make(chan struct{})
	memory := d.watchMemory()
	var clients, kills sync.WaitGroup
	c.startClients(d, stop, &clients)
	kills.Go(func() { result.KilledAt = d.killAndRestart(c) })
	d.soundClients(c, &result)
	kills.Wait()
	close(stop)
	clients.Wait()
	result.Peak = memory.end()
	return result
}

// startClients starts the crowd's clients, each of which connects again and again until stop is closed.
func (c Crowd) startClients(d *Deployment, stop <-chan struct{}, clients *sync.WaitGroup) {
	var next atomic.Int64
	for kind, count := range map[int]int{0: c.SlowWriters, 1: c.Stoppers, 2: c.ManyFields, 3: c.SlowReaders} {
		play := []func(*Deployment, net.Conn, crowdClient){writeSlowly, stopHalfWay, sendManyFields, readSlowly}[kind]
		for range count {
			clients.Go(func() {
				d.repeatAfter(stop, crowdPause, func(nc net.Conn) {
					number := next.Add(1)
					play(d, nc, crowdClient{number: int(number), id: fmt.Sprint("crowd-", number), stop: stop})
				})
			})
		}
	}
}

// crowdClient is one client of the crowd on one connection.
type crowdClient struct {
	number int
	id     string
	stop   <-chan struct{}
}

// request returns the client's request.
func (c crowdClient) request(d *Deployment, class string, body int) Request {
	return Request{ID: c.id, Class: class, Key: c.id, Shard: c.number % d.Shards(), Deadline: soundDeadline, Body: body}
}

// repeatAfter calls play with a new connection, again and again after a pause, until stop is closed.
func (d *Deployment) repeatAfter(stop <-chan struct{}, wait time.Duration, play func(net.Conn)) {
	for {
		if nc, err := net.DialTimeout("tcp", d.Listen, time.Second); err == nil {
			end := make(chan struct{})
			go func() {
				select {
				case <-stop:
				case <-end:
				}
				_ = nc.Close()
			}()
			play(nc)
			close(end)
		}
		select {
		case <-stop:
			return
		case <-time.After(wait):
		}
	}
}

// pause waits, and reports whether stop was closed meanwhile.
func pause(stop <-chan struct{}, wait time.Duration) bool {
	select {
	case <-stop:
		return true
	case <-time.After(wait):
		return false
	}
}

// writeSlowly writes a request at slowRate, and waits for the answer.
func writeSlowly(d *Deployment, nc net.Conn, c crowdClient) {
	size := slowBodies[c.number%len(slowBodies)]
	r := c.request(d, ClassKeyed, size)
	if _, err := io.WriteString(nc, r.head()); err != nil {
		return
	}
	piece := make([]byte, writePiece)
	for sent := 0; sent < size; sent += len(piece) {
		if _, err := nc.Write(piece); err != nil || pause(c.stop, time.Duration(len(piece))*time.Second/slowRate) {
			return
		}
	}
	_, _ = bufio.NewReader(nc).ReadString('\n')
}

// stopHalfWay writes a part of a request and waits for the daemon to end the connection.
func stopHalfWay(d *Deployment, nc net.Conn, c crowdClient) {
	size := stopperSizes[c.number%len(stopperSizes)]
	r := c.request(d, ClassKeyed, size.declared)
	if _, err := io.WriteString(nc, r.head()); err != nil {
		return
	}
	_, _ = nc.Write(make([]byte, size.sent))
	_, _ = io.Copy(io.Discard, nc)
}

// sendManyFields writes a head of very many short fields, without its end, and waits for the daemon to end the connection.
func sendManyFields(d *Deployment, nc net.Conn, c crowdClient) {
	r := c.request(d, ClassRead, 0)
	r.Fields = strings.Repeat("a:b\r\n", fieldCounts[c.number%len(fieldCounts)])
	_, _ = io.WriteString(nc, strings.TrimSuffix(r.head(), "\r\n"))
	_, _ = io.Copy(io.Discard, nc)
}

// readSlowly reads a long answer at slowRate.
func readSlowly(d *Deployment, nc net.Conn, c crowdClient) {
	r := c.request(d, ClassRead, 0)
	r.Script = pacednode.Script{Size: readerAnswer}
	_ = nc.(*net.TCPConn).SetReadBuffer(readPiece)
	exchange(nc, bufio.NewReaderSize(nc, writePiece), r, slowRate)
}

// killAndRestart kills the daemon at equal intervals over the crowd's duration, and starts it again at once. It returns when.
func (d *Deployment) killAndRestart(c Crowd) (killedAt []time.Time) {
	for range c.Kills {
		time.Sleep(c.Duration / time.Duration(c.Kills+1))
		killedAt = append(killedAt, time.Now())
		d.Proc.KillAndWait()
		_ = d.Proc.Start() // if that fails, no request is served
	}
	return killedAt
}

// soundClients sends small requests at the crowd's interval for its duration, each on a new connection, and waits for their ends.
func (d *Deployment) soundClients(c Crowd, result *CrowdResult) {
	var mu sync.Mutex
	var all sync.WaitGroup
	end := time.Now().Add(c.Duration)
	for i := 0; time.Now().Before(end); i++ {
		r := Request{ID: fmt.Sprint("sound-", time.Now().UnixNano()), Class: ClassRead, Shard: i % d.Shards(), Deadline: soundDeadline,
			Script: pacednode.Script{Size: 200, Work: cmp.Or(c.SoundWork, soundWork)}}
		all.Go(func() {
			sent := time.Now()
			o := d.Send(r)
			took := o.EndedAt.Sub(sent)
			mu.Lock()
			defer mu.Unlock()
			switch {
			case o.Complete && took > soundDeadline+500*time.Millisecond || !o.Complete:
				result.Unanswered++
			case o.Served():
				result.Served++
			default:
				result.Rejected++
			}
			if o.Complete {
				result.Slowest = max(result.Slowest, took)
			}
		})
		time.Sleep(c.SoundInterval)
	}
	all.Wait()
}
