package interleave

// clock is a vector clock.
type clock [maxThreads]uint32

func (c *clock) join(d *clock) {
	for i, v := range d {
		c[i] = max(c[i], v)
	}
}

// object is the state that the run keeps of an object of steps, or of a plain variable.
type object struct {
	number        int
	writeClock    clock // of the Write steps: later Writes and Reads happen after them
	releaseClock  clock // of the Release steps: later Writes happen after them
	lastWriter    int   // thread of the last plain write; -1: none
	lastWriteTime uint32
	lastWriteLine string
	readTimes     clock
	readLines     [maxThreads]string
}

func (r *run) object(key any) *object {
	o := r.objects[key]
	if o == nil {
		o = &object{number: len(r.objects), lastWriter: -1}
		r.objects[key] = o
	}
	return o
}

// updateClocks records the happens-before relations of a thread's step.
func (r *run) updateClocks(t *thread) {
	for i := -1; i < len(t.pending.OtherObjects) && t.pending.Object != nil; i++ {
		o := r.object(t.pending.objectAt(i))
		switch t.pending.Mode {
		case Read:
			t.clock.join(&o.writeClock)
		case Release:
			o.releaseClock.join(&t.clock)
		case Write:
			t.clock.join(&o.writeClock)
			t.clock.join(&o.releaseClock)
			o.writeClock = t.clock
		}
	}
	t.clock[t.id]++
}

// Access declares a plain access of a variable; it is not a step. Two accesses of different threads
// that no happens-before relation orders, at least one of them a write, are a data race and fail the run.
func Access(key any, write bool) {
	t := currentThread()
	if t == nil || t.run.aborting {
		return
	}
	o := t.run.object(variableKey{key})
	line := ""
	if t.run.replaying {
		line = " (" + caller() + ")"
	}
	race := func(other int, otherAt string) {
		Fail("data race: %s%s and %s%s", t.run.threads[other].name, otherAt, t.name, line)
	}
	if o.lastWriter >= 0 && o.lastWriteTime > t.clock[o.lastWriter] && o.lastWriter != t.id {
		race(o.lastWriter, o.lastWriteLine)
	}
	if write {
		for i, at := range o.readTimes {
			if i != t.id && at > t.clock[i] {
				race(i, o.readLines[i])
			}
		}
		o.lastWriter, o.lastWriteTime, o.lastWriteLine = t.id, t.clock[t.id], line
		return
	}
	o.readTimes[t.id], o.readLines[t.id] = t.clock[t.id], line
}

// variableKey is the key of a plain variable. It differs from the key of a lock at the same address.
type variableKey struct{ key any }
