package iscsi

import (
	"testing"
	"time"

	"wheatsaddle/policy"
)

// keyedSettings returns settings in which writes are idempotent by key with the given scope, and wait for two seconds at most.
func keyedSettings(scope policy.DedupScope) policy.Settings {
	const objective = 1000 // ms
	set := testSettings(objective)
	set.ClientsKeepKeys = true // as the platform's clients do
	set.Classes[1].DedupScope, set.Classes[1].DedupWindow = scope, 2500
	return set
}

// inSequence returns the reaction to each command: the last one applies to all that follow.
func inSequence(reactions ...reaction) func(int) reaction {
	return func(command int) reaction { return reactions[min(command, len(reactions))-1] }
}

// Guards against BUSY for a write that may have run: the initiator repeats it under a new key, so that it runs a second time.
func TestWriteThatMayHaveRunIsNotAnsweredWithBusy(t *testing.T) {
	notReady := reaction{status: statusCheckCondition, sense: sense{senseNotReady, 0x0401}.encodeFixed()}
	busy := reaction{status: statusBusy}
	for name, x := range map[string]struct {
		reactions []reaction
		executed  int
	}{
		"reset, then no login":     {[]reaction{{executes: true, ending: falls}}, 1},
		"reset, then busy":         {[]reaction{{executes: true, ending: cuts}, busy}, 1},
		"reset, then not ready":    {[]reaction{{executes: true, ending: cuts}, notReady}, 1},
		"reset without execution":  {[]reaction{{ending: falls}}, 0},
		"sense, then busy":         {[]reaction{{executes: true, status: statusCheckCondition, sense: senseMayRepeat.encodeFixed()}, busy}, 1},
		"busy, then reset":         {[]reaction{busy, {executes: true, ending: falls}}, 1},
		"not ready, reset, busy":   {[]reaction{notReady, {executes: true, ending: cuts}, busy}, 1},
		"silence":                  {[]reaction{{executes: true, ending: hangs}}, 1},
		"silence, runs afterwards": {[]reaction{{delay: 2500 * time.Millisecond, executes: true, ending: hangs}}, 0},
		"each attempt is reset":    {[]reaction{{executes: true, ending: cuts}}, 1},
	} {
		for scope, word := range map[policy.DedupScope]string{policy.DedupAll: "all", policy.DedupZone: "zone", policy.DedupShard: "cell"} {
			t.Run(name+", "+word, func(t *testing.T) {
				t.Parallel()
				target := newFakeTarget(t)
				target.react = inSequence(x.reactions...)
				env := newTestEnvWithSettings(t, keyedSettings(scope), true, target)
				e := env.initiator(t).write(0, pattern(1024))
				_, executed := env.counts()
				if e.status != statusCheckCondition || e.senseKey != senseHardware || executed != x.executed {
					t.Errorf("ended with status 0x%x, sense key %x after %d executions, want HARDWARE ERROR after %d", e.status, e.senseKey, executed, x.executed)
				}
			})
		}
	}
}

// A write that certainly did not run is rejected, so that its initiator can repeat it.
func TestWriteThatNeverRanIsAnsweredWithBusy(t *testing.T) {
	for name, reactions := range map[string][]reaction{
		"busy":           {{status: statusBusy}},
		"task set full":  {{status: statusTaskSetFull}},
		"not ready":      {{status: statusCheckCondition, sense: sense{senseNotReady, 0x0401}.encodeFixed()}},
		"unit attention": {{status: statusCheckCondition, sense: sense{senseUnitAttention, 0x2900}.encodeFixed()}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			target := newFakeTarget(t)
			target.react = inSequence(reactions...)
			env := newTestEnvWithSettings(t, keyedSettings(policy.DedupAll), true, target)
			if e := env.initiator(t).write(0, pattern(1024)); e.status != statusBusy {
				t.Errorf("ended with status 0x%x, sense key %x, want BUSY", e.status, e.senseKey)
			}
		})
	}
	t.Run("no login", func(t *testing.T) {
		target := newFakeTarget(t)
		target.cutStage, target.cutsLeft = cutLogin, 1000
		env := newTestEnvWithSettings(t, keyedSettings(policy.DedupAll), true, target)
		if e := env.initiator(t).write(0, pattern(1024)); e.status != statusBusy {
			t.Errorf("ended with status 0x%x, sense key %x, want BUSY", e.status, e.senseKey)
		}
	})
}

// Guards against passing on that a write was not performed, which a storage target says of a later attempt, after an attempt that may
// have run.
func TestNotPerformedIsNotPassedOnAfterAPossibleRun(t *testing.T) {
	conflict := reaction{status: statusConflict}
	illegal := reaction{status: statusCheckCondition, sense: senseOutOfRange.encodeFixed()}
	protected := reaction{status: statusCheckCondition, sense: senseProtected.encodeFixed()}
	ran := reaction{executes: true, ending: cuts}
	for name, x := range map[string]struct {
		reactions        []reaction
		status, senseKey byte
	}{
		"reset, then conflict":        {[]reaction{ran, conflict}, statusCheckCondition, senseHardware},
		"reset, then illegal request": {[]reaction{ran, illegal}, statusCheckCondition, senseHardware},
		"reset, then data protect":    {[]reaction{ran, protected}, statusCheckCondition, senseHardware},
		"reset, busy, then conflict":  {[]reaction{ran, {status: statusBusy}, conflict}, statusCheckCondition, senseHardware},
		"conflict at once":            {[]reaction{conflict}, statusConflict, 0},
		"busy, then illegal request":  {[]reaction{{status: statusBusy}, illegal}, statusCheckCondition, senseIllegalRequest},
	} {
		for scope, word := range map[policy.DedupScope]string{policy.DedupAll: "all", policy.DedupShard: "cell"} {
			t.Run(name+", "+word, func(t *testing.T) {
				t.Parallel()
				target := newFakeTarget(t)
				target.react = inSequence(x.reactions...)
				env := newTestEnvWithSettings(t, keyedSettings(scope), true, target)
				if e := env.initiator(t).write(0, pattern(1024)); e.status != x.status || e.senseKey != x.senseKey {
					t.Errorf("ended with status 0x%x, sense key %x, want 0x%x, %x", e.status, e.senseKey, x.status, x.senseKey)
				}
			})
		}
	}
}

// Guards against BUSY for a command that may have run and may be repeated, which says that it was not accepted: it gets ABORTED COMMAND,
// after which initiators repeat it as well.
func TestRepeatableCommandThatMayHaveRunIsNotAnsweredWithBusy(t *testing.T) {
	ran, busy := reaction{executes: true, ending: cuts}, reaction{status: statusBusy}
	for name, x := range map[string]struct {
		reactions        []reaction
		status, senseKey byte
	}{
		"reset, then busy":         {[]reaction{ran, busy}, statusCheckCondition, senseAborted},
		"reset, then no login":     {[]reaction{{executes: true, ending: falls}}, statusCheckCondition, senseAborted},
		"reset, then conflict":     {[]reaction{ran, {status: statusConflict}}, statusCheckCondition, senseHardware},
		"silence":                  {[]reaction{{executes: true, ending: hangs}}, statusCheckCondition, senseAborted},
		"busy":                     {[]reaction{busy}, statusBusy, 0},
		"busy, then reset, silent": {[]reaction{busy, ran, {ending: hangs}}, statusCheckCondition, senseAborted},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			set := testSettings(1000)
			set.Classes[1].Effect = policy.Idempotent
			target := newFakeTarget(t)
			target.react = inSequence(x.reactions...)
			env := newTestEnvWithSettings(t, set, false, target)
			if e := env.initiator(t).write(0, pattern(1024)); e.status != x.status || e.senseKey != x.senseKey {
				t.Errorf("a write ended with status 0x%x, sense key %x, want 0x%x, %x", e.status, e.senseKey, x.status, x.senseKey)
			}
		})
		t.Run(name+", read", func(t *testing.T) {
			t.Parallel()
			target := newFakeTarget(t)
			target.react = inSequence(x.reactions...)
			env := newTestEnvWithSettings(t, testSettings(1000), false, target)
			want := x.senseKey
			if want == senseHardware {
				want = senseAborted
			}
			if e := env.initiator(t).readBlocks(0, 2); e.status != x.status || e.senseKey != want {
				t.Errorf("a read ended with status 0x%x, sense key %x, want 0x%x, %x", e.status, e.senseKey, x.status, want)
			}
		})
	}
}
