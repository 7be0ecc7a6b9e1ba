package machineclock

import (
	"testing"
	"time"
)

// The clocks of two processes show the same time, as windows are compared between them.
func TestMachineClocksAgree(t *testing.T) {
	const resolution = 10 * time.Millisecond // of the kernel's file
	first, err := New()
	if err != nil {
		t.Fatal(err)
	}
	time.Sleep(resolution)
	second, err := New()
	if err != nil {
		t.Fatal(err)
	}
	before, between, after := first(), second(), first()
	if between < before-2*resolution || between > after+2*resolution {
		t.Errorf("the second clock shows %v, the first one %v before and %v after that", between, before, after)
	}
}
