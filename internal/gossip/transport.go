package gossip

import (
	"fmt"
	"net"
	"strconv"
	"time"

	"github.com/hashicorp/memberlist"

	"wheatsaddle/internal/transport"
)

// splitAddress splits IP:port.
func splitAddress(address string) (host string, port int, err error) {
	host, text, err := net.SplitHostPort(address)
	if err != nil {
		return "", 0, err
	}
	if net.ParseIP(host) == nil {
		return "", 0, fmt.Errorf("%q is not an IP address", host)
	}
	n, err := strconv.ParseUint(text, 10, 16)
	return host, int(n), err
}

// overridingTransport replaces the advertised addresses of some members by addresses that this process can reach.
type overridingTransport struct {
	*memberlist.NetTransport
	overrides map[string]string
}

func (t *overridingTransport) resolve(a memberlist.Address) memberlist.Address {
	if override, ok := t.overrides[a.Addr]; ok {
		a.Addr = override
	}
	return a
}

func (t *overridingTransport) WriteToAddress(b []byte, a memberlist.Address) (time.Time, error) {
	return t.NetTransport.WriteToAddress(b, t.resolve(a))
}

func (t *overridingTransport) DialAddressTimeout(a memberlist.Address, timeout time.Duration) (net.Conn, error) {
	nc, err := t.NetTransport.DialAddressTimeout(t.resolve(a), timeout)
	if err != nil {
		return nil, err
	}
	return transport.DisableSplice(nc)
}

func (t *overridingTransport) WriteTo(b []byte, addr string) (time.Time, error) {
	return t.WriteToAddress(b, memberlist.Address{Addr: addr})
}

func (t *overridingTransport) DialTimeout(addr string, timeout time.Duration) (net.Conn, error) {
	return t.DialAddressTimeout(memberlist.Address{Addr: addr}, timeout)
}
