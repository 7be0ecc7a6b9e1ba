package iscsi

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"wheatsaddle/internal/config"
	"wheatsaddle/policy"
)

// reconfigure applies settings to the core and the rules of a file with one writable unit to the target.
func (env *testEnv) reconfigure(t *testing.T, set policy.Settings, writeRule string) {
	t.Helper()
	conf, err := config.ParseISCSI([]byte(fmt.Sprintf(`{"storage":[{"name":"st","addresses":["127.0.0.1:1"],"target":"iqn.st","group":0}],
		"targets":[{"name":%q,"luns":[{"lun":0,"group":0,"volume":"00000000000a0000","plan":"basic","blocks":16,"rules":[{"command":"read","class":"balance-read"},%s]}]}]}`, targetName, writeRule)), set)
	if err != nil {
		t.Fatal(err)
	}
	if err := env.core.Reconfigure(AdaptSettings(set, env.target.conf)); err != nil {
		t.Fatal(err)
	}
	env.target.Reconfigure(conf)
}

// settingsWithWrites returns settings in which writes have the given effect.
func settingsWithWrites(effect policy.Effect) policy.Settings {
	set := testSettings(longObjective)
	set.Classes = append([]policy.Class(nil), set.Classes...)
	set.Classes[1] = policy.Class{Name: "new-record", LatencyObjective: longObjective, Deadline: 2 * longObjective, PriorityWeight: 2, Effect: effect}
	return set
}

const writeRule = `{"command":"write","class":"new-record"}`

// Guards against a class that became unsafe for the settings' other users only: a write that may have run was sent again.
func TestWriteThatBecameUnsafeIsNotRepeated(t *testing.T) {
	env := newTestEnv(t, longObjective, false)
	client := env.initiator(t)
	for _, x := range []struct {
		effect       policy.Effect
		status       byte
		wantExecuted int
	}{{policy.Idempotent, statusGood, 2}, {policy.NonIdempotent, statusCheckCondition, 1}, {policy.Idempotent, statusGood, 2}} {
		env.reconfigure(t, settingsWithWrites(x.effect), writeRule)
		env.mu.Lock()
		env.cutStage, env.cutsLeft = cutExecuted, 1
		env.mu.Unlock()
		_, before := env.counts()
		e := client.write(0, pattern(1024))
		if _, executed := env.counts(); e.status != x.status || executed-before != x.wantExecuted {
			t.Errorf("effect %v: write ended with status 0x%x and ran %d times, want 0x%x and %d", x.effect, e.status, executed-before, x.status, x.wantExecuted)
		}
	}
}

// A write whose data arrive over a change of its class, or of the bounds that it was decoded with, does not run and may be
// repeated. Other changes leave it alone.
func TestWriteOverChangeOfSettings(t *testing.T) {
	deadline, limit, weight, removed := settingsWithWrites(policy.Idempotent), testSettings(longObjective), testSettings(longObjective), testSettings(longObjective)
	deadline.Classes[1].Deadline = 3 * longObjective
	limit.MaxUnits = 5
	weight.Classes[0].PriorityWeight = 7 // of reads
	removed.Classes = removed.Classes[:1]
	for name, x := range map[string]struct {
		set          policy.Settings
		rule         string
		status       byte
		wantExecuted int
	}{
		"unsafe":          {settingsWithWrites(policy.NonIdempotent), writeRule, statusBusy, 0},
		"deadline":        {deadline, writeRule, statusBusy, 0},
		"limit":           {limit, writeRule, statusBusy, 0},
		"class removed":   {removed, strings.Replace(writeRule, "new-record", "balance-read", 1), statusCheckCondition, 0},
		"weight of reads": {weight, writeRule, statusGood, 1},
	} {
		t.Run(name, func(t *testing.T) {
			env := newTestEnv(t, longObjective, false)
			env.reconfigure(t, testSettings(longObjective), writeRule)
			client := env.initiator(t)
			data := pattern(1024)
			itt := client.startWrite(0, data)
			request := client.read()
			env.reconfigure(t, x.set, x.rule)
			client.answerR2T(request, data)
			e := client.awaitResponse(itt, data)
			if _, executed := env.counts(); e.status != x.status || executed != x.wantExecuted {
				t.Errorf("write ended with status 0x%x and ran %d times, want 0x%x and %d", e.status, executed, x.status, x.wantExecuted)
			}
			if e := client.write(0, data); e.status != statusGood {
				t.Errorf("the next write ended with status 0x%x", e.status)
			}
		})
	}
}

// A change keeps the size of a unit and takes its rules; units that the file no longer has keep theirs.
func TestReconfigureTakesRulesOnly(t *testing.T) {
	env := newTestEnv(t, longObjective, false)
	before, _ := env.target.unit(targetName, 0)
	env.reconfigure(t, testSettings(longObjective), `{"command":"write","class":"new-record","deadline_ms":1234}`)
	u, settings := env.target.unit(targetName, 0)
	if len(u.Rules) != 2 || u.Rules[1].Deadline != 1234 || u.Blocks != before.Blocks || settings != env.core.Settings() || settings.Version != 2 {
		t.Errorf("unit %+v of settings %d, want the new rule, %d blocks and settings 2", u.Unit, settings.Version, before.Blocks)
	}
	if other, _ := env.target.unit(targetName, 3); other == nil || len(other.Rules) != 1 || len(before.Rules) != 2 {
		t.Errorf("units after the change: %+v, %+v", other, before)
	}
}

// Guards against an answer that invites a repeat, to a write that may have run under a class that has become unsafe since.
func TestWriteInDoubtOfAClassThatBecameUnsafe(t *testing.T) {
	for name, x := range map[string]struct {
		effect   policy.Effect
		senseKey byte
	}{"unsafe": {policy.NonIdempotent, senseHardware}, "safe as before": {policy.Idempotent, senseAborted}} {
		t.Run(name, func(t *testing.T) {
			env := newTestEnv(t, longObjective, false)
			set := settingsWithWrites(policy.Idempotent)
			set.MaxAttempts = 1
			env.reconfigure(t, set, writeRule)
			client := env.initiator(t)
			itt := env.startDelayedWrite(client, reaction{delay: 300 * time.Millisecond, executes: true, ending: cuts})
			changed := settingsWithWrites(x.effect)
			changed.Classes[0].PriorityWeight = 7
			env.reconfigure(t, changed, writeRule)
			if e := client.awaitResponse(itt, nil); e.senseKey != x.senseKey {
				t.Errorf("the write ended as %+v, want sense key %x", e, x.senseKey)
			}
		})
	}
}
