package gather

import (
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"testing"

	"wheatsaddle/internal/operr"
)

func newMerge(t testing.TB, r *Rules, parts string, opts ...Option) *Merge {
	t.Helper()
	var all []Part
	for _, id := range strings.Fields(parts) {
		all = append(all, Part{ID: id})
	}
	m, err := New(r, all, opts...)
	if err != nil {
		t.Fatal(err)
	}
	return m
}

// drain returns the rows that Next returns now.
func drain(m *Merge) string {
	var out []string
	for row, ok := m.Next(); ok; row, ok = m.Next() {
		out = append(out, string(row))
	}
	return strings.Join(out, " ")
}

// jsonLines returns one record per value, with the value under the key a.
func jsonLines(values ...any) []byte {
	var b strings.Builder
	for _, v := range values {
		text, _ := json.Marshal(v)
		fmt.Fprintf(&b, `{"a":%s}`+"\n", text)
	}
	return []byte(b.String())
}

// partStates lists the parts that the result names, with the codes of their errors.
func partStates(r Result) string {
	var out []string
	for _, p := range r.Parts {
		var c operr.Coded
		if errors.As(p.Why, &c) {
			out = append(out, p.ID+" "+c.Code())
		} else {
			out = append(out, p.ID)
		}
	}
	return strings.Join(out, ",")
}

const rulesByA = `{"order":[{"key":"a","type":"integer"}]%s}`

// Each case has the added data, the expected rows, the parts that the result names, and whether it is complete. Some also have a fault
// that must change this outcome when it is injected into the merge (faultNone: there is none).
func TestMergeCases(t *testing.T) {
	type script struct {
		name     string
		rules    string
		run      func(m *Merge)
		rows     string
		parts    string
		complete bool
		injected fault
	}
	for _, s := range []script{
		{"a second copy continues where the first was truncated, within a record", "", func(m *Merge) {
			_ = m.Add("p", 1, jsonLines(1, 2)[:12])
			_ = m.End("p", 1, errors.New("reset"))
			_ = m.Add("p", 2, jsonLines(1, 2, 3))
			_ = m.End("p", 2, nil)
			_ = m.End("q", 1, nil)
		}, `{"a":1} {"a":2} {"a":3}`, "", true, faultCountRepeats},
		{"a diverging copy is ignored and its part is named", "", func(m *Merge) {
			_ = m.Add("p", 1, jsonLines(1, 2))
			_ = m.Add("p", 2, jsonLines(1, 5, 6))
			_ = m.End("p", 2, nil)
			_ = m.Add("p", 1, jsonLines(3))
			_ = m.End("p", 1, nil)
			_ = m.End("q", 1, nil)
		}, `{"a":1} {"a":2} {"a":3}`, "p gather-diverged", false, faultIgnoreDivergence},
		{"a copy that completes before another's length diverges", "", func(m *Merge) {
			_ = m.Add("p", 1, jsonLines(1, 2))
			_ = m.Add("p", 2, jsonLines(1))
			_ = m.End("p", 2, nil)
			_ = m.End("p", 1, nil)
			_ = m.End("q", 1, nil)
		}, `{"a":1} {"a":2}`, "p gather-diverged", false, faultNone},
		{"a copy that is longer than a complete one diverges", "", func(m *Merge) {
			_ = m.Add("p", 1, jsonLines(1))
			_ = m.End("p", 1, nil)
			_ = m.Add("p", 2, jsonLines(1, 2))
			_ = m.End("q", 1, nil)
		}, `{"a":1}`, "p gather-diverged", false, faultNone},
		{"an ended copy no longer counts against the limit of copies", `,"copies":1`, func(m *Merge) {
			for copy := 1; copy < 4; copy++ {
				_ = m.Add("p", copy, jsonLines(1, 2, 3)[:8*copy])
				if err := m.Add("p", copy+1, nil); !errors.As(err, new(*CopiesOver)) {
					t.Errorf("error for a copy over the limit: %v, want CopiesOver", err)
				}
				_ = m.End("p", copy, map[bool]error{false: errors.New("reset")}[copy == 3])
				if copy > 1 {
					_ = m.Add("p", 1, jsonLines(9)) // the first copy has ended, so its data is not accepted
				}
			}
			_ = m.End("q", 1, nil)
		}, `{"a":1} {"a":2} {"a":3}`, "", true, faultCountRepeats},
		{"an unsorted part is truncated before the row and in conflict", `,"complete":{"need":"best-effort"}`, func(m *Merge) {
			_ = m.Add("p", 1, jsonLines(1, 5, 3))
			_ = m.End("p", 1, nil)
			_ = m.Add("q", 1, jsonLines(4))
			_ = m.End("q", 1, nil)
		}, `{"a":1} {"a":4} {"a":5}`, "p gather-unsorted", false, faultAcceptUnsorted},
		{"a key of another type truncates the part", `,"complete":{"need":"best-effort"}`, func(m *Merge) {
			_ = m.Add("p", 1, jsonLines(1, "x", 2))
			_ = m.End("p", 1, nil)
			_ = m.Add("q", 1, jsonLines(4))
			_ = m.End("q", 1, nil)
		}, `{"a":1} {"a":4}`, "p gather-record-bad", false, faultNone},
		{"a version of another type truncates the part", `,"complete":{"need":"best-effort"},"duplicates":{"keep":"highest","version":{"key":"v","type":"integer"}}`, func(m *Merge) {
			_ = m.Add("p", 1, []byte(`{"a":1,"v":1}`+"\n"+`{"a":2,"v":"x"}`+"\n"))
			_ = m.Add("q", 1, append([]byte(`{"a":1,"v":2}`+"\n"), jsonLines(3)...))
			_ = m.End("q", 1, nil)
		}, `{"a":1,"v":2} {"a":3}`, "p gather-record-bad", false, faultNone},
		{"a record over the limit truncates the part before the record's end arrives", `,"complete":{"need":"best-effort"},"records":{"max_bytes":16}`, func(m *Merge) {
			_ = m.Add("p", 1, append(jsonLines(1), `{"a":2222222222222`...))
			_ = m.End("q", 1, nil)
		}, `{"a":1}`, "p gather-record-bad", false, faultNone},
		{"rows are returned before a part has ended, as far as it was read", "", func(m *Merge) {
			_ = m.Add("p", 1, jsonLines(1, 2, 9))
			_ = m.Add("q", 1, jsonLines(3))
		}, `{"a":1} {"a":2} {"a":3}`, "", false, faultNone},
		{"a first row over truncate.bytes is an error", `,"truncate":{"bytes":5}`, func(m *Merge) {
			_ = m.Add("p", 1, jsonLines(1, 2))
			_ = m.End("q", 1, nil)
		}, "", "", false, faultNone},
		{"truncate.bytes ends the merge before the row that does not fit", `,"truncate":{"bytes":15}`, func(m *Merge) {
			_ = m.Add("p", 1, jsonLines(1, 2, 3))
			_ = m.End("q", 1, nil)
		}, `{"a":1} {"a":2}`, "", true, faultNone},
	} {
		runCase := func(f fault) (string, string, bool) {
			m := newMerge(t, mustParseRules(t, fmt.Sprintf(rulesByA, s.rules)), "p q")
			m.fault = f
			s.run(m)
			rows := drain(m)
			return rows, partStates(m.Result()), m.Result().Whole
		}
		rows, parts, complete := runCase(faultNone)
		if rows != s.rows || parts != s.parts || complete != s.complete {
			t.Errorf("%s: unexpected outcome: rows %s, parts %q, complete %v", s.name, rows, parts, complete)
		}
		if r, p, w := runCase(s.injected); s.injected != faultNone && r == rows && p == parts && w == complete {
			t.Errorf("%s: injected fault %d does not change the outcome", s.name, s.injected)
		}
	}
}

// The rows of each case are in the order of its key. A part that sends them in this order is not unsorted, and no two neighbours have
// equal sort keys, except those that differ only in case under a locale that ignores case.
func TestSortKeysFollowTheRules(t *testing.T) {
	for _, c := range []struct{ key, rows string }{
		{`"type":"decimal"`, `-1e30 -20.5 -20 -3 -0.2 -0.10 -0.0999 0 0.00001 0.5 "0.50001" 1.0 9 10 10.01 1e2 1e30`},
		{`"type":"decimal","direction":"descending","absent":"first"`, `null 100 20 2.5 2 0.1 0 -0.1 -2 -2.5`},
		{`"type":"integer"`, `-9223372036854775808 -1 0 1 255 256 9223372036854775807 null`},
		{`"type":"time"`, `"1969-12-31T23:59:59.5Z" "1970-01-01T00:00:00Z" "2026-12-02T01:00:00+01:00" "2026-12-02T00:00:00.000000001Z"`},
		{`"type":"bytes"`, `"" "\u0000" "\u0000a" "\u0001" "a" "a\u0000" "aa" "b" "ä"`},
		{`"type":"bytes","direction":"descending"`, `"b" "aa" "a\u0000" "a" ""`},
		{`"type":"text","locale":"sv"`, `"a" "b" "z" "å" "ä" "ö"`},
		{`"type":"text","locale":"de"`, `"a" "ä" "b" "z"`},
		{`"type":"text","locale":"de-u-ks-level2","equal":"locale"`, `"a" "A" "b" "B"`},
	} {
		m := newMerge(t, mustParseRules(t, `{"order":[{"key":"a",`+c.key+`}]}`), "p")
		var text strings.Builder
		for _, v := range strings.Fields(c.rows) {
			fmt.Fprintf(&text, `{"a":%s}`+"\n", v)
		}
		want := strings.TrimSpace(strings.ReplaceAll(text.String(), "\n", " "))
		_ = m.Add("p", 0, []byte(text.String()))
		_ = m.End("p", 0, nil)
		if got := drain(m); got != want || !m.Result().Whole {
			t.Errorf("key %s: the rows were not returned as they were sent: %s, lost parts %v", c.key, got, m.Result().Parts)
		}
		rows := strings.Fields(want)
		d := newDecoder(m.rules)
		for i := 1; i < len(rows); i++ {
			a, _, _ := d.key(nil, []byte(rows[i-1]))
			b, _, _ := d.key(nil, []byte(rows[i]))
			if same := strings.EqualFold(rows[i-1], rows[i]) && strings.Contains(c.key, "level2"); (string(a) == string(b)) != same {
				t.Errorf("key %s: the sort keys of %s and %s: equal is %v", c.key, rows[i-1], rows[i], !same)
			}
		}
	}
}

// Length-prefixed records may contain any bytes and absent fields. A part that is truncated after the end of the page does not
// change the result.
func TestLengthPrefixedRecords(t *testing.T) {
	r := mustParseRules(t, `{"records":{"form":"length-prefixed"},"order":[{"key":"1","type":"time","direction":"descending"}],"truncate":{"offset":1,"top":2}}`)
	var text []byte
	for _, when := range []string{"2026-12-02T00:00:00Z", "2026-12-01T00:00:00Z", "2026-11-01T00:00:00Z", ""} {
		row := AppendField(nil, []byte("\x00binary\n"))
		if when == "" {
			row = AppendField(row, nil)
		} else {
			row = AppendField(row, []byte(when))
		}
		text = r.AppendRow(text, row)
	}
	m := newMerge(t, r, "p")
	_ = m.Add("p", 0, text)
	if out := drain(m); strings.Count(out, "binary") != 2 || !strings.Contains(out, "2026-11") || m.Result().Truncated != "top" {
		t.Errorf("rows %q, want two, one of 2026-11, truncated by top: %+v", out, m.Result())
	}
	m = newMerge(t, r, "p")
	_ = m.Add("p", 0, text[:len(text)-1])
	_ = m.End("p", 0, nil)
	if drain(m); m.Result().Truncated != "top" { // the part's text is truncated after the page
		t.Errorf("result of a part that is truncated after the page: %+v, want truncated by top", m.Result())
	}
}

// A truncated partial result loses its parts where it ends. A partial result made under other rules or of other parts is not read, and
// all its parts are named.
func TestInvalidPartialResults(t *testing.T) {
	bestEffort, other := mustParseRules(t, fmt.Sprintf(rulesByA, `,"complete":{"need":"best-effort"}`)), mustParseRules(t, fmt.Sprintf(rulesByA, ""))
	encode := func(r *Rules, parts string) []byte {
		sub := newMerge(t, r, parts)
		for i, id := range strings.Fields(parts) {
			_ = sub.Add(id, 0, jsonLines(1+i, 3+i))
			_ = sub.End(id, 0, nil)
		}
		text, done := sub.AppendPartial(nil, 0)
		if !done {
			t.Fatal("the partial result has no end")
		}
		return text
	}
	valid := encode(bestEffort, "p q")
	for _, c := range []struct {
		name  string
		text  []byte
		end   error
		rows  string
		parts string
	}{
		{"a complete partial result", valid, nil, `{"a":1} {"a":2} {"a":2} {"a":3} {"a":4}`, ""},
		{"truncated within its last row, and dropped", valid[:len(valid)-8], errors.New("reset"), `{"a":1} {"a":2} {"a":2} {"a":3}`, "p,q"},
		{"truncated, but reported as complete", valid[:len(valid)-5], nil, `{"a":1} {"a":2} {"a":2} {"a":3} {"a":4}`, "p gather-record-bad,q gather-record-bad"},
		{"other rules", encode(other, "p q"), nil, `{"a":2}`, "p gather-record-bad,q gather-record-bad"},
		{"other parts", encode(bestEffort, "p r"), nil, `{"a":2}`, "p gather-record-bad,q gather-record-bad"},
		{"a plain part", jsonLines(1), nil, `{"a":2}`, "p gather-record-bad,q gather-record-bad"},
	} {
		m, err := New(bestEffort, []Part{{ID: "t", Of: []string{"q", "p"}}, {ID: "z"}})
		if err != nil {
			t.Fatal(err)
		}
		_ = m.Add("t", 0, c.text)
		_ = m.End("t", 0, c.end)
		_ = m.Drop("t", nil)
		_ = m.Add("z", 0, jsonLines(2))
		_ = m.End("z", 0, nil)
		if rows, parts := drain(m), partStates(m.Result()); rows != c.rows || parts != c.parts {
			t.Errorf("%s: unexpected outcome: rows %s, parts %q", c.name, rows, parts)
		}
	}
}

// Duplicates that exceed the memory end the merge before their key, with a typed error after the earlier rows. The test also checks
// that a merge with the same memory rejects no parts, a part given twice, too many parts, and data of a part that it does not have.
func TestDuplicateGroupOverMemoryEndsTheMerge(t *testing.T) {
	r := mustParseRules(t, fmt.Sprintf(rulesByA, `,"memory":{"rows":5},"duplicates":{"keep":"agree","parts":1}`))
	runMerge := func(f fault) (*Merge, string, Result) {
		m := newMerge(t, r, "p q")
		m.fault = f
		_ = m.Add("p", 0, jsonLines(1))
		for i := range 4 {
			_ = m.Add("p", 0, fmt.Appendf(nil, `{"a":2,"x":%d}`+"\n", i))
		}
		_, _ = m.End("p", 0, nil), m.End("q", 0, nil)
		rows := drain(m)
		result := m.Result()
		return m, rows, result
	}
	m, rows, res := runMerge(faultNone)
	if _, _, withFault := runMerge(faultDropGroupRow); withFault.Err != nil {
		t.Error("no difference with the injected fault that leaves a row out of a group without an error")
	}
	var groupOver *GroupOver
	if rows != `{"a":1}` || !errors.As(res.Err, &groupOver) || groupOver.Key != "a=2" || groupOver.Rows != 4 || res.Whole {
		t.Errorf("rows %s, want the row before the group and the error GroupOver for a=2 with 4 rows: %+v", rows, res)
	}
	for parts, why := range map[string]string{"": "", "p p": "p", "p q r s": "p"} {
		var all []Part
		for _, id := range strings.Fields(parts) {
			all = append(all, Part{ID: id})
		}
		var bad *PartsBad
		if _, err := New(r, all); !errors.As(err, &bad) || bad.Part != why {
			t.Errorf("error for the parts '%s': %v, want PartsBad", parts, err)
		}
	}
	if err := m.Add("z", 0, nil); !errors.As(err, new(*PartsBad)) {
		t.Error(err)
	}
}

// A part that is unsorted in a partial result is truncated and in conflict at the root as well.
func TestUnsortedPartInPartialResult(t *testing.T) {
	r := mustParseRules(t, fmt.Sprintf(rulesByA, `,"complete":{"need":"best-effort"}`))
	sub := newMerge(t, r, "p q")
	_, _ = sub.Add("p", 0, jsonLines(1, 0)), sub.End("q", 0, nil)
	text, _ := sub.AppendPartial(nil, 0)
	m, err := New(r, []Part{{ID: "t", Of: []string{"p", "q"}}})
	if err != nil {
		t.Fatal(err)
	}
	_, _ = m.Add("t", 0, text), m.End("t", 0, nil)
	rows, parts := drain(m), m.Result().Parts
	if rows != `{"a":1}` || len(parts) != 1 || parts[0].ID != "p" || !parts[0].Cut || !parts[0].Conflict {
		t.Errorf("rows %s, want one, and p truncated and in conflict: %+v", rows, parts)
	}
}

// Pages of any size together give all rows. A token is rejected if it was changed, or made under other rules or with another key.
func TestPagesByToken(t *testing.T) {
	const order = `{"order":[{"key":"a","type":"integer"}],"truncate":{"rows":%d,"offset":1}%s}`
	for _, duplicates := range []string{"", `,"duplicates":{"keep":"first"}`} {
		want := map[string]string{"": `{"a":1} {"a":1} {"a":2} {"a":2} {"a":2} {"a":3} {"a":4}`, `,"duplicates":{"keep":"first"}`: `{"a":2} {"a":3} {"a":4}`}[duplicates]
		for size := 1; size < 9; size++ {
			r := mustParseRules(t, fmt.Sprintf(order, size, duplicates))
			var pages []string
			opts := []Option{TokenKey([]byte("k"))}
			for token := "-"; token != ""; {
				m := newMerge(t, r, "p q", opts...)
				_ = m.Add("p", 0, jsonLines(1, 1, 2, 4))
				_ = m.Add("q", 0, jsonLines(1, 2, 2, 3))
				_, _ = m.End("p", 0, nil), m.End("q", 0, nil)
				if page := drain(m); page != "" {
					pages = append(pages, page)
				}
				token = m.Result().Token
				opts = []Option{TokenKey([]byte("k")), From(token)}
				if token == "" {
					continue
				}
				for i := range token {
					changed := []byte(token)
					if changed[i]++; token[i] == 'z' || token[i] == 'Z' || token[i] == '9' {
						changed[i] = 'a'
					}
					if _, err := New(r, []Part{{ID: "p"}}, TokenKey([]byte("k")), From(string(changed))); !errors.As(err, new(*TokenBad)) {
						t.Fatalf("error for a token with byte %d changed: %v, want TokenBad", i, err)
					}
				}
				if _, err := New(mustParseRules(t, fmt.Sprintf(order, size+1, duplicates)), []Part{{ID: "p"}}, opts...); !errors.As(err, new(*TokenRules)) {
					t.Fatal(err)
				}
				if _, err := New(r, []Part{{ID: "p"}}, From(token)); !errors.As(err, new(*TokenBad)) {
					t.Fatal(err)
				}
			}
			if got := strings.Join(pages, " "); got != want {
				t.Errorf("rows of all pages of size %d: %s", size, got)
			}
		}
	}
}

// Want returns what each part may send, which part the merge waits for, and which parts to stop.
func TestWantListsDemands(t *testing.T) {
	m := newMerge(t, mustParseRules(t, fmt.Sprintf(rulesByA, `,"truncate":{"offset":1,"top":2},"records":{"max_bytes":16},"memory":{"bytes":96}`)), "p q")
	demands := func() string {
		var out []string
		for _, d := range m.Want() {
			out = append(out, fmt.Sprintf("%s %d rows %d bytes copy %v first %v stop %v", d.Part, d.Rows, d.Bytes, d.Copy, d.First, d.Stop))
		}
		return strings.Join(out, "; ")
	}
	expectDemands := func(what, want string) {
		t.Helper()
		if got := demands(); got != want {
			t.Errorf("%s: unexpected demands: %s", what, got)
		}
	}
	expectDemands("at first", "p 3 rows 32 bytes copy true first true stop false; q 3 rows 32 bytes copy true first false stop false")
	if err := m.Add("p", 0, jsonLines(1, 1, 1, 1, 1)); !errors.As(err, new(*Full)) {
		t.Errorf("error for more data than p has memory for: %v, want Full", err)
	}
	_ = m.Add("p", 0, jsonLines(1, 2, 3))
	_ = m.End("p", 0, &Limited{})
	drain(m)
	expectDemands("p stopped at its row limit", "q 3 rows 32 bytes copy true first true stop false")
	_ = m.Add("q", 0, jsonLines(5))
	if rows := drain(m); rows != `{"a":2} {"a":3}` {
		t.Error(rows)
	}
	expectDemands("the page is full", "p 0 rows 0 bytes copy false first false stop true; q 0 rows 0 bytes copy false first false stop true")
	if r := m.Result(); !r.Whole || r.Truncated != "top" || r.Token == "" {
		t.Errorf("result of a full page: %+v, want complete, truncated by top, with a token", r)
	}
	m = newMerge(t, m.rules, "p q")
	_ = m.Add("p", 0, jsonLines(1, 2))
	m.Leave()
	expectDemands("the client disconnected", "p 0 rows 0 bytes copy false first false stop true; q 0 rows 0 bytes copy false first false stop true")
	if r := m.Result(); r.Whole || !r.Left || drain(m) != "" {
		t.Errorf("result after Leave: %+v, want incomplete and left, without rows", r)
	}
}

// Invalid rules, alone or as one of several classes, are rejected with an error that names the key. Texts with the same meaning have
// the same hash.
func TestInvalidRulesAreRejected(t *testing.T) {
	for text, key := range map[string]string{
		`{`:                                    "(text)",
		`{"order":[]}`:                         "order",
		`{"order":[{"key":"a","type":"int"}]}`: "order.0.type",
		`{"order":[{"key":"a.#","type":"integer"}]}`:                                                     "order.0.key",
		`{"order":[{"key":"a","type":"text"}]}`:                                                          "order.0.locale",
		`{"order":[{"key":"a","type":"text","locale":"no such"}]}`:                                       "order.0.locale",
		`{"order":[{"key":"a","type":"bytes","locale":"sv"}]}`:                                           "order.0.locale",
		`{"order":[{"key":"a","type":"bytes"},{"key":"a","type":"integer"}]}`:                            "order.1.key",
		`{"order":[{"key":"a","type":"bytes"}],"records":{"form":"length-prefixed"}}`:                    "order.0.key",
		fmt.Sprintf(rulesByA, `,"duplicates":{"keep":"highest"}`):                                        "duplicates.version",
		fmt.Sprintf(rulesByA, `,"duplicates":{"keep":"first","parts":2}`):                                "duplicates.parts",
		fmt.Sprintf(rulesByA, `,"duplicates":{"keep":"first","by":2}`):                                   "duplicates.by",
		fmt.Sprintf(rulesByA, `,"duplicates":{"keep":"highest","version":{"key":"a","type":"integer"}}`): "duplicates.version.key",
		fmt.Sprintf(rulesByA, `,"truncate":{"rows":1,"top":1}`):                                          "truncate.top",
		fmt.Sprintf(rulesByA, `,"truncate":{"rows":-1}`):                                                 "truncate.rows",
		fmt.Sprintf(rulesByA, `,"complete":{"need":"at-least"}`):                                         "complete.parts",
		fmt.Sprintf(rulesByA, `,"complete":{"need":"all","parts":2}`):                                    "complete.parts",
		fmt.Sprintf(rulesByA, `,"memory":{"bytes":100}`):                                                 "memory.bytes",
		fmt.Sprintf(rulesByA, `,"momory":{}`):                                                            "(text)",
	} {
		_, err := ParseRules([]byte(text))
		var bad *RulesBad
		if !errors.As(err, &bad) || bad.Key != key {
			t.Errorf("rules %s: error %v, want RulesBad for the key %s", text, err, key)
		}
		if text[1:] == "" {
			continue
		}
		_, err = ParseClasses([]byte(`{"classes":{"one":` + text + `}}`))
		if !errors.As(err, &bad) || key != "(text)" && bad.Key != "classes.one."+key {
			t.Errorf("rules as one of several classes: error %v, want RulesBad for the key %s", err, key)
		}
	}
	if err := operr.Check(operr.All()); err != nil {
		t.Error(err)
	}
	a, b := mustParseRules(t, fmt.Sprintf(rulesByA, "")), mustParseRules(t, `{"order":[{"type":"integer","key":"a","absent":"last"}],"copies":8}`)
	if a.Hash() != b.Hash() {
		t.Error("texts with the same meaning have different hashes")
	}
}
