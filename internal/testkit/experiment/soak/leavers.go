package soak

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"wheatsaddle/internal/testkit/fake/pacednode"
)

const (
	ruleOnce = "an id runs once"
	ruleLeft = "no attempt begins over 0.1 s after its client has closed its connection"

	leaverDeadline = time.Second
	leaveAfter     = 30 * time.Millisecond // from the send of a request
	lateAttempt    = 100 * time.Millisecond
)

// Leavers is picture (d): clients that close their connection while their requests are open, and ids that come again.
type Leavers struct {
	Repeats   int      // ids that come again after their client has left
	Pipelines int      // clients that send many requests at once and leave
	Pipelined int      // requests of each of those
	Classes   []string // of the ids that come again; nil: all
	// Loaded tells that other clients load the daemon. An idempotent request may then be retried, and it may run again under its id
	// once it was rejected.
	Loaded bool
}

// idUse is one use of an id by its client.
type idUse struct {
	sentAt time.Time
	code   int // of the answer; 0: none, or the client left before
}

// Play sends the requests, and returns the rules that were broken. At the nodes each takes work.
func (l Leavers) Play(d *Deployment, name string, work time.Duration) []Breach {
	var broken breaches
	var all sync.WaitGroup
	uses := make([][]idUse, l.Repeats)
	classes := l.Classes
	if classes == nil {
		classes = []string{ClassRead, ClassWrite, ClassKeyed}
	}
	for i := range l.Repeats {
		r := leaverRequest(fmt.Sprintf("%s-again-%d", name, i), classes[i%len(classes)], i%d.Shards(), work)
		all.Go(func() {
			uses[i] = append(uses[i], idUse{sentAt: time.Now()})
			d.sendAndLeave(r)
			for range 2 {
				sentAt := time.Now()
				uses[i] = append(uses[i], idUse{sentAt, d.Send(r).Code})
			}
		})
	}
	for i := range l.Pipelines {
		all.Go(func() { d.pipelineAndLeave(fmt.Sprintf("%s-pipeline-%d", name, i), l.Pipelined, work, &broken) })
	}
	all.Wait()
	if !l.Loaded {
		d.checkRunOnce(name, &broken)
		return broken.all
	}
	for i := range l.Repeats {
		r := leaverRequest(fmt.Sprintf("%s-again-%d", name, i), classes[i%len(classes)], i%d.Shards(), work)
		d.checkIDOwner(r, uses[i], &broken)
	}
	return broken.all
}

// attempts returns the attempts of a request at all nodes.
func (d *Deployment) attempts(id string) (all []pacednode.Attempt) {
	for _, n := range d.Nodes {
		all = append(all, n.Attempts(id)...)
	}
	return all
}

// checkIDOwner checks the uses of an id: only an idempotent one may run in a use after another use in which it ran, and only if that
// one was rejected; in one use only an idempotent one may run more than once.
func (d *Deployment) checkIDOwner(r Request, uses []idUse, broken *breaches) {
	runs := make([]int, len(uses))
	for _, a := range d.attempts(r.ID) {
		if a.ReceivedAt.IsZero() {
			continue
		}
		use := 0
		for use+1 < len(uses) && !a.BeganAt.Before(uses[use+1].sentAt) {
			use++
		}
		runs[use]++
	}
	owned := false
	for i, count := range runs {
		if count == 0 {
			continue
		}
		if owned || count > 1 && r.Class == ClassWrite {
			broken.add(ruleOnce, "%s, class %s: runs in its uses %v, uses %v", r.ID, r.Class, runs, uses)
			return
		}
		rejected := uses[i].code == http.StatusServiceUnavailable
		owned = !rejected || r.Class == ClassWrite
	}
}

// leaverRequest returns a request with the given work.
func leaverRequest(id, class string, shard int, work time.Duration) Request {
	r := Request{ID: id, Class: class, Shard: shard, Deadline: leaverDeadline, Script: pacednode.Script{Work: work, Size: 100}}
	if class != ClassRead {
		r.Body, r.Key = 100, "key-"+id
	}
	return r
}

// sendAndLeave sends a request and closes its connection shortly after.
func (d *Deployment) sendAndLeave(r Request) {
	nc, err := net.DialTimeout("tcp", d.Listen, time.Second)
	if err != nil {
		return
	}
	_, _ = io.WriteString(nc, r.head()+string(make([]byte, r.Body)))
	time.Sleep(leaveAfter)
	_ = nc.Close()
}

// pipelineAndLeave sends requests at once, closes the connection with most of them unread, and checks that no attempt begins late.
func (d *Deployment) pipelineAndLeave(name string, count int, work time.Duration, broken *breaches) {
	nc, err := net.DialTimeout("tcp", d.Listen, time.Second)
	if err != nil {
		return
	}
	writer := bufio.NewWriter(nc)
	var ids []string
	for i := range count {
		r := leaverRequest(fmt.Sprintf("%s-%d", name, i), ClassRead, i%d.Shards(), work)
		ids = append(ids, r.ID)
		_, _ = writer.WriteString(r.head())
	}
	_ = writer.Flush()
	time.Sleep(leaveAfter)
	closedAt := time.Now()
	_ = nc.Close()
	time.Sleep(10 * lateAttempt)
	for _, id := range ids {
		for _, n := range d.Nodes {
			for _, a := range n.Attempts(id) {
				if late := a.BeganAt.Sub(closedAt); late > lateAttempt {
					broken.add(ruleLeft, "%s began %v after the close", id, late)
				}
			}
		}
	}
}

// checkRunOnce checks that each id that begins with a prefix was received completely once at most, over all nodes.
func (d *Deployment) checkRunOnce(prefix string, broken *breaches) {
	runs := map[string]int{}
	for _, n := range d.Nodes {
		n.EachRequest(func(id string, attempts []pacednode.Attempt) {
			for _, a := range attempts {
				if !a.ReceivedAt.IsZero() && strings.HasPrefix(id, prefix) {
					runs[id]++
				}
			}
		})
	}
	for id, count := range runs {
		if count > 1 {
			broken.add(ruleOnce, "%s ran %d times", id, count)
		}
	}
}
