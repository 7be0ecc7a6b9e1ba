package interleave

// clock is a vector clock.
type clock [threadsMost]uint32

func (c *clock) join(d *clock) {
	for i, v := range d {
		c[i] = max(c[i], v)
	}
}

// object is what the run knows of a thing that steps touch, or of a plain variable.
type object struct {
	no        int
	wrote     clock // of the steps that write: a later step is after them
	released  clock // of the steps that release: a later Write is after them
	lastWrite int   // thread of a plain access, -1: none
	at        uint32
	where     string
	reads     clock
	readAt    [threadsMost]string
}

func (r *run) object(key any) *object {
	o := r.objects[key]
	if o == nil {
		o = &object{no: len(r.objects), lastWrite: -1}
		r.objects[key] = o
	}
	return o
}

// order takes what the step of a thread orders.
func (r *run) order(t *thread) {
	for i := -1; i < len(t.op.More) && t.op.On != nil; i++ {
		o := r.object(t.op.on(i))
		switch t.op.Mode {
		case Read:
			t.clock.join(&o.wrote)
		case Release:
			o.released.join(&t.clock)
		case Write:
			t.clock.join(&o.wrote)
			t.clock.join(&o.released)
			o.wrote = t.clock
		}
	}
	t.clock[t.id]++
}

// Access is a plain access of a variable; it is no step. Two of which one writes and that nothing
// orders are a failure.
func Access(key any, write bool) {
	t := self()
	if t == nil || t.run.aborts {
		return
	}
	o := t.run.object(access{key})
	where := ""
	if t.run.replays {
		where = " (" + caller() + ")"
	}
	race := func(other int, otherAt string) {
		Fail("data race: %s%s and %s%s", t.run.threads[other].name, otherAt, t.name, where)
	}
	if o.lastWrite >= 0 && o.at > t.clock[o.lastWrite] && o.lastWrite != t.id {
		race(o.lastWrite, o.where)
	}
	if write {
		for i, at := range o.reads {
			if i != t.id && at > t.clock[i] {
				race(i, o.readAt[i])
			}
		}
		o.lastWrite, o.at, o.where = t.id, t.clock[t.id], where
		return
	}
	o.reads[t.id], o.readAt[t.id] = t.clock[t.id], where
}

// access is the key of a variable, apart from that of a lock at the same address.
type access struct{ key any }
