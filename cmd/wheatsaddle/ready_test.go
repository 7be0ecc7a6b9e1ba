package main

import (
	"fmt"
	"io"
	"net"
	"testing"
)

// A process becomes ready and serves the cached list although discovery is down, does not respond, rejects requests or sends
// an incomplete list.
func TestServesWithoutDiscovery(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	incomplete := `{"index":9,"snapshot":true,"endpoints":[{"name":"s","addr`
	for name, respond := range map[string]func(nc net.Conn){
		"down":               nil,
		"silent":             func(nc net.Conn) { _, _ = io.Copy(io.Discard, nc) },
		"rejects requests":   func(nc net.Conn) { fmt.Fprint(nc, "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n") },
		"closes connections": func(net.Conn) {},
		"incomplete list, then closed": func(nc net.Conn) {
			fmt.Fprintf(nc, "%s%x\r\n%s\r\n", head, len(incomplete), incomplete)
		},
		"incomplete list, then silent": func(nc net.Conn) {
			fmt.Fprintf(nc, "%s%x\r\n%s\r\n", head, len(incomplete), incomplete)
			_, _ = io.Copy(io.Discard, nc)
		},
		"incomplete list with a line end": func(nc net.Conn) {
			fmt.Fprintf(nc, "%s%x\r\n%s\n\r\n", head, len(incomplete)+1, incomplete)
			_, _ = io.Copy(io.Discard, nc)
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			node := newBlockingNode(t)
			close(node.release)
			opt, requested := daemonOptions{node: node.address, deadline: 20000}, make(chan bool, 64)
			if respond != nil {
				ln, err := net.Listen("tcp", "127.0.0.1:0")
				if err != nil {
					t.Fatal(err)
				}
				defer ln.Close()
				opt.discovery = ln.Addr().String()
				go func() {
					for nc, err := ln.Accept(); err == nil; nc, err = ln.Accept() {
						go func() {
							defer nc.Close()
							_, _ = nc.Read(make([]byte, 4096))
							select {
							case requested <- true:
							default:
							}
							respond(nc)
						}()
					}
				}()
			}
			d := newDaemon(t, opt)
			d.startAndWait()
			if respond != nil {
				<-requested
			}
			for code, text := d.getAdmin("/api/ready"); code != 200; code, text = d.getAdmin("/api/ready") {
				if code != 503 {
					t.Fatalf("readiness: response %d %s, want 200 or 503", code, text)
				}
			}
			client := d.dial()
			d.request(client, "GET /health/ready HTTP/1.1\r\nHost: x\r\n\r\n", 200)
			d.request(client, readRequest, 200)
		})
	}
}
