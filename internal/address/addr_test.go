package address

import (
	"fmt"
	"net"
	"strings"
	"testing"

	"wheatsaddle/internal/testkit/rapidtest"
)

func TestMain(m *testing.M) { rapidtest.Main(m) }

// parseCases are spellings with their canonical forms. If err is not empty, parsing fails with an error that contains it.
var parseCases = []struct{ text, want, err string }{
	{"127.0.0.1:7001", "127.0.0.1:7001", ""},
	{"127.0.0.1:07001", "127.0.0.1:7001", ""},
	{"[::1]:7001", "[::1]:7001", ""},
	{"[0:0:0:0:0:0:0:1]:7001", "[::1]:7001", ""},
	{"[2001:DB8::1]:1", "[2001:db8::1]:1", ""},
	{"[::ffff:10.0.0.1]:80", "10.0.0.1:80", ""},
	{"[::ffff:10.0.0.1%eth0]:80", "", "zone"},
	{"[fe80::1%eth0]:9", "[fe80::1%eth0]:9", ""},
	{"[fe80::1]:9", "", "zone: missing"},
	{"[::1%lo]:9", "", "zone: the address is not link-local"},
	{"[fe80::1%a/b]:9", "", "zone"},
	{"unix:/run/x.sock", "unix:/run/x.sock", ""},
	{"unix:///run//./x.sock", "unix:/run/x.sock", ""},
	{"unix:/run/a/../x.sock", "unix:/run/x.sock", ""},
	{"unix:x.sock", "", "not absolute"},
	{"unix:@x", "", "abstract"},
	{"unix:/run/", "", "a directory"},
	{"unix:/a\x00b", "", "zero byte"},
	{"unix:/" + strings.Repeat("x", maxPathLength-1), "unix:/" + strings.Repeat("x", maxPathLength-1), ""},
	{"unix:/" + strings.Repeat("x", maxPathLength), "", "108 bytes"},
	{"/run/x.sock", "", "unix:PATH"},
	{"localhost:7001", "localhost:7001", ""},
	{"LocalHost.:7001", "localhost:7001", ""},
	{"a_b-c.d:1", "a_b-c.d:1", ""},
	{"-a:1", "", "not a valid host name"},
	{"1.2.3:1", "", "IPv4"},
	{"256.1.1.1:1", "", "IPv4"},
	{"127.0.0.1:0", "", "port"},
	{"127.0.0.1:65536", "", "port"},
	{"127.0.0.1:http", "", "port"},
	{"127.0.0.1:+1", "", "port"},
	{"127.0.0.1", "", "neither"},
	{"::1:7001", "", "neither"},
	{"[127.0.0.1]:1", "", "IPv6"},
	{"[]:1", "", "IPv6"},
	{":1", "", "host"},
	{"0.0.0.0:1", "", "no host"},
	{"[::]:1", "", "no host"},
	{"224.0.0.1:1", "", "multicast"},
	{"[ff02::1%eth0]:1", "", "multicast"},
	{"255.255.255.255:1", "", "broadcast"},
	{"", "", "neither"},
}

func TestParseGivesTheCanonicalSpelling(t *testing.T) {
	for _, x := range parseCases {
		a, err := Parse(x.text)
		if (err == nil) != (x.err == "") || err != nil && !strings.Contains(err.Error(), x.err) || err == nil && a.String() != x.want {
			t.Errorf("%q: parsed as %v, %v; want %q, %q", x.text, a, err, x.want, x.err)
		}
		if err == nil {
			if b, err := Parse(a.String()); err != nil || b != a {
				t.Errorf("%q: its canonical spelling %q is parsed as %v, %v", x.text, a, b, err)
			}
		}
	}
}

func TestParseListenAcceptsUnspecifiedHosts(t *testing.T) {
	for text, want := range map[string]string{
		"0.0.0.0:80": "0.0.0.0:80", ":80": "[::]:80", "[::]:0": "[::]:0", "127.0.0.1:0": "127.0.0.1:0",
		"unix:/run/x": "unix:/run/x", "localhost:1": "", "224.0.0.1:1": "", "x": "",
	} {
		if a, err := ParseListen(text); a.String() != want || (err == nil) != (want != "") {
			t.Errorf("%q: parsed as %q with the error %v", text, a, err)
		}
	}
}

// An invalid address or a duplicate in another spelling is reported and left out. The other addresses are used.
func TestInvalidAddressesAreLeftOutOfAList(t *testing.T) {
	list, errs := ParseList([]string{"127.0.0.1:1", "what", "[::ffff:127.0.0.1]:1", "unix:/a", "unix:/./a"})
	if fmt.Sprint(list) != "[127.0.0.1:1 unix:/a]" || len(errs) != 3 {
		t.Fatalf("list %v, errors %v; want the two valid addresses and three errors", list, errs)
	}
	for i, want := range []string{`addresses.1 ("what")`, `addresses.2 ("[::ffff:127.0.0.1]:1"): the same as "127.0.0.1:1"`, "addresses.4"} {
		if !strings.Contains(errs[i].Error(), want) {
			t.Errorf("error %v does not name the address and the reason", errs[i])
		}
	}
	var many []string
	for i := range MaxAddresses + 2 {
		many = append(many, fmt.Sprintf("127.0.0.1:%d", i+1))
	}
	if list, errs := ParseList(many); len(list) != MaxAddresses || len(errs) != 2 {
		t.Errorf("%d addresses used, %d reported; want MaxAddresses and 2", len(list), len(errs))
	}
}

// Interleave returns the indices of the addresses.
func TestInterleaveAlternatesFamilies(t *testing.T) {
	list, _ := ParseList([]string{"127.0.0.1:1", "127.0.0.1:2", "[::1]:1", "name:1", "unix:/a", "unix:/b", "unix:/c"})
	for _, x := range []struct {
		preference []Family
		want       string
	}{
		{[]Family{Unix, IPv6, IPv4}, "[4 2 0 3 5 1 6]"}, {[]Family{IPv4}, "[0 4 2 3 1 5 6]"}, {nil, "[4 2 0 3 5 1 6]"},
	} {
		if got := fmt.Sprint(Interleave(list, x.preference)); got != x.want {
			t.Errorf("order by the preference %v: %v, want %v", x.preference, got, x.want)
		}
	}
}

// FuzzParse checks that the canonical spelling of a parsed address is parsed as the same address, and that package net
// accepts it.
func FuzzParse(f *testing.F) {
	for _, x := range parseCases {
		f.Add(x.text)
	}
	f.Fuzz(func(t *testing.T, text string) {
		a, err := Parse(text)
		if err != nil {
			if !a.IsZero() {
				t.Errorf("%q: both an address (%v) and an error (%v)", text, a, err)
			}
			return
		}
		if b, err := Parse(a.String()); err != nil || b != a {
			t.Errorf("%q: its canonical spelling %q is parsed as %v, %v", text, a, b, err)
		}
		switch network, to := a.Dial(); network {
		case "unix":
			if len(to) > maxPathLength || !strings.HasPrefix(to, "/") {
				t.Errorf("%q: the path %q is too long or not absolute", text, to)
			}
		case "tcp4", "tcp6":
			if _, err := net.ResolveTCPAddr(network, to); err != nil && !strings.Contains(to, "%") {
				t.Errorf("%q: package net does not accept it: %v", text, err)
			}
		}
	})
}
