package gossip

import (
	"errors"
	"testing"
	"time"

	"wheatsaddle/internal/nodestats"
)

// To listen at every address without a word on which the others reach would start a program (ip route):
// it is an error with a code. Where that word is there, it is none.
func TestStartsNoProgram(t *testing.T) {
	opt := Options{Name: "p", Interval: time.Hour, Burst: 8, State: nodestats.Defaults(), Log: quiet()}
	for _, opt.Listen = range []string{"0.0.0.0:0", "[::]:0"} {
		_, err := Start(opt)
		var no *ListenError
		if !errors.As(err, &no) {
			t.Errorf("%s: %v", opt.Listen, err)
		}
	}
	opt.Listen, opt.Advertise = "0.0.0.0:0", "127.0.0.1:9"
	p, err := Start(opt)
	if err != nil {
		t.Fatal(err)
	}
	p.Kill()
}
