package costs

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"wheatsaddle/internal/testkit/client"
)

// requestIDFormat encodes a request's seed and units in its id, because daemons send no IO-Info header to nodes.
const requestIDFormat = "%016x-%x-%x" // seed, units, sequence number

// decodeRequestID decodes the units and the seed from a request's id.
func decodeRequestID(id string) (units float64, requestSeed uint64) {
	var n, seq uint64
	if _, err := fmt.Sscanf(id, requestIDFormat, &requestSeed, &n, &seq); err != nil {
		panic(err) // cannot happen: sendRequest built the id
	}
	return float64(n), requestSeed
}

// sendRequest sends one request and returns its response time in milliseconds, and whether it was served.
func (bed *testbed) sendRequest(to *client.Pool, n int, units float64, requestSeed uint64) (took float64, served bool) {
	seq := bed.lastRequestNumber.Add(1)
	m := client.Message{ID: fmt.Sprintf(requestIDFormat, requestSeed, int(units), seq), Class: class, Plan: planName, Extent: fmt.Sprintf("%016x", seq),
		Volume: fmt.Sprintf("%016x", seq%64), Units: units, Shard: n, Hosts: bed.opt.Processes, Deadline: requestDeadline}
	begin := time.Now()
	a := to.Do(&m, begin)
	return millis(a.Ended.Sub(begin)), a.Outcome == client.Served
}

// requestFromNode sends a request directly to a node.
func (bed *testbed) requestFromNode(n int, units float64, requestSeed uint64) (took float64, served bool) {
	return bed.sendRequest(bed.nodePools[n], n, units, requestSeed)
}

// requestFromProcess sends a request through a process and records the answer.
func (bed *testbed) requestFromProcess(p, n int, units float64, requestSeed uint64) (took float64, served bool) {
	slow := bed.slowed.Load()
	took, served = bed.sendRequest(bed.processPools[p], n, units, requestSeed)
	bed.mu.Lock()
	defer bed.mu.Unlock()
	bed.row.Requests++
	if !served {
		bed.row.Refused++
		return took, false
	}
	bed.answerCounts[p]++
	now := time.Since(bed.startedAt)
	bed.ownAnswers[p].record(now, n, units, took)
	bed.allAnswers.record(now, n, units, took)
	if !slow && !bed.slowed.Load() {
		bed.row.added = append(bed.row.added, took-bed.drawServiceTime(n, units, requestSeed))
	}
	return took, true
}

// generateLoad sends requests through a process at requestsPerSecond until the context ends.
func (bed *testbed) generateLoad(ctx context.Context, p int, rng *rand.Rand) {
	var requests sync.WaitGroup
	defer requests.Wait()
	home := max(bed.opt.Groups/4, 1)
	for next := time.Now(); ; {
		next = next.Add(time.Duration(rng.ExpFloat64() / requestsPerSecond * float64(time.Second)))
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Until(next)):
		}
		g := rng.IntN(bed.opt.Groups)
		if rng.Float64() < bed.opt.HomeShare {
			g = (p + rng.IntN(home)) % bed.opt.Groups
		}
		n, units, requestSeed := g*nodesPerShard+rng.IntN(nodesPerShard), float64(1+rng.IntN(maxUnits)), rng.Uint64()
		requests.Go(func() { bed.requestFromProcess(p, n, units, requestSeed) })
	}
}
