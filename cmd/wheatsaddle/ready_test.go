package main

import (
	"fmt"
	"io"
	"net"
	"testing"
)

// A process whose discovery is down, silent, rejects requests or sends an incomplete list becomes ready all the same, and
// serves the cached list.
func TestServesWithoutDiscovery(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	torn := `{"index":9,"snapshot":true,"endpoints":[{"name":"s","addr`
	for name, says := range map[string]func(nc net.Conn){
		"down":    nil,
		"silent":  func(nc net.Conn) { _, _ = io.Copy(io.Discard, nc) },
		"refuses": func(nc net.Conn) { fmt.Fprint(nc, "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n") },
		"closes":  func(net.Conn) {},
		"torn list, and a close": func(nc net.Conn) {
			fmt.Fprintf(nc, "%s%x\r\n%s\r\n", head, len(torn), torn)
		},
		"torn list, and silence": func(nc net.Conn) {
			fmt.Fprintf(nc, "%s%x\r\n%s\r\n", head, len(torn), torn)
			_, _ = io.Copy(io.Discard, nc)
		},
		"torn line that ends": func(nc net.Conn) {
			fmt.Fprintf(nc, "%s%x\r\n%s\n\r\n", head, len(torn)+1, torn)
			_, _ = io.Copy(io.Discard, nc)
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			node := storageNode(t)
			close(node.release)
			c, asked := conf{node: node.address, deadline: 20000}, make(chan bool, 64)
			if says != nil {
				ln, err := net.Listen("tcp", "127.0.0.1:0")
				if err != nil {
					t.Fatal(err)
				}
				defer ln.Close()
				c.discovery = ln.Addr().String()
				go func() {
					for nc, err := ln.Accept(); err == nil; nc, err = ln.Accept() {
						go func() {
							defer nc.Close()
							_, _ = nc.Read(make([]byte, 4096))
							select {
							case asked <- true:
							default:
							}
							says(nc)
						}()
					}
				}()
			}
			d := daemonOf(t, c)
			d.up()
			if says != nil {
				<-asked
			}
			for code, text := d.get("/api/ready"); code != 200; code, text = d.get("/api/ready") {
				if code != 503 {
					t.Fatalf("%d %s", code, text)
				}
			}
			client := d.dial()
			d.request(client, "GET /health/ready HTTP/1.1\r\nHost: x\r\n\r\n", 200)
			d.request(client, read, 200)
		})
	}
}
