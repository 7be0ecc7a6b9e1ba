package soak

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"wheatsaddle/internal/testkit/fake/pacednode"
)

// sentRequest is a request of the scenario's traffic, and what its client saw.
type sentRequest struct {
	Request
	Outcome
	transfer bool      // its node rests while it reads the request or writes the answer
	sound    bool      // small, with far more time than its work takes
	reused   bool      // the connection had carried another request before
	closedAt time.Time // when the client left without the answer; zero: it did not
}

// traffic is the clients that keep their connections and use them until they are closed.
type traffic struct {
	deployment *Deployment
	scenario   Scenario
	stop       chan struct{}
	wg         sync.WaitGroup

	mu   sync.Mutex // guards sent
	sent []sentRequest
}

const (
	reconnectPause  = 20 * time.Millisecond
	clientPause     = 40 * time.Millisecond // at most, between two requests
	longClientPause = 400 * time.Millisecond
	soundShare      = 4 // the work of a sound request is at most this part of its deadline
)

// startTraffic starts the scenario's clients.
func startTraffic(d *Deployment, s Scenario) *traffic {
	t := &traffic{deployment: d, scenario: s, stop: make(chan struct{})}
	for i := range s.Clients {
		t.wg.Go(func() { t.runClient(i, rand.New(rand.NewPCG(s.Seed, uint64(i)+1))) })
	}
	return t
}

// end stops the clients, and returns all requests once each has ended.
func (t *traffic) end() []sentRequest {
	close(t.stop)
	t.wg.Wait()
	return t.sent
}

// runClient connects and sends requests on the connection until it ends, again and again.
func (t *traffic) runClient(client int, rng *rand.Rand) {
	for number := 0; ; {
		nc, err := net.DialTimeout("tcp", t.deployment.Listen, time.Second)
		if err == nil {
			number = t.useConnection(nc, client, number, rng)
			_ = nc.Close()
		}
		if pause(t.stop, reconnectPause) {
			return
		}
	}
}

// useConnection sends requests, one at a time, until the connection ends, the client leaves or the traffic stops. It returns the number
// of the client's next request.
func (t *traffic) useConnection(nc net.Conn, client, number int, rng *rand.Rand) int {
	reader := bufio.NewReaderSize(nc, readPiece)
	for reused := false; ; reused = true {
		r := t.request(fmt.Sprintf("t%d-%d-%d", t.scenario.Seed, client, number), rng)
		number++
		r.reused = reused
		if rng.IntN(20) == 0 {
			t.leave(nc, r, time.Duration(rng.IntN(30))*time.Millisecond)
			return number
		}
		r.Outcome = exchange(nc, reader, r.Request, 0)
		t.record(r)
		wait := time.Duration(rng.Int64N(int64(clientPause)))
		if rng.IntN(10) == 0 {
			wait = longClientPause
		}
		if !r.Complete || r.Closes || pause(t.stop, wait) {
			return number
		}
	}
}

// leave sends a request and closes the connection a while later.
func (t *traffic) leave(nc net.Conn, r sentRequest, after time.Duration) {
	_ = nc.SetDeadline(time.Now().Add(after + time.Second))
	if _, err := io.WriteString(nc, r.head()); err != nil || writeBody(nc, r.Request.Body) != nil {
		return
	}
	time.Sleep(after)
	r.closedAt = time.Now()
	_ = nc.Close()
	t.record(r)
}

func (t *traffic) record(r sentRequest) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sent = append(t.sent, r)
}

// request draws a request.
func (t *traffic) request(id string, rng *rand.Rand) sentRequest {
	r := Request{ID: id, Class: ClassRead, Shard: rng.IntN(t.scenario.Nodes), Deadline: t.scenario.Deadline * time.Duration(5+rng.IntN(6)) / 10}
	if len(t.deployment.Links) > 0 && rng.IntN(2) == 0 {
		r.Deadline = t.scenario.Deadline
	}
	r.Script = pacednode.Script{Size: 10 + rng.IntN(20_000), Work: min(time.Duration(1+rng.IntN(30))*time.Millisecond, r.Deadline/soundShare)}
	sound := true
	switch kind := rng.IntN(20); {
	case kind < 8:
	case kind < 10:
		r.Class, r.Body = ClassWrite, 1+rng.IntN(30_000)
	case kind < 12:
		r.Class, r.Body, r.Key = ClassKeyed, 1+rng.IntN(30_000), "key-"+id
	case kind < 18:
		return sentRequest{Request: drawTransfer(id, t.scenario, rng), transfer: true}
	case kind < 19:
		sound = false
		r.Class, r.Body, r.Script.ReadRate = ClassWrite, 100_000+rng.IntN(300_000), slowRate
	default:
		sound = false
		r.Script.Work = r.Deadline * 3 / 2
	}
	return sentRequest{Request: r, sound: sound}
}
