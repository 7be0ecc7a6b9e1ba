package main

import "testing"

// Clients get half of the unreserved descriptors, and at small limits at least the third of all descriptors that they may use
// with open requests, provided that a quarter remains for nodes.
func TestClientConns(t *testing.T) {
	for _, x := range []struct{ all, want int }{{1024, 496}, {576, 272}, {128, 48}, {96, 33}, {64, 22}, {34, 1}} {
		unreserved := max(x.all-reservedDescriptors, 2)
		if got := clientConns(unreserved, x.all); got != x.want {
			t.Errorf("of %d descriptors: %d for clients, want %d", x.all, got, x.want)
		}
		if nodes := unreserved - clientConns(unreserved, x.all); nodes < 1 {
			t.Errorf("of %d descriptors: %d for nodes, want at least 1", x.all, nodes)
		}
	}
}
