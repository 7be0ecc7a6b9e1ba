package gather

import (
	"bytes"
	"errors"
	"testing"

	"wheatsaddle/internal/operr"
)

// Any text gives either rules or an error with a code. New returns a merge under these rules or an error with a code.
func FuzzRules(f *testing.F) {
	f.Add([]byte(`{"order":[{"key":"a","type":"text","locale":"sv"}],"truncate":{"top":3}}`))
	f.Add([]byte(`{"order":[{"key":"a","type":"decimal"}],"duplicates":{"keep":"agree","parts":2}}`))
	f.Fuzz(func(t *testing.T, text []byte) {
		r, err := ParseRules(text)
		var c operr.Coded
		if (err == nil) == (r == nil) || err != nil && !errors.As(err, &c) {
			t.Fatalf("want either rules or an error with a code, got the error %v", err)
		}
		if err == nil {
			if _, err = New(r, []Part{{ID: "p"}}); err != nil && !errors.As(err, &c) {
				t.Fatal(err)
			}
		}
	})
}

// A token is accepted only if the merge itself could have made it: unchanged, and with the merge's key.
func FuzzTokens(f *testing.F) {
	r := mustParseRules(f, `{"order":[{"key":"a","type":"integer"}],"truncate":{"rows":1}}`)
	m := newMerge(f, r, "p")
	_ = m.Add("p", 0, jsonLines(1, 2))
	drain(m)
	valid := m.Result().Token
	f.Add(valid)
	f.Add(valid[:len(valid)-3])
	f.Fuzz(func(t *testing.T, token string) {
		m, err := New(r, []Part{{ID: "p"}}, TokenKey([]byte("secret")), From(token))
		if err == nil && token != "" {
			t.Fatalf("%q was accepted without the key: %v", token, m.resumeAfter)
		}
		m, err = New(r, []Part{{ID: "p"}}, From(token))
		if err == nil && token != "" && m.token() != token {
			t.Fatalf("%q is accepted, but encoded as %q", token, m.token())
		}
	})
}

// Any bytes, in pieces of any size, as a part or as a partial result, cause no panic. The rows are in order and the error has a code.
func FuzzRecords(f *testing.F) {
	var all []*Rules
	for _, text := range []string{
		`{"order":[{"key":"a","type":"integer"}],"complete":{"need":"best-effort"}}`,
		`{"order":[{"key":"a","type":"decimal"}],"duplicates":{"keep":"agree","parts":1}}`,
		`{"order":[{"key":"0","type":"bytes"}],"records":{"form":"length-prefixed"},"complete":{"need":"best-effort"}}`,
	} {
		all = append(all, mustParseRules(f, text))
	}
	f.Add(uint8(0), uint8(3), jsonLines(1, 2, 2))
	f.Add(uint8(5), uint8(9), append(jsonLines(2, 1), "{\r\n\n"...))
	for i, r := range all[:2] {
		sub := newMerge(f, r, "p q")
		_ = sub.Add("p", 0, jsonLines(1, 2))
		_, _ = sub.End("p", 0, nil), sub.Drop("q", nil)
		text, _ := sub.AppendPartial(nil, 0)
		f.Add(uint8(i+3), uint8(7), text)
	}
	f.Fuzz(func(t *testing.T, variant, pieceSize uint8, data []byte) {
		r := all[int(variant)%3]
		part := Part{ID: "t"}
		if variant >= 3 {
			part.Of = []string{"p", "q"}
		}
		m, err := New(r, []Part{part, {ID: "z"}})
		if err != nil {
			t.Fatal(err)
		}
		_ = m.End("z", 0, nil)
		var last []byte
		next := func() {
			for row, ok := m.Next(); ok; row, ok = m.Next() {
				key, _, why := m.decoder.key(nil, row)
				if why != "" || bytes.Compare(last, key) > 0 {
					t.Fatalf("row %q has an unreadable key or sorts before the previous key %q: %s", row, last, why)
				}
				last = key
			}
		}
		for n := int(pieceSize) + 1; len(data) > 0; data = data[min(n, len(data)):] {
			if err := m.Add("t", 0, data[:min(n, len(data))]); err != nil {
				t.Fatal(err)
			}
			next()
		}
		_ = m.End("t", 0, nil)
		next()
		res := m.Result()
		var c operr.Coded
		if !res.Done || res.Err != nil && !errors.As(res.Err, &c) {
			t.Fatalf("the merge did not finish, or its error has no code: %+v", res)
		}
	})
}
