package discovery

import (
	"fmt"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"wheatsaddle/policy"
)

func TestDecode(t *testing.T) {
	l, err := Decode([]byte(listText(43, true, sampleEntry)))
	n := l.Nodes[0]
	if err != nil || l.Version != 43 || !l.Full || n.ID != "s-1" || n.Shard != 3 || n.State != policy.NodeDraining || n.Weight != 2 ||
		n.StartTime != 1.7e12 || fmt.Sprint(n.Addresses) != "[127.0.0.1:8443]" || n.Zone != "a" {
		t.Errorf("%+v %v", l, err)
	}
	// an invalid entry is named and ignored
	for invalid, word := range map[string]string{`7`: "object", `{"name":""}`: "name", strings.Replace(sampleEntry, "leaving", "gone", 1): "status",
		strings.Replace(sampleEntry, "127.0.0.1:8443", "here", 1): "address", strings.Replace(sampleEntry, "3,", `"x",`, 1): "group"} {
		l, err = Decode([]byte(listText(44, true, invalid, sampleEntry)))
		if err != nil || len(l.Nodes) != 1 || len(l.InvalidEntries) != 1 || !strings.Contains(l.InvalidEntries[0].Error(), word) ||
			!strings.Contains(l.InvalidEntries[0].Error(), "endpoints.0") {
			t.Errorf("%s: %+v %v", invalid, l, err)
		}
	}
	for invalid, word := range map[string]string{`{`: "JSON", `{"endpoints":[]}`: "index", `{"index":1}`: "endpoints", `[]`: "index"} {
		if _, err := Decode([]byte(invalid)); err == nil || !strings.Contains(err.Error(), word) {
			t.Errorf("%s: %v", invalid, err)
		}
	}
}

func TestDecodeCorruptList(t *testing.T) {
	complete := listText(43, true, sampleEntry, sampleEntry)
	rapid.Check(t, func(rt *rapid.T) {
		if _, err := Decode([]byte(complete[:rapid.IntRange(0, len(complete)-1).Draw(rt, "cut")])); err == nil {
			rt.Fatal("a truncated list was decoded")
		}
		b := []byte(complete)
		for range rapid.IntRange(1, 5).Draw(rt, "edits") {
			b[rapid.IntRange(0, len(b)-1).Draw(rt, "at")] = rapid.Byte().Draw(rt, "byte")
		}
		l, err := Decode(b)
		for _, n := range l.Nodes {
			if err != nil || n.ID == "" || n.Shard < 0 {
				rt.Fatalf("%+v %v", n, err)
			}
		}
	})
}

// An entry may name several addresses. An invalid one is logged and ignored, and the node stays; an
// entry without a valid address is ignored like any invalid entry.
func TestAddresses(t *testing.T) {
	for _, x := range []struct{ fields, want, partly, invalid string }{
		{`"address":"127.0.0.1:1"`, "[127.0.0.1:1]", "", ""},
		{`"address":"127.0.0.1:1","addresses":["unix:/run/a","[::1]:1"]`, "[unix:/run/a [::1]:1 127.0.0.1:1]", "", ""},
		{`"addresses":["unix:/run/a","[::1]:1"]`, "[unix:/run/a [::1]:1]", "", ""},
		{`"address":"[::1]:1","addresses":["unix:/run/a","[0::1]:1"]`, "[unix:/run/a [::1]:1]", "", ""},
		{`"address":"127.0.0.1:1","addresses":["unix:a",7,"127.0.0.1:1","[::ffff:127.0.0.1]:1"]`, "[127.0.0.1:1]",
			`addresses.1: not text|addresses.0 ("unix:a"): path: not absolute|the same as "127.0.0.1:1"`, ""},
		{`"address":"what","addresses":["unix:/run/a"]`, "[unix:/run/a]", `address: "what": neither host:port`, ""},
		{`"address":"127.0.0.1:1","addresses":"unix:/run/a"`, "", "", "addresses: not a list"},
		{`"address":"what","addresses":[]`, "", "", "none of them can be used"},
		{`"address":"127.0.0.1:0"`, "", "", `address: "127.0.0.1:0": port`},
	} {
		l, err := Decode([]byte(`{"index":1,"snapshot":true,"endpoints":[{"name":"n","group":0,"status":"active",` + x.fields + `}]}`))
		if err != nil {
			t.Fatal(err)
		}
		got, partly, invalid := "", "", ""
		if len(l.Nodes) == 1 {
			got = fmt.Sprint(l.Nodes[0].Addresses)
		}
		for _, e := range l.InvalidAddresses {
			partly += e.Error() + "\n"
		}
		for _, e := range l.InvalidEntries {
			invalid += e.Error() + "\n"
		}
		if got != x.want || !strings.Contains(invalid, x.invalid) || (x.invalid == "") != (invalid == "") || (x.partly == "") != (partly == "") {
			t.Errorf("%s: %s, partly %q, invalid %q", x.fields, got, partly, invalid)
		}
		for _, part := range strings.Split(x.partly, "|") {
			if !strings.Contains(partly, part) {
				t.Errorf("%s: %q is not named in %q", x.fields, part, partly)
			}
		}
	}
}
