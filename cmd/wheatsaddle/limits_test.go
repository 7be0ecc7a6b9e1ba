package main

import "testing"

// Clients get half of the unreserved descriptors, and at small limits no less than the third of all that they may hold with
// open requests, as long as a quarter remains for nodes.
func TestClientConns(t *testing.T) {
	for _, x := range []struct{ all, want int }{{1024, 496}, {576, 272}, {128, 48}, {96, 33}, {64, 22}, {34, 1}} {
		left := max(x.all-reservedDescriptors, 2)
		if got := clientConns(left, x.all); got != x.want {
			t.Errorf("of %d: %d, want %d", x.all, got, x.want)
		}
		if nodes := left - clientConns(left, x.all); nodes < 1 {
			t.Errorf("of %d: %d for nodes", x.all, nodes)
		}
	}
}
