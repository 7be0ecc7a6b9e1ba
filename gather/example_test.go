package gather_test

import (
	"errors"
	"fmt"

	"wheatsaddle/gather"
)

func must[T any](v T, err error) T {
	if err != nil {
		panic(err)
	}
	return v
}

// Two parts of a listing: rows are returned as soon as no part can precede them.
func Example() {
	rules := must(gather.ParseRules([]byte(`{"order": [{"key": "name", "type": "text", "locale": "sv"}]}`)))
	m := must(gather.New(rules, []gather.Part{{ID: "east"}, {ID: "west"}}))
	show := func() {
		for row, ok := m.Next(); ok; row, ok = m.Next() {
			fmt.Println(string(row))
		}
	}
	_ = m.Add("east", 0, []byte(`{"name":"Asta"}`+"\n"+`{"name":"Örjan"}`+"\n"))
	show()
	fmt.Println("nothing yet: west may come first")
	_ = m.Add("west", 0, []byte(`{"name":"Zack"}`+"\n"))
	show()
	fmt.Println("Örjan waits for west's end")
	_ = m.End("west", 0, nil)
	_ = m.End("east", 0, nil)
	show()
	fmt.Println("whole:", m.Result().Whole)
	// Output:
	// nothing yet: west may come first
	// {"name":"Asta"}
	// {"name":"Zack"}
	// Örjan waits for west's end
	// {"name":"Örjan"}
	// whole: true
}

// A part is truncated and a second copy continues it. Another part never arrives, which the rules allow.
func Example_copies() {
	rules := must(gather.ParseRules([]byte(`{"order": [{"key": "id", "type": "integer"}],
		"complete": {"need": "at-least", "parts": 1}}`)))
	m := must(gather.New(rules, []gather.Part{{ID: "a"}, {ID: "b"}}))
	_ = m.Add("a", 1, []byte("{\"id\":1}\n{\"i"))
	_ = m.End("a", 1, errors.New("connection reset"))
	_ = m.Add("a", 2, []byte("{\"id\":1}\n{\"id\":2}\n"))
	_ = m.End("a", 2, nil)
	_ = m.Drop("b", errors.New("deadline"))
	for row, ok := m.Next(); ok; row, ok = m.Next() {
		fmt.Println(string(row))
	}
	r := m.Result()
	fmt.Println("whole:", r.Whole, "missing:", r.Parts[0].ID, r.Parts[0].Why)
	// Output:
	// {"id":1}
	// {"id":2}
	// whole: false missing: b deadline
}

// A read of several replicas: the row on which two parts agree is returned, and the conflict is named.
func Example_agree() {
	rules := must(gather.ParseRules([]byte(`{"order": [{"key": "card", "type": "bytes"}],
		"duplicates": {"keep": "agree", "parts": 2}}`)))
	m := must(gather.New(rules, []gather.Part{{ID: "a"}, {ID: "b"}, {ID: "c"}}))
	for part, cents := range map[string]int{"a": 500, "b": 500, "c": 700} {
		_ = m.Add(part, 0, fmt.Appendf(nil, `{"card":"c1","cents":%d}`, cents))
		_ = m.End(part, 0, nil)
	}
	for row, ok := m.Next(); ok; row, ok = m.Next() {
		fmt.Println(string(row))
	}
	r := m.Result()
	fmt.Println("whole:", r.Whole, "conflict:", r.Named[0].Key, r.Named[0].Parts)
	// Output:
	// {"card":"c1","cents":500}
	// whole: false conflict: card="c1" [a b c]
}

// A page and the next one.
func ExampleFrom() {
	rules := must(gather.ParseRules([]byte(`{"order": [{"key": "id", "type": "integer"}], "truncate": {"top": 2}}`)))
	key := gather.TokenKey([]byte("a secret of all processes"))
	page := func(opts ...gather.Option) string {
		m := must(gather.New(rules, []gather.Part{{ID: "a"}}, append(opts, key)...))
		_ = m.Add("a", 0, []byte("{\"id\":1}\n{\"id\":2}\n{\"id\":3}\n"))
		_ = m.End("a", 0, nil)
		for row, ok := m.Next(); ok; row, ok = m.Next() {
			fmt.Println(string(row))
		}
		return m.Result().Token
	}
	token := page()
	fmt.Println("next page")
	token = page(gather.From(token))
	fmt.Printf("token %q\n", token)
	// Output:
	// {"id":1}
	// {"id":2}
	// next page
	// {"id":3}
	// token ""
}

// A first merge makes a partial result of two parts, and the root merges it with a third part.
func ExampleMerge_AppendPartial() {
	rules := must(gather.ParseRules([]byte(`{"order": [{"key": "id", "type": "integer"}]}`)))
	sub := must(gather.New(rules, []gather.Part{{ID: "a"}, {ID: "b"}}))
	_ = sub.Add("a", 0, []byte("{\"id\":1}\n{\"id\":4}\n"))
	_ = sub.End("a", 0, nil)
	_ = sub.Drop("b", errors.New("no answer"))
	partial, done := sub.AppendPartial(nil, 0)

	root := must(gather.New(rules, []gather.Part{{ID: "near", Of: []string{"a", "b"}}, {ID: "c"}}))
	_ = root.Add("near", 0, partial)
	_ = root.End("near", 0, nil)
	_ = root.Add("c", 0, []byte("{\"id\":2}\n"))
	_ = root.End("c", 0, nil)
	_, ok := root.Next()
	fmt.Println(done, ok, root.Result().Err) // complete is all, and b is missing
	// Output:
	// true false gather: 1 of 3 parts missing or cut, 3 needed
}
