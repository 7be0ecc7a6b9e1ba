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

// descriptorExhaustion holds all file descriptors that the process may still open.
type descriptorExhaustion struct {
	oldLimit syscall.Rlimit
	files    []*os.File
}

// exhaust opens files until no file descriptor is left, including descriptors that other tests have released.
func (d *descriptorExhaustion) exhaust(t *testing.T) {
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

// release closes the files and restores the limit.
func (d *descriptorExhaustion) release(t *testing.T) {
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

// A call that fails because no file descriptor is free is retried after the same interval as any failed call.
func TestWatchWithoutFileDescriptors(t *testing.T) {
	service := newScriptedService(t)
	var descriptors descriptorExhaustion
	defer descriptors.release(t)
	var exhausted atomic.Bool
	failed := make(chan error, 10)
	w := &Watcher{Address: service.Addr().String(), Timer: pushedSettings}
	w.openWatch = func(ctx context.Context, address string, version int64, put func(callMessage)) error {
		if !exhausted.Load() {
			return w.runCall(ctx, address, version, put)
		}
		descriptors.exhaust(t)
		err := w.runCall(ctx, address, version, put)
		failed <- err
		return err
	}
	watcher := startWatcher(t, w)
	service.call(t, 0).respond(listText(1, true, entryText("a", "active", 0)))
	receiveWithin(t, "the first list", watcher.updates)
	exhausted.Store(true)
	watcher.advance(watchtimer.PushedSilenceTimeout) // another call is made while the silent one stays open
	for range 3 {
		if err := receiveWithin(t, "a call without a descriptor", failed); !errors.Is(err, syscall.EMFILE) {
			t.Fatalf("the call ended by %v, want EMFILE", err)
		}
		watcher.advance(pushedRetryInterval)
	}
	_ = receiveWithin(t, "a call without a descriptor", failed)
	exhausted.Store(false)
	descriptors.release(t)
	watcher.advance(pushedRetryInterval)
	service.call(t, 1).respond(listText(2, false, entryText("a", "leaving", 0)))
	for {
		if update := receiveWithin(t, "the drain", watcher.updates); update.Kind != policy.ListFailed {
			if statesOf(update) != "a:draining" {
				t.Errorf("update %+v, want the drain", update)
			}
			return
		}
	}
}
