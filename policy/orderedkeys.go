package policy

// orderedKey is the line of ordered requests on one key.
type orderedKey struct {
	lastRequestAt float64 // last request
	waiting       []*request
	backoffUntil  float64
}

// joinOrderedKey puts an ordered request at the end of its key's line.
func (s *Scheduler) joinOrderedKey(r *request) {
	if !r.class.Ordered || r.key == "" {
		return
	}
	t := s.orderedKeys[r.key]
	if t == nil {
		t = &orderedKey{}
		s.orderedKeys[r.key] = t
	}
	t.waiting, t.lastRequestAt = append(t.waiting, r), s.now
}
