package discovery

import (
	"fmt"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"wheatsaddle/policy"
)

// A list is decoded with its nodes. An invalid list is an error that names its key.
func TestDecode(t *testing.T) {
	list, err := Decode([]byte(listText(43, true, sampleEntry)))
	node := list.Nodes[0]
	if err != nil || list.Version != 43 || !list.Full || node.ID != "s-1" || node.Shard != 3 || node.State != policy.NodeDraining || node.Weight != 2 ||
		node.StartTime != 1.7e12 || fmt.Sprint(node.Addresses) != "[127.0.0.1:8443]" || node.Zone != "a" {
		t.Errorf("decoded %+v, %v", list, err)
	}
	// An invalid entry is ignored and recorded with its position and the invalid key.
	for invalid, wantText := range map[string]string{`7`: "object", `{"name":""}`: "name", strings.Replace(sampleEntry, "leaving", "gone", 1): "status",
		strings.Replace(sampleEntry, "127.0.0.1:8443", "here", 1): "address", strings.Replace(sampleEntry, "3,", `"x",`, 1): "group"} {
		list, err = Decode([]byte(listText(44, true, invalid, sampleEntry)))
		if err != nil || len(list.Nodes) != 1 || len(list.InvalidEntries) != 1 || !strings.Contains(list.InvalidEntries[0].Error(), wantText) ||
			!strings.Contains(list.InvalidEntries[0].Error(), "endpoints.0") {
			t.Errorf("list with the invalid entry %s: %+v, error %v", invalid, list, err)
		}
	}
	for invalid, wantText := range map[string]string{`{`: "JSON", `{"endpoints":[]}`: "index", `{"index":1}`: "endpoints", `[]`: "index"} {
		if _, err := Decode([]byte(invalid)); err == nil || !strings.Contains(err.Error(), wantText) {
			t.Errorf("invalid list %s: error %v", invalid, err)
		}
	}
}

// A truncated list is an error. One with changed bytes is an error or has only valid nodes.
func TestDecodeCorruptList(t *testing.T) {
	complete := listText(43, true, sampleEntry, sampleEntry)
	rapid.Check(t, func(rt *rapid.T) {
		if _, err := Decode([]byte(complete[:rapid.IntRange(0, len(complete)-1).Draw(rt, "cut")])); err == nil {
			rt.Fatal("a truncated list was decoded")
		}
		text := []byte(complete)
		for range rapid.IntRange(1, 5).Draw(rt, "edits") {
			text[rapid.IntRange(0, len(text)-1).Draw(rt, "at")] = rapid.Byte().Draw(rt, "byte")
		}
		list, err := Decode(text)
		for _, node := range list.Nodes {
			if err != nil || node.ID == "" || node.Shard < 0 {
				rt.Fatalf("invalid node %+v decoded, error %v", node, err)
			}
		}
	})
}

// An entry may have several addresses. An invalid address is recorded and ignored, and the entry is still used. An entry
// without a valid address is ignored like any invalid entry.
func TestDecodeAddresses(t *testing.T) {
	for _, tc := range []struct{ fields, want, ignored, invalid string }{
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
		list, err := Decode([]byte(`{"index":1,"snapshot":true,"endpoints":[{"name":"n","group":0,"status":"active",` + tc.fields + `}]}`))
		if err != nil {
			t.Fatal(err)
		}
		got, ignored, invalid := "", "", ""
		if len(list.Nodes) == 1 {
			got = fmt.Sprint(list.Nodes[0].Addresses)
		}
		for _, err := range list.InvalidAddresses {
			ignored += err.Error() + "\n"
		}
		for _, err := range list.InvalidEntries {
			invalid += err.Error() + "\n"
		}
		if got != tc.want || !strings.Contains(invalid, tc.invalid) || (tc.invalid == "") != (invalid == "") || (tc.ignored == "") != (ignored == "") {
			t.Errorf("%s: addresses %s, invalid addresses %q, invalid entries %q", tc.fields, got, ignored, invalid)
		}
		for _, part := range strings.Split(tc.ignored, "|") {
			if !strings.Contains(ignored, part) {
				t.Errorf("%s: %q is missing in %q", tc.fields, part, ignored)
			}
		}
	}
}
