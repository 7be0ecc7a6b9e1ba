package iscsi

import (
	"sync"
	"time"

	"wheatsaddle/internal/operr"
	"wheatsaddle/internal/writecache"
)

// syncOutcome is how a SYNCHRONIZE CACHE of an initiator ended.
type syncOutcome int

const (
	syncConfirmed   syncOutcome = iota // each storage target that has to has confirmed it
	syncUnconfirmed                    // a storage target has not confirmed it in time
	syncMayHaveLost                    // writes that were acknowledged before may have been lost
)

// cacheSync is a SYNCHRONIZE CACHE of an initiator.
type cacheSync struct {
	initiator string
	shard     int
	lun       uint16 // at the storage targets
	lba       uint64
	blocks    uint32 // 0: to the end of the unit
	end       uint64 // of the range, or writecache.EndOfUnit
	deadline  time.Time
	done      func(syncOutcome) // called once; does not block
}

// syncProgress collects the results of a cacheSync's steps. Any goroutine may call its methods.
type syncProgress struct {
	done    func(syncOutcome)
	timer   *time.Timer
	mu      sync.Mutex // guards the fields below
	pending int
	ended   bool
}

// synchronize has the storage targets of a shard write a range to their media. It does not block.
func (d *Dialer) synchronize(c *cacheSync) {
	blocks := writecache.Range{From: c.lba, To: c.end}
	steps, peers, mayHaveLost := d.beginSync(c, blocks)
	switch {
	case mayHaveLost:
		c.done(syncMayHaveLost)
		return
	case len(steps) == 0:
		c.done(syncConfirmed)
		return
	}
	progress := &syncProgress{done: c.done, pending: len(steps)}
	progress.timer = time.AfterFunc(time.Until(c.deadline), func() { progress.end(syncUnconfirmed) })
	for i, step := range steps {
		f := &flush{lun: c.lun, lba: c.lba, blocks: c.blocks, deadline: c.deadline, done: func(result flushResult) {
			progress.stepEnded(d.stepSucceeded(step, blocks, result))
		}}
		if peers[i] == nil || !peers[i].tryEnqueue(message{flush: f}) {
			f.done(flushUnconfirmed)
		}
	}
}

// beginSync returns the steps of a cacheSync, each with its storage target's actor, which is nil if there is none.
func (d *Dialer) beginSync(c *cacheSync, blocks writecache.Range) (steps []writecache.Step, peers []*storagePeer, mayHaveLost bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	var units []writecache.Unit
	for name, s := range d.storage {
		if s.Shard == c.shard {
			units = append(units, writecache.Unit{Target: name, LUN: c.lun})
		}
	}
	steps, mayHaveLost = d.caches.Begin(c.initiator, units, blocks)
	for _, step := range steps {
		peers = append(peers, d.peers[step.Unit.Target])
	}
	return steps, peers, mayHaveLost
}

// stepSucceeded records the result of a step, and reports whether its command may still succeed.
func (d *Dialer) stepSucceeded(step writecache.Step, blocks writecache.Range, result flushResult) bool {
	switch result {
	case flushConfirmed:
		d.mu.Lock()
		defer d.mu.Unlock()
		return d.caches.Synchronized(step, blocks)
	case flushUnconfirmed:
		return !step.Required
	}
	return false
}

// recordWrite records a write that a storage target may have in its cache only, or that may have been lost with a cache.
func (d *Dialer) recordWrite(u writecache.Unit, blocks writecache.Range, initiator string, mayBeLost bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.caches.Written(u, blocks, initiator)
	if mayBeLost {
		d.caches.Lost(u, blocks, initiator)
	}
}

// recordNoSession records that a storage target has no session any more, so that a restart would not be noticed.
func (d *Dialer) recordNoSession(name string) {
	d.mu.Lock()
	mayHaveLost := d.caches.Restarted(name)
	d.mu.Unlock()
	if mayHaveLost {
		d.Log.WithFields(operr.Fields(&CacheInDoubtError{name})).Warn("storage target: cached writes may be lost")
	}
}

// stepEnded records that a step has ended, and whether the command may still succeed.
func (p *syncProgress) stepEnded(succeeded bool) {
	if !succeeded {
		p.end(syncUnconfirmed)
		return
	}
	p.mu.Lock()
	p.pending--
	last := p.pending == 0
	p.mu.Unlock()
	if last {
		p.end(syncConfirmed)
	}
}

// end passes on the outcome, the first time that it is called.
func (p *syncProgress) end(outcome syncOutcome) {
	p.mu.Lock()
	first := !p.ended
	p.ended = true
	p.mu.Unlock()
	if first {
		p.timer.Stop()
		p.done(outcome)
	}
}
