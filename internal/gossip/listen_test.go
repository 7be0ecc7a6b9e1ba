package gossip

import (
	"errors"
	"testing"
	"time"

	"wheatsaddle/internal/nodestats"
)

// For an unspecified address without one to advertise, memberlist would start a program (ip route): it is an error. With
// an advertised address it is none.
func TestUnspecifiedAddressNeedsAdvertise(t *testing.T) {
	options := Options{Name: "p", Interval: time.Hour, Burst: 8, State: nodestats.Defaults(), Log: discardLog()}
	for _, options.Listen = range []string{"0.0.0.0:0", "[::]:0"} {
		_, err := Start(options)
		var listenError *ListenError
		if !errors.As(err, &listenError) {
			t.Errorf("%s: %v", options.Listen, err)
		}
	}
	options.Listen, options.Advertise = "0.0.0.0:0", "127.0.0.1:9"
	p, err := Start(options)
	if err != nil {
		t.Fatal(err)
	}
	p.Kill()
}
