package gossip

import (
	"errors"
	"testing"
	"time"

	"wheatsaddle/internal/nodestats"
)

// Without an address to advertise, Start rejects an unspecified address to listen on, because memberlist would run an
// external program (ip route) to find one.
func TestUnspecifiedAddressNeedsAdvertise(t *testing.T) {
	options := Options{Name: "p", Interval: time.Hour, Burst: 8, State: nodestats.Defaults(), Log: discardLog()}
	for _, options.Listen = range []string{"0.0.0.0:0", "[::]:0"} {
		_, err := Start(options)
		var listenError *ListenError
		if !errors.As(err, &listenError) {
			t.Errorf("listening on %s without an address to advertise: error %v, want a ListenError", options.Listen, err)
		}
	}
	options.Listen, options.Advertise = "0.0.0.0:0", "127.0.0.1:9"
	p, err := Start(options)
	if err != nil {
		t.Fatal(err)
	}
	p.Kill()
}
