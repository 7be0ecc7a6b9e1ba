package discovery

import (
	"context"
	"errors"
	"os"
	"sync/atomic"
	"syscall"
	"testing"

	"wheatsaddle/internal/discovery/watchtimer"
	"wheatsaddle/policy"
)

// descriptors holds all file descriptors that this process may open.
type descriptors struct {
	oldLimit syscall.Rlimit
	files    []*os.File
}

// take takes them all, also those that other tests release meanwhile.
func (d *descriptors) take(t *testing.T) {
	if d.files == nil {
		if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &d.oldLimit); err != nil {
			t.Error(err)
		}
	}
	for {
		f, err := os.Open(os.DevNull)
		if errors.Is(err, syscall.EMFILE) {
			return
		}
		if err != nil {
			t.Error(err)
			return
		}
		d.files = append(d.files, f)
		few := syscall.Rlimit{Cur: uint64(f.Fd()) + 1, Max: d.oldLimit.Max}
		if err := syscall.Setrlimit(syscall.RLIMIT_NOFILE, &few); err != nil {
			t.Error(err)
			return
		}
	}
}

func (d *descriptors) release(t *testing.T) {
	if d.files == nil {
		return
	}
	if err := syscall.Setrlimit(syscall.RLIMIT_NOFILE, &d.oldLimit); err != nil {
		t.Error(err)
	}
	for _, f := range d.files {
		_ = f.Close()
	}
	d.files = nil
}

// A call without a file descriptor is repeated as soon as any that failed.
func TestWatchWithoutFileDescriptors(t *testing.T) {
	s := newScriptedService(t)
	var files descriptors
	defer files.release(t)
	var exhausted atomic.Bool
	failed := make(chan error, 10)
	w := &Watcher{Address: s.Addr().String(), Timer: pushedSettings}
	w.openWatch = func(ctx context.Context, address string, version int64, put func(callMessage)) error {
		if !exhausted.Load() {
			return w.runCall(ctx, address, version, put)
		}
		files.take(t)
		err := w.runCall(ctx, address, version, put)
		failed <- err
		return err
	}
	p := startWatcher(t, w)
	s.call(t, 0).begin(listText(1, true, entryText("a", "active", 0)))
	receiveWithin(t, "the first list", p.updates)
	exhausted.Store(true)
	p.advance(watchtimer.PushedSilenceTimeout) // another call is made beside the silent one
	for range 3 {
		if err := receiveWithin(t, "a call without a descriptor", failed); !errors.Is(err, syscall.EMFILE) {
			t.Fatalf("the call ended by %v, want EMFILE", err)
		}
		p.advance(pushedRetryInterval)
	}
	_ = receiveWithin(t, "a call without a descriptor", failed)
	exhausted.Store(false)
	files.release(t)
	p.advance(pushedRetryInterval)
	s.call(t, 1).begin(listText(2, false, entryText("a", "leaving", 0)))
	for {
		if n := receiveWithin(t, "the drain", p.updates); n.Kind != policy.ListFailed {
			if statesOf(n) != "a:draining" {
				t.Errorf("update %+v", n)
			}
			return
		}
	}
}
