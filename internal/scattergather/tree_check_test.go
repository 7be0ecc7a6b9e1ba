package scattergather

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"wheatsaddle/gather"
)

func checkRules(t tests, duplicates string) *gather.Rules {
	t.Helper()
	return rulesOf(t, 8192, `,"complete":{"need":"best-effort"},"duplicates":`+duplicates)
}

// pour gives a text to a check in pieces and returns what went on.
func pour(c *partialCheck, text []byte, piece int) (passed []byte, err error) {
	for len(text) > 0 {
		n := min(piece, len(text))
		out, err := c.take(text[:n])
		if passed = append(passed, out...); err != nil {
			return passed, err
		}
		text = text[n:]
	}
	out, err := c.end()
	return append(passed, out...), err
}

// A sound partial result goes on byte for byte, under each kind of rules and in any cutting: copies of peers and of the process
// itself are the same bytes.
func TestASoundPartialGoesOnAsItIs(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := checkRules(t, rapid.SampledFrom([]string{`{"keep":"all"}`, `{"keep":"first"}`, `{"keep":"last"}`, `{"keep":"agree","parts":2}`,
			`{"keep":"highest","version":{"key":"v","type":"integer"}}`}).Draw(t, "duplicates"))
		parts := rapid.IntRange(1, 6).Draw(t, "parts")
		group := leaves(parts)
		of := gather.Part{ID: "g0"}
		for i := range group {
			of.Of = append(of.Of, group[i].ID)
			group[i].Shard = rapid.IntRange(0, 2).Draw(t, "rows of") // so that some have the same
		}
		text := partialOf(t, r, group, 3, rapid.IntRange(0, 30).Draw(t, "rows"))
		c, err := newPartialCheck(r, "q", of, 0, 8192, 1<<20)
		if err != nil {
			t.Fatal(err)
		}
		passed, err := pour(c, text, rapid.IntRange(1, 200).Draw(t, "piece"))
		if err != nil || !bytes.Equal(passed, text) {
			t.Fatalf("%v, %d bytes of %d", err, len(passed), len(text))
		}
	})
}

// What is no partial result of the group is found before the root's merge has it, and what goes on is the start of a sound one.
func TestWhatMustNotGoOn(t *testing.T) {
	r, other := checkRules(t, `{"keep":"all"}`), checkRules(t, `{"keep":"first"}`)
	group := leaves(3)
	of := gather.Part{ID: "g0", Of: []string{"p0", "p1", "p2"}}
	sound := partialOf(t, r, group, 3, 20)
	header := len(partialOf(t, r, group, 3, 0)) - 5
	lost := func() []byte { // p1 never comes, p0 and p2 do
		m, _ := gather.New(r, group)
		_ = m.Add("p0", 1, body(0, 3, 20))
		_ = m.End("p0", 1, nil)
		_ = m.Add("p2", 1, body(2, 3, 20))
		_ = m.End("p2", 1, nil)
		_ = m.Add("p1", 1, body(1, 3, 5))
		_ = m.Drop("p1", &Refusal{ms})
		out, _ := m.AppendPartial(nil, 0)
		return out
	}()
	swapped := bytes.Clone(sound)    // two rows change places
	frameAt := func(k int) (n int) { // the end of row k
		for n = 0; rowsOf(sound[:n]) < k; {
			n += 4 + int(binary.BigEndian.Uint32(sound[n:]))
		}
		return n
	}
	copy(swapped[frameAt(3):], sound[frameAt(4):frameAt(5)])
	copy(swapped[frameAt(4):], sound[frameAt(3):frameAt(4)])
	garbled := bytes.Clone(sound)
	garbled[frameAt(5)+4] = 'X'
	for name, c := range map[string]struct {
		text   []byte
		rows   int
		bytes  int64
		want   error
		passed int
	}{
		"an answer of a node":           {text: []byte("hello, this is a plain answer"), want: &PeerNonsense{}},
		"nothing":                       {text: nil, want: &PeerFailed{}},
		"under other rules":             {text: partialOf(t, other, group, 3, 20), want: &PeerNonsense{}},
		"of other parts":                {text: partialOf(t, r, leaves(4)[1:], 3, 20), want: &PeerNonsense{}},
		"of fewer parts":                {text: partialOf(t, r, leaves(2), 3, 20), want: &PeerNonsense{}},
		"unsorted":                      {text: swapped, want: &PeerNonsense{}, passed: frameAt(3) + len(sound[frameAt(4):frameAt(5)])},
		"garbled":                       {text: garbled, want: &PeerNonsense{}, passed: frameAt(5)},
		"no end":                        {text: sound[:len(sound)-5], want: &PeerFailed{}, passed: len(sound) - 5},
		"cut in a frame":                {text: sound[:frameAt(7)+6], want: &PeerNonsense{}, passed: frameAt(7)},
		"more after the end":            {text: append(bytes.Clone(sound), sound[frameAt(3):frameAt(4)]...), want: &PeerNonsense{}, passed: len(sound) - 5},
		"a frame too large":             {text: []byte{0, 1, 0, 0, 'R'}, want: &PeerNonsense{}},
		"too much":                      {text: sound, bytes: 500, want: &PeerNonsense{}, passed: 500},
		"lost parts":                    {text: lost, want: &PeerLost{}, passed: -1},
		"more rows than were asked for": {text: sound, rows: 7, want: &gather.Limited{}, passed: frameAt(7)},
	} {
		t.Run(name, func(t *testing.T) {
			if c.bytes == 0 {
				c.bytes = 1 << 20
			}
			for _, piece := range []int{1, 7, 1000, 1 << 20} {
				check, err := newPartialCheck(r, "q", of, c.rows, 4096, c.bytes)
				if err != nil {
					t.Fatal(err)
				}
				passed, err := pour(check, c.text, piece)
				if fmt.Sprintf("%T", err) != fmt.Sprintf("%T", c.want) {
					t.Fatalf("in pieces of %d: %T %v", piece, err, err)
				}
				if len(passed) > max(c.passed, header) && c.passed >= 0 || c.passed > 0 && len(passed) < min(c.passed, header) {
					t.Errorf("in pieces of %d: %d bytes went on, %d are sound", piece, len(passed), c.passed)
				}
				if !bytes.HasPrefix(c.text, passed) && !bytes.HasPrefix(sound, passed) { // or our own head
					t.Errorf("in pieces of %d: what went on is not what came", piece)
				}
			}
		})
	}
	if _, err := newPartialCheck(r, "q", gather.Part{}, 0, 1, 1); !errors.As(err, new(*gather.PartsBad)) {
		t.Error(err)
	}
}

// What a row costs the check, beside what it costs the root's merge.
func BenchmarkCheck(b *testing.B) {
	r, err := gather.ParseRules([]byte(`{"order":[{"key":"n","type":"integer"}],"records":{"max_bytes":64},"memory":{"bytes":1048576}}`))
	if err != nil {
		b.Fatal(err)
	}
	group := leaves(6)
	text := partialOf(b, r, group, 6, 10000)
	of := gather.Part{ID: "g0"}
	for _, p := range group {
		of.Of = append(of.Of, p.ID)
	}
	for b.Loop() {
		c, err := newPartialCheck(r, "q", of, 0, 1<<20, 1<<30)
		if err != nil {
			b.Fatal(err)
		}
		if _, err := pour(c, text, 32<<10); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/60000, "ns/row")
}
