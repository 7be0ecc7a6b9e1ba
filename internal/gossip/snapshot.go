package gossip

import (
	"context"
	"encoding/binary"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/memberlist"
)

// SnapshotKind is what one process hands over to another that starts.
type SnapshotKind byte

// LearnedSnapshot is what was learned of the nodes, in the form of internal/coldstart/snapshot.
const LearnedSnapshot SnapshotKind = 1

const (
	giveMost  = 256 << 10             // bytes of what is handed over
	giveWait  = time.Second           // for one member's answer
	giveTries = 8                     // members asked, one after the other
	giveLook  = 50 * time.Millisecond // between looks for a member
	wantsMost = 4                     // that ask, answered in a round
	givesMost = 2                     // handed over at once; who asks beside them is told that there is nothing
	wantHead  = 9                     // a drawn number, the kind; the name of who asks follows
)

// handOver is one question at a time, and the answers to those of others.
type handOver struct {
	mu       sync.Mutex
	asked    uint64        // the number that an answer must have; 0: none is awaited
	answer   chan<- []byte // of room for one
	giving   int
	given    atomic.Int64
	taken    atomic.Int64
	unusable atomic.Int64
}

// came takes an answer. It is dropped and counted unless it is the one that is waited for.
func (h *handOver) came(m []byte) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(m) < 8 || len(m) > 8+giveMost || h.asked == 0 || binary.BigEndian.Uint64(m) != h.asked {
		h.unusable.Add(1)
		return
	}
	h.answer <- slices.Clone(m[8:])
	h.asked = 0
}

// ask awaits an answer from now on; 0: none is awaited any more.
func (h *handOver) ask(number uint64) <-chan []byte {
	answer := make(chan []byte, 1)
	h.mu.Lock()
	h.asked, h.answer = number, answer
	h.mu.Unlock()
	return answer
}

// RequestSnapshot has a member hand something over, and says whether it did before the context ended. Members are
// asked in a drawn order until one has something that take can use: take's error is counted and the next
// is asked. What is handed over was made after it was asked for: its age is at most giveWait by this
// process's clock. One Ask at a time.
func (p *Cluster) RequestSnapshot(ctx context.Context, kind SnapshotKind, take func([]byte) error) bool {
	defer p.hand.ask(0)
	asked := map[string]bool{p.opt.Name: true}
	for len(asked) <= giveTries {
		to, number := p.another(asked)
		if to == nil {
			select {
			case <-time.After(giveLook):
				continue
			case <-ctx.Done():
				return false
			}
		}
		asked[to.Name] = true
		answer := p.hand.ask(number)
		m := binary.BigEndian.AppendUint64(make([]byte, 0, wantHead+len(p.opt.Name)), number)
		p.send(to, tagWant, append(append(m, byte(kind)), p.opt.Name...))
		wait := time.NewTimer(giveWait)
		select {
		case got := <-answer:
			if len(got) == 0 {
				break // it has nothing
			}
			if err := take(got); err != nil {
				p.hand.unusable.Add(1)
				p.dropped(err)
				break
			}
			p.hand.taken.Add(1)
			wait.Stop()
			return true
		case <-wait.C:
		case <-ctx.Done():
			wait.Stop()
			return false
		}
		wait.Stop()
	}
	return false
}

// another draws a member that was not asked yet, and a number; nil: there is none.
func (p *Cluster) another(asked map[string]bool) (to *memberlist.Node, number uint64) {
	left := slices.DeleteFunc(p.list.Members(), func(n *memberlist.Node) bool { return asked[n.Name] })
	if len(left) == 0 {
		return nil, 0
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return left[p.rand.IntN(len(left))], p.rand.Uint64() | 1
}

// wanted answers one that asks. What is handed over is made, and sent, beside the rounds.
func (p *Cluster) wanted(m []byte) {
	if len(m) <= wantHead {
		p.hand.unusable.Add(1)
		return
	}
	number, kind, name := m[:8], SnapshotKind(m[8]), string(m[wantHead:])
	for _, to := range p.list.Members() {
		if to.Name != name || name == p.opt.Name {
			continue
		}
		if p.opt.MakeSnapshot == nil { // this process hands nothing over
			return
		}
		if p.wants++; p.wants > wantsMost || !p.hand.begin() {
			p.send(to, tagGive, number)
			return
		}
		p.tasks.Add(1)
		go func() {
			defer p.tasks.Done()
			defer p.hand.end()
			b := p.opt.MakeSnapshot(kind)
			if len(b) > giveMost {
				b = nil
			}
			if len(b) > 0 {
				p.hand.given.Add(1)
			}
			p.send(to, tagGive, append(slices.Clone(number), b...))
		}()
		return
	}
	p.hand.unusable.Add(1) // of nobody
}

func (h *handOver) begin() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.giving >= givesMost {
		return false
	}
	h.giving++
	return true
}

func (h *handOver) end() {
	h.mu.Lock()
	h.giving--
	h.mu.Unlock()
}
