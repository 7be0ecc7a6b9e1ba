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

// checkRules returns best-effort rules with 8 KiB of memory and the given rule of duplicates.
func checkRules(t testingT, duplicates string) *gather.Rules {
	t.Helper()
	return rulesOf(t, 8192, `,"complete":{"need":"best-effort"},"duplicates":`+duplicates)
}

// validate passes a text to a validator in pieces and returns the bytes that it passed on.
func validate(c *partialValidator, text []byte, piece int) (passed []byte, err error) {
	for len(text) > 0 {
		n := min(piece, len(text))
		out, err := c.add(text[:n])
		if passed = append(passed, out...); err != nil {
			return passed, err
		}
		text = text[n:]
	}
	out, err := c.finish()
	return append(passed, out...), err
}

// A valid partial result is passed on unchanged, under all kinds of rules and in pieces of any size. Otherwise the copies of a group
// from peers and from this process would diverge.
func TestValidPartialResultPassesUnchanged(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := checkRules(t, rapid.SampledFrom([]string{`{"keep":"all"}`, `{"keep":"first"}`, `{"keep":"last"}`, `{"keep":"agree","parts":2}`,
			`{"keep":"highest","version":{"key":"v","type":"integer"}}`}).Draw(t, "duplicates"))
		parts := rapid.IntRange(1, 6).Draw(t, "parts")
		group := newParts(parts)
		groupPart := gather.Part{ID: "g0"}
		for i := range group {
			groupPart.Of = append(groupPart.Of, group[i].ID)
			group[i].Shard = rapid.IntRange(0, 2).Draw(t, "rows of") // so that some parts have the same rows
		}
		text := partialOf(t, r, group, 3, rapid.IntRange(0, 30).Draw(t, "rows"))
		c, err := newPartialValidator(r, "q", groupPart, 0, 8192, 1<<20)
		if err != nil {
			t.Fatal(err)
		}
		passed, err := validate(c, text, rapid.IntRange(1, 200).Draw(t, "piece"))
		if err != nil || !bytes.Equal(passed, text) {
			t.Fatalf("error %v; %d bytes were passed on, of %d", err, len(passed), len(text))
		}
	})
}

// An invalid partial result is found before the coordinator's merge receives it, and only a prefix of a valid result is passed on.
func TestInvalidPartialResultStopsAtItsValidPrefix(t *testing.T) {
	r, other := checkRules(t, `{"keep":"all"}`), checkRules(t, `{"keep":"first"}`)
	group := newParts(3)
	groupPart := gather.Part{ID: "g0", Of: []string{"p0", "p1", "p2"}}
	valid := partialOf(t, r, group, 3, 20)
	header := len(partialOf(t, r, group, 3, 0)) - 5 // without the end, a frame of 5 bytes
	lost := func() []byte {                         // p1 is truncated and dropped
		m, _ := gather.New(r, group)
		_ = m.Add("p0", 1, partRows(0, 3, 20))
		_ = m.End("p0", 1, nil)
		_ = m.Add("p2", 1, partRows(2, 3, 20))
		_ = m.End("p2", 1, nil)
		_ = m.Add("p1", 1, partRows(1, 3, 5))
		_ = m.Drop("p1", &Rejection{ms})
		out, _ := m.AppendPartial(nil, 0)
		return out
	}()
	swapped := bytes.Clone(valid)     // two rows are exchanged
	endOfRow := func(k int) (n int) { // returns the offset after row k
		for n = 0; countRows(valid[:n]) < k; {
			n += 4 + int(binary.BigEndian.Uint32(valid[n:]))
		}
		return n
	}
	copy(swapped[endOfRow(3):], valid[endOfRow(4):endOfRow(5)])
	copy(swapped[endOfRow(4):], valid[endOfRow(3):endOfRow(4)])
	corrupt := bytes.Clone(valid)
	corrupt[endOfRow(5)+4] = 'X'
	for name, c := range map[string]struct {
		text   []byte
		rows   int   // limit of rows, 0 for none
		bytes  int64 // limit of bytes, 0 for the default
		want   error // error of this type
		passed int   // bytes of the valid prefix; -1: not checked
	}{
		"a node's answer":          {text: []byte("hello, this is a plain answer"), want: &PeerInvalidResult{}},
		"no data":                  {text: nil, want: &PeerFailed{}},
		"under other rules":        {text: partialOf(t, other, group, 3, 20), want: &PeerInvalidResult{}},
		"of other parts":           {text: partialOf(t, r, newParts(4)[1:], 3, 20), want: &PeerInvalidResult{}},
		"of fewer parts":           {text: partialOf(t, r, newParts(2), 3, 20), want: &PeerInvalidResult{}},
		"unsorted":                 {text: swapped, want: &PeerInvalidResult{}, passed: endOfRow(3) + len(valid[endOfRow(4):endOfRow(5)])},
		"corrupt frame":            {text: corrupt, want: &PeerInvalidResult{}, passed: endOfRow(5)},
		"no end":                   {text: valid[:len(valid)-5], want: &PeerFailed{}, passed: len(valid) - 5},
		"truncated within a frame": {text: valid[:endOfRow(7)+6], want: &PeerInvalidResult{}, passed: endOfRow(7)},
		"frame after the end":      {text: append(bytes.Clone(valid), valid[endOfRow(3):endOfRow(4)]...), want: &PeerInvalidResult{}, passed: len(valid) - 5},
		"frame over the limit":     {text: []byte{0, 1, 0, 0, 'R'}, want: &PeerInvalidResult{}},
		"result over the limit":    {text: valid, bytes: 500, want: &PeerInvalidResult{}, passed: 500},
		"lost parts":               {text: lost, want: &PeerLostParts{}, passed: -1},
		"more rows than requested": {text: valid, rows: 7, want: &gather.Limited{}, passed: endOfRow(7)},
	} {
		t.Run(name, func(t *testing.T) {
			if c.bytes == 0 {
				c.bytes = 1 << 20
			}
			for _, piece := range []int{1, 7, 1000, 1 << 20} {
				validator, err := newPartialValidator(r, "q", groupPart, c.rows, 4096, c.bytes)
				if err != nil {
					t.Fatal(err)
				}
				passed, err := validate(validator, c.text, piece)
				if fmt.Sprintf("%T", err) != fmt.Sprintf("%T", c.want) {
					t.Fatalf("in pieces of %d: unexpected error %T %v", piece, err, err)
				}
				if len(passed) > max(c.passed, header) && c.passed >= 0 || c.passed > 0 && len(passed) < min(c.passed, header) {
					t.Errorf("in pieces of %d: %d bytes were passed on, %d are valid", piece, len(passed), c.passed)
				}
				if !bytes.HasPrefix(c.text, passed) && !bytes.HasPrefix(valid, passed) { // the header is the validator's own
					t.Errorf("in pieces of %d: the bytes passed on differ from the received ones", piece)
				}
			}
		})
	}
	if _, err := newPartialValidator(r, "q", gather.Part{}, 0, 1, 1); !errors.As(err, new(*gather.PartsBad)) {
		t.Error(err)
	}
}

// Measures the validation of a row, which comes in addition to the coordinator's merge.
func BenchmarkPartialValidator(b *testing.B) {
	r, err := gather.ParseRules([]byte(`{"order":[{"key":"n","type":"integer"}],"records":{"max_bytes":64},"memory":{"bytes":1048576}}`))
	if err != nil {
		b.Fatal(err)
	}
	group := newParts(6)
	text := partialOf(b, r, group, 6, 10000)
	groupPart := gather.Part{ID: "g0"}
	for _, p := range group {
		groupPart.Of = append(groupPart.Of, p.ID)
	}
	for b.Loop() {
		c, err := newPartialValidator(r, "q", groupPart, 0, 1<<20, 1<<30)
		if err != nil {
			b.Fatal(err)
		}
		if _, err := validate(c, text, 32<<10); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/60000, "ns/row")
}
