package httpfront

import (
	"fmt"
	"net"
	"testing"
	"time"

	"wheatsaddle/internal/address"
	"wheatsaddle/internal/core"
)

// BenchmarkSend measures one attempt and its response over loopback, for a node with one address, which needs no address
// selector, and for a node with three.
func BenchmarkSend(b *testing.B) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	defer ln.Close()
	go func() {
		for {
			nc, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer nc.Close()
				text := make([]byte, 4096)
				for {
					if _, err := nc.Read(text); err != nil {
						return
					}
					fmt.Fprint(nc, okResponse)
				}
			}()
		}
	}()
	one := addressesOf(ln)
	more, errs := address.ParseList([]string{one[0].String(), "[::1]:1", "unix:/nowhere"})
	if len(errs) > 0 {
		b.Fatal(errs)
	}
	for _, list := range [][]address.Addr{one, more} {
		b.Run(fmt.Sprintf("addresses=%d", len(list)), func(b *testing.B) {
			d := dialer()
			d.Addresses = &AddressConfig{}
			set := address.Defaults()
			set.Preference = []address.Family{address.IPv4}
			d.Addresses.Set(AddressSettings{Selector: set})
			p := d.Connect("n", list)
			defer p.Close()
			a, got := attempt(b, inOneMinute())
			p.Send(a)
			<-got
			b.ReportAllocs()
			for b.Loop() {
				p.Send(core.NewAttempt(a.Request, time.Now().Add(time.Minute), func(r core.Result) { got <- r }))
				<-got
			}
		})
	}
}
