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

// Family is an address family.
type Family uint8

// The families. Name is a host name, which the operating system resolves at each connect.
const (
	Unix Family = iota
	IPv6
	IPv4
	HostName
	familyCount
)

var familyNames = [familyCount]string{Unix: "unix", IPv6: "ipv6", IPv4: "ipv4", HostName: "name"}

func (f Family) String() string {
	if f < familyCount {
		return familyNames[f]
	}
	return "kind " + strconv.Itoa(int(f))
}

// ParseFamily parses the name of an address family: unix, ipv6, ipv4 or name.
func ParseFamily(name string) (Family, error) {
	for family, known := range familyNames {
		if known == name {
			return Family(family), nil
		}
	}
	return 0, fmt.Errorf("%.20q is none of unix, ipv6, ipv4, name", name)
}

// maxPathLength is the maximum length of a socket's path in bytes: sun_path of unix(7) has 108, including a final NUL.
const maxPathLength = 107

// unixScheme is the prefix of a socket's path, as in unix:/run/x.sock.
const unixScheme = "unix:"

// Addr is a parsed address in canonical form: addresses that differ only in spelling are equal with ==.
type Addr struct {
	family Family
	ip     netip.AddrPort
	text   string // Unix: the path; Name: host:port
}

// Family returns the address family.
func (a Addr) Family() Family { return a.family }

// IsZero reports whether a is the zero Addr, which is no address.
func (a Addr) IsZero() bool { return a == Addr{} }

// String returns the canonical spelling. Parse of it returns the same Addr.
func (a Addr) String() string {
	switch {
	case a.IsZero():
		return ""
	case a.family == Unix:
		return unixScheme + a.text
	case a.family == HostName:
		return a.text
	}
	return a.ip.String()
}

// Dial returns the network and the address as package net expects them.
func (a Addr) Dial() (network, address string) {
	switch a.family {
	case Unix:
		return "unix", a.text
	case IPv6:
		return "tcp6", a.ip.String()
	case IPv4:
		return "tcp4", a.ip.String()
	}
	return "tcp", a.text
}

// Path returns the path of a Unix socket, or "" for other families.
func (a Addr) Path() string {
	if a.family == Unix {
		return a.text
	}
	return ""
}

// Parse parses the address of a node to connect to: host:port with an IPv4 address, an IPv6 address in brackets (with a zone
// if and only if it is link-local) or a host name, or unix:PATH with an absolute path. The error does not contain the text.
func Parse(text string) (Addr, error) {
	a, err := parse(text, 1)
	if err != nil {
		return Addr{}, err
	}
	if a.ip.IsValid() {
		switch ip := a.ip.Addr(); {
		case ip.IsUnspecified():
			return Addr{}, errors.New("no host to connect to: the address is unspecified")
		case ip.IsMulticast() || ip == netip.AddrFrom4([4]byte{255, 255, 255, 255}):
			return Addr{}, errors.New("host: a multicast or broadcast address")
		}
	}
	return a, nil
}

// ParseListen parses an address to listen on. Unlike Parse, it accepts unspecified addresses and port 0, but no host names.
func ParseListen(text string) (Addr, error) {
	if strings.HasPrefix(text, ":") {
		text = "[::]" + text
	}
	a, err := parse(text, 0)
	switch {
	case err != nil:
		return Addr{}, err
	case a.family == HostName:
		return Addr{}, errors.New("host: not an IP address")
	case a.ip.IsValid() && a.ip.Addr().IsMulticast():
		return Addr{}, errors.New("host: a multicast or broadcast address")
	}
	return a, nil
}

func parse(text string, minPort uint64) (Addr, error) {
	if file, ok := strings.CutPrefix(text, unixScheme); ok {
		return parseUnix(file)
	}
	if strings.HasPrefix(text, "/") {
		return Addr{}, errors.New("a socket's path needs the form unix:PATH")
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
		return Addr{family: IPv4, ip: netip.AddrPortFrom(ip, uint16(n))}, nil
	}
	if err := checkHostName(host); err != nil {
		return Addr{}, err
	}
	return Addr{family: HostName, text: strings.ToLower(strings.TrimSuffix(host, ".")) + ":" + strconv.FormatUint(n, 10)}, nil
}

func parseIPv6(host string, port uint16) (Addr, error) {
	ip, err := netip.ParseAddr(host)
	switch {
	case err != nil || !ip.Is6():
		return Addr{}, errors.New("host: not an IPv6 address")
	case ip.Is4In6() && ip.Zone() != "":
		return Addr{}, errors.New("zone: an IPv4 address has none")
	case ip.Is4In6():
		return Addr{family: IPv4, ip: netip.AddrPortFrom(ip.Unmap(), port)}, nil
	case ip.Zone() != "" && !ip.IsLinkLocalUnicast() && !ip.IsLinkLocalMulticast():
		return Addr{}, errors.New("zone: the address is not link-local")
	case ip.IsLinkLocalUnicast() && ip.Zone() == "":
		return Addr{}, errors.New("zone: missing, and the address is link-local")
	case len(ip.Zone()) > 15 || strings.ContainsAny(ip.Zone(), "%/] \t\r\n\x00"):
		return Addr{}, errors.New("zone: not the name of an interface")
	}
	return Addr{family: IPv6, ip: netip.AddrPortFrom(ip, port)}, nil
}

func parseUnix(file string) (Addr, error) {
	switch {
	case strings.HasPrefix(file, "@"):
		return Addr{}, errors.New("path: an abstract socket name has no file and no file mode")
	case strings.ContainsRune(file, 0):
		return Addr{}, errors.New("path: contains a zero byte")
	case !strings.HasPrefix(file, "/"):
		return Addr{}, errors.New("path: not absolute")
	case strings.HasSuffix(file, "/"):
		return Addr{}, errors.New("path: a directory, not a socket")
	}
	if file = path.Clean(file); len(file) > maxPathLength {
		return Addr{}, fmt.Errorf("path: %d bytes long, the maximum is %d", len(file), maxPathLength)
	}
	return Addr{family: Unix, text: file}, nil
}

// checkHostName checks a host name by RFC 1123 section 2.1. A name that consists only of digits and dots is rejected as a
// malformed IPv4 address.
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
			return errors.New("host: not a valid host name")
		}
		for _, r := range label {
			if r != '-' && r != '_' && (r < '0' || r > '9') && (r < 'a' || r > 'z') && (r < 'A' || r > 'Z') {
				return errors.New("host: not a valid host name")
			}
		}
	}
	return nil
}

// MaxAddresses is the maximum number of addresses of one node.
const MaxAddresses = 16

// ParseList parses the addresses of one node. An address that is invalid, a duplicate (also in another spelling) or beyond
// MaxAddresses is left out and reported by a *ListError in errs. The others keep their order.
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

// Interleave returns the indices of addresses in the order of RFC 8305 section 4: the families by preference, alternately
// one address of each, and within a family as listed. Families without a preference come last, in the order of their
// constants.
func Interleave(list []Addr, preference []Family) []int {
	rank := [familyCount]int{}
	for family := range rank {
		rank[family] = len(preference) + family
	}
	for i := len(preference) - 1; i >= 0; i-- {
		rank[preference[i]] = i
	}
	families := make([][]int, len(preference)+int(familyCount))
	for i, a := range list {
		families[rank[a.family]] = append(families[rank[a.family]], i)
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
