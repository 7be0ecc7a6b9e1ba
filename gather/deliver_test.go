package gather

import (
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"strings"
)

// partSource is the data of one part that a test sends.
type partSource struct {
	part     string
	copies   []copySource
	complete bool
}

type copySource struct {
	data  string
	end   error
	ended bool
}

// deliver adds random pieces of the sources to a merge in random order, and calls takeRows in between and at the end. It returns an
// error if the merge exceeds its memory, makes no progress or reports a copy as diverged.
func deliver(m *Merge, rng *rand.Rand, sources []partSource, takeRows func()) error {
	var addErr error
	for iteration := 0; !m.done && len(sources) > 0; iteration++ {
		if iteration > 20000 {
			return errors.New("the merge makes no progress")
		}
		i := rng.IntN(len(sources))
		s := &sources[i]
		c := rng.IntN(len(s.copies))
		x := &s.copies[c]
		n := min(rng.IntN(700), len(x.data))
		if err := m.Add(s.part, c, []byte(x.data[:n])); err == nil {
			x.data = x.data[n:]
		} else if !errors.As(err, new(*Full)) {
			addErr = err
			break
		}
		rows, bytes := m.Held()
		if m.streams[m.byID[s.part]].room() < 0 {
			return errors.New("a part buffers more than its share")
		}
		if rows > m.rules.Memory.Rows || bytes > m.rules.Memory.Bytes {
			return fmt.Errorf("the merge buffers %d rows, %d bytes", rows, bytes)
		}
		if x.data == "" && !x.ended {
			if x.ended = true; m.End(s.part, c, x.end) != nil {
				return errors.New("a copy with the same data was reported as diverged")
			}
			if !slices.ContainsFunc(s.copies, func(c copySource) bool { return !c.ended }) {
				if !s.complete {
					_ = m.Drop(s.part, fmt.Errorf("reason %d", rng.IntN(10)))
				}
				sources = slices.Delete(sources, i, i+1)
			}
		}
		if rng.IntN(3) > 0 {
			takeRows()
		}
	}
	takeRows()
	return addErr
}

// sources returns the data of the parts from one index up to another.
func (read *randomRead) sources(from, to int) (all []partSource) {
	for p := from; p < to; p++ {
		f := read.parts[p]
		s := partSource{part: fmt.Sprintf("p%d", p), complete: f.complete}
		for i, c := range f.copyPercents {
			x := copySource{data: f.receivedText(), end: io.ErrUnexpectedEOF}
			if i > 0 {
				x.data = x.data[:len(x.data)*c/100]
			} else if f.complete {
				x.end = nil
			}
			if x.end != nil && f.limited {
				x.end = &Limited{}
			}
			s.copies = append(s.copies, x)
		}
		all = append(all, s)
	}
	return all
}

// partialResult merges sources into a partial result, without changing them.
func partialResult(r *Rules, parts []Part, sources []partSource, rng *rand.Rand, fault fault) (string, error) {
	sub, err := New(r, parts)
	if err != nil {
		return "", err
	}
	sub.fault = fault
	var unsent []partSource
	for _, s := range sources {
		s.copies = slices.Clone(s.copies)
		unsent = append(unsent, s)
	}
	var text []byte
	done := false
	takeRows := func() {
		for last := -1; len(text) != last; {
			last = len(text)
			text, done = sub.AppendPartial(text, rng.IntN(4))
		}
	}
	if err := deliver(sub, rng, unsent, takeRows); err != nil {
		return "", err
	}
	if text, done = sub.AppendPartial(text, 0); !done {
		return "", fmt.Errorf("partial result without end: %w", sub.err)
	}
	return string(text), nil
}

// merge merges the read's parts, either directly or over a random tree of partial results.
func (read *randomRead) merge(tree bool, fault fault) (got mergeOutcome, err error) {
	memory := 512 * (len(read.parts) + 1)
	if tree || read.keep == "agree" {
		memory = 1 << 20
	}
	r, err := ParseRules([]byte(read.rulesText(memory)))
	if err != nil {
		return got, err
	}
	rng := rand.New(rand.NewPCG(read.seed, 1))
	sources := read.sources(0, len(read.parts))
	parts := make([]Part, len(sources))
	for i, s := range sources {
		parts[i] = Part{ID: s.part}
	}
	for tree && len(parts) > 1 { // merge some parts into a partial result, until one part is left or a random draw ends it
		n := min(read.groupSize, len(parts)-1) + rng.IntN(2)
		if n < 1 || n > len(parts) {
			n = 1
		}
		text, err := partialResult(r, parts[:n], sources[:n], rng, fault)
		if err != nil {
			return got, err
		}
		takeover, err := partialResult(r, parts[:n], sources[:n], rng, fault) // the copy of a peer that took over
		if err != nil {
			return got, err
		}
		var of []string
		for _, p := range parts[:n] {
			if of = append(of, p.Of...); p.Of == nil {
				of = append(of, p.ID)
			}
		}
		parts = append(parts[n:], Part{ID: "t" + strings.Join(of, "+"), Of: of})
		sources = append(sources[n:], partSource{parts[len(parts)-1].ID, []copySource{{data: text}, {data: takeover[:rng.IntN(len(takeover)+1)], end: io.EOF}}, true})
		if rng.IntN(3) == 0 {
			break
		}
	}
	rng.Shuffle(len(parts), func(i, j int) { parts[i], parts[j] = parts[j], parts[i] })
	m, err := New(r, parts)
	if err != nil {
		return got, err
	}
	m.fault = fault
	err = deliver(m, rng, sources, func() {
		for row, ok := m.Next(); ok; row, ok = m.Next() {
			got.rows = append(got.rows, string(row))
		}
	})
	if err != nil {
		return got, err
	}
	res := m.Result()
	if !res.Done {
		return got, errors.New("the merge is not done")
	}
	got.complete, got.truncatedBy, got.conflictCount, got.conflicts = res.Whole, res.Truncated, res.Conflicts, res.Named
	got.enoughParts = res.Err == nil
	for _, p := range res.Parts {
		s := p.ID + " "
		for _, f := range []struct {
			is   bool
			text string
		}{{p.Missing, "missing"}, {p.Cut, "cut"}, {p.Conflict, "conflict"}} {
			if f.is {
				s += f.text
			}
		}
		got.parts = append(got.parts, s)
	}
	return got, nil
}

// mergeByDemand merges parts that send only what Want requests: first the top rows, and more if these were not enough. It returns
// the number of copies that were requested as attempts.
func (read *randomRead) mergeByDemand(r *Rules, opts ...Option) (rows []string, attempts int, token string, err error) {
	type server struct {
		copy, at int
		text     string
		more     bool // the part has more rows than the copy sends
	}
	parts, servers := []Part{}, map[string]*server{}
	for p := range read.parts {
		id := fmt.Sprintf("p%d", p)
		parts, servers[id] = append(parts, Part{ID: id}), &server{}
	}
	m, err := New(r, parts, opts...)
	for iteration := 0; err == nil && !m.done; iteration++ {
		for row, ok := m.Next(); ok; row, ok = m.Next() {
			rows = append(rows, string(row))
		}
		for _, d := range slices.Clone(m.Want()) {
			s := servers[d.Part]
			if d.Stop {
				continue
			}
			if d.Copy {
				all := strings.SplitAfter(read.parts[m.byID[d.Part]].text(), "\n")
				n := len(all) - 1
				if s.more = d.Rows > 0 && d.Rows < n; s.more {
					n = d.Rows
				}
				s.copy, s.at, s.text = s.copy+1, 0, strings.Join(all[:n], "")
				attempts++
			}
			n := min(d.Bytes, len(s.text)-s.at, 300)
			if err := m.Add(d.Part, s.copy, []byte(s.text[s.at:s.at+n])); err != nil {
				return nil, 0, "", err
			}
			if s.at += n; s.at == len(s.text) && s.more {
				_ = m.End(d.Part, s.copy, &Limited{})
			} else if s.at == len(s.text) {
				_ = m.End(d.Part, s.copy, nil)
			}
		}
		if iteration > 2000 {
			return nil, 0, "", errors.New("the merge makes no progress")
		}
	}
	if err == nil {
		token = m.Result().Token
	}
	return rows, attempts, token, err
}
