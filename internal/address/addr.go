package address

import (
	"errors"
	"fmt"
	"net"
	"net/netip"
	"path"
	"strconv"
	"strings"
)

// Kind is the family of an address.
type Kind uint8

// The families. Name is a host name, which the operating system resolves at each connect.
const (
	Unix Kind = iota
	IPv6
	IPv4
	Name
	familyCount
)

var familyNames = [familyCount]string{Unix: "unix", IPv6: "ipv6", IPv4: "ipv4", Name: "name"}

func (k Kind) String() string {
	if k < familyCount {
		return familyNames[k]
	}
	return "kind " + strconv.Itoa(int(k))
}

// ParseKind reads the name of a family: unix, ipv6, ipv4 or name.
func ParseKind(name string) (Kind, error) {
	for k, known := range familyNames {
		if known == name {
			return Kind(k), nil
		}
	}
	return 0, fmt.Errorf("%.20q is none of unix, ipv6, ipv4, name", name)
}

// maxPathLength is the longest path of a socket: sun_path of unix(7) holds 108 bytes, the last a NUL.
const maxPathLength = 107

// unixScheme marks the path of a socket, as in unix:/run/x.sock.
const unixScheme = "unix:"

// Addr is a parsed address in canonical form: two that mean the same are equal with ==.
type Addr struct {
	kind Kind
	ip   netip.AddrPort
	text string // Unix: the path; Name: host:port
}

// Kind is the family.
func (a Addr) Kind() Kind { return a.kind }

// IsZero reports whether it is no address.
func (a Addr) IsZero() bool { return a == Addr{} }

// String is the canonical spelling, which Parse reads again.
func (a Addr) String() string {
	switch {
	case a.IsZero():
		return ""
	case a.kind == Unix:
		return unixScheme + a.text
	case a.kind == Name:
		return a.text
	}
	return a.ip.String()
}

// Dial returns the network and the address for package net.
func (a Addr) Dial() (network, address string) {
	switch a.kind {
	case Unix:
		return "unix", a.text
	case IPv6:
		return "tcp6", a.ip.String()
	case IPv4:
		return "tcp4", a.ip.String()
	}
	return "tcp", a.text
}

// Path is the file of a Unix socket, or empty.
func (a Addr) Path() string {
	if a.kind == Unix {
		return a.text
	}
	return ""
}

// Parse reads the address of a node to connect to: host:port with an IPv4 address, an IPv6
// address in brackets (a zone only where it is link-local) or a host name, or unix:PATH with an
// absolute path. The error says what is wrong, without the text.
func Parse(text string) (Addr, error) {
	a, err := parse(text, 1)
	if err != nil {
		return Addr{}, err
	}
	if a.ip.IsValid() {
		switch ip := a.ip.Addr(); {
		case ip.IsUnspecified():
			return Addr{}, errors.New("no host to connect to")
		case ip.IsMulticast() || ip == netip.AddrFrom4([4]byte{255, 255, 255, 255}):
			return Addr{}, errors.New("a group of hosts, not one")
		}
	}
	return a, nil
}

// ParseListen reads an address to listen on. Unlike Parse, it accepts unspecified hosts and the port 0, and no host names.
func ParseListen(text string) (Addr, error) {
	if strings.HasPrefix(text, ":") {
		text = "[::]" + text
	}
	a, err := parse(text, 0)
	switch {
	case err != nil:
		return Addr{}, err
	case a.kind == Name:
		return Addr{}, errors.New("host: not an IP address")
	case a.ip.IsValid() && a.ip.Addr().IsMulticast():
		return Addr{}, errors.New("a group of hosts, not one")
	}
	return a, nil
}

func parse(text string, minPort uint64) (Addr, error) {
	if file, ok := strings.CutPrefix(text, unixScheme); ok {
		return parseUnix(file)
	}
	if strings.HasPrefix(text, "/") {
		return Addr{}, errors.New("a path is written unix:PATH")
	}
	host, port, err := net.SplitHostPort(text)
	if err != nil {
		return Addr{}, errors.New("neither host:port nor unix:PATH")
	}
	n, err := strconv.ParseUint(port, 10, 16)
	if err != nil || n < minPort {
		return Addr{}, fmt.Errorf("port: not a number from %d to 65535", minPort)
	}
	if strings.ContainsRune(host, ':') || strings.HasPrefix(text, "[") {
		return parseIPv6(host, uint16(n))
	}
	if ip, err := netip.ParseAddr(host); err == nil {
		return Addr{kind: IPv4, ip: netip.AddrPortFrom(ip, uint16(n))}, nil
	}
	if err := checkHostName(host); err != nil {
		return Addr{}, err
	}
	return Addr{kind: Name, text: strings.ToLower(strings.TrimSuffix(host, ".")) + ":" + strconv.FormatUint(n, 10)}, nil
}

func parseIPv6(host string, port uint16) (Addr, error) {
	ip, err := netip.ParseAddr(host)
	switch {
	case err != nil || !ip.Is6():
		return Addr{}, errors.New("host: not an IPv6 address")
	case ip.Is4In6() && ip.Zone() != "":
		return Addr{}, errors.New("zone: an IPv4 address has none")
	case ip.Is4In6():
		return Addr{kind: IPv4, ip: netip.AddrPortFrom(ip.Unmap(), port)}, nil
	case ip.Zone() != "" && !ip.IsLinkLocalUnicast() && !ip.IsLinkLocalMulticast():
		return Addr{}, errors.New("zone: the address is not link-local")
	case ip.IsLinkLocalUnicast() && ip.Zone() == "":
		return Addr{}, errors.New("zone: missing, and the address is link-local")
	case len(ip.Zone()) > 15 || strings.ContainsAny(ip.Zone(), "%/] \t\r\n\x00"):
		return Addr{}, errors.New("zone: not the name of an interface")
	}
	return Addr{kind: IPv6, ip: netip.AddrPortFrom(ip, port)}, nil
}

func parseUnix(file string) (Addr, error) {
	switch {
	case strings.HasPrefix(file, "@"):
		return Addr{}, errors.New("path: an abstract name has no file and no mode")
	case strings.ContainsRune(file, 0):
		return Addr{}, errors.New("path: holds a zero byte")
	case !strings.HasPrefix(file, "/"):
		return Addr{}, errors.New("path: not absolute")
	case strings.HasSuffix(file, "/"):
		return Addr{}, errors.New("path: a folder, not a socket")
	}
	if file = path.Clean(file); len(file) > maxPathLength {
		return Addr{}, fmt.Errorf("path: %d bytes long, and a socket's has %d at most", len(file), maxPathLength)
	}
	return Addr{kind: Unix, text: file}, nil
}

// checkHostName checks a host name by RFC 1123 section 2.1. One of digits and dots alone is a misspelt IPv4 address.
func checkHostName(host string) error {
	host = strings.TrimSuffix(host, ".")
	if len(host) == 0 || len(host) > 253 {
		return errors.New("host: empty or too long")
	}
	if strings.Trim(host, "0123456789.") == "" {
		return errors.New("host: not an IPv4 address")
	}
	for _, label := range strings.Split(host, ".") {
		if len(label) == 0 || len(label) > 63 || label[0] == '-' || label[len(label)-1] == '-' {
			return errors.New("host: not a name")
		}
		for _, r := range label {
			if r != '-' && r != '_' && (r < '0' || r > '9') && (r < 'a' || r > 'z') && (r < 'A' || r > 'Z') {
				return errors.New("host: not a name")
			}
		}
	}
	return nil
}

// MaxAddresses is how many addresses one node may have.
const MaxAddresses = 16

// ParseList reads the addresses of one node. One that is invalid, listed twice (also in another spelling) or beyond
// MaxAddresses is left out and has a *ListError in errs. The others keep their order.
func ParseList(texts []string) (list []Addr, errs []error) {
	seen := map[Addr]string{}
	for i, text := range texts {
		a, err := Parse(text)
		if first, twice := seen[a]; err == nil && twice {
			err = fmt.Errorf("the same as %q", first)
		} else if err == nil && len(list) == MaxAddresses {
			err = fmt.Errorf("a node has %d addresses at most", MaxAddresses)
		}
		if err != nil {
			errs = append(errs, &ListError{i, text, err})
			continue
		}
		seen[a] = text
		list = append(list, a)
	}
	return list, errs
}

// Interleave puts addresses in the order of RFC 8305 section 4: the families by preference, one
// address of each alternately, and within a family as listed. Families that the preference does not
// name come last, in the order of their constants. It returns indices into list.
func Interleave(list []Addr, preference []Kind) []int {
	rank := [familyCount]int{}
	for family := range rank {
		rank[family] = len(preference) + family
	}
	for i := len(preference) - 1; i >= 0; i-- {
		rank[preference[i]] = i
	}
	families := make([][]int, len(preference)+int(familyCount))
	for i, a := range list {
		families[rank[a.kind]] = append(families[rank[a.kind]], i)
	}
	var order []int
	for round := 0; len(order) < len(list); round++ {
		for _, f := range families {
			if round < len(f) {
				order = append(order, f[round])
			}
		}
	}
	return order
}
