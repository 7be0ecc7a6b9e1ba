package main

import (
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	logtest "github.com/sirupsen/logrus/hooks/test"

	"wheatsaddle/internal/config"
	"wheatsaddle/internal/core"
	"wheatsaddle/internal/httpfront"
	"wheatsaddle/policy"
)

// Guards against a shutdown that ends the requests of the HTTP front only: a session that stays open keeps the process until
// shortly before SIGKILL, and its core answers what is open by then.
func TestShutdownFinishesBothCores(t *testing.T) {
	log, _ := logtest.NewNullLogger()
	f := newFrontPairAt(t, freeAddress(t))
	session, err := net.Dial("tcp", f.iscsi.conf.Listen)
	if err != nil {
		t.Fatal(err)
	}
	defer session.Close()
	for f.iscsi.openSessions() == 0 {
		time.Sleep(time.Millisecond)
	}
	answers := make(chan core.Answer, 1)
	request := &core.Request{Request: policy.Request{ID: "1", Class: "write", Plan: "basic", Units: 1, Shard: 1}, ReceivedAt: time.Now(), Timeout: time.Hour,
		Answer: func(a core.Answer) { answers <- a }}
	f.iscsi.core.Submit(request)
	now := time.Now()
	s := &shutdown{signalSentAt: now, killAt: now.Add(time.Second), core: f.http, iscsi: f.iscsi, log: log,
		front: httpfront.NewServer(f.http, f.settings, 10, log)}
	s.run()
	select {
	case a := <-answers:
		if a.Kind == core.Served {
			t.Errorf("answer %+v without a storage target", a)
		}
	default:
		t.Error("the request of the iSCSI front has no answer at the end of the shutdown")
	}
	if took := time.Since(now); took > time.Second {
		t.Errorf("the shutdown took %v, want less than the time to SIGKILL", took)
	}
}

// frontPair is the cores of both fronts, on one configuration.
type frontPair struct {
	http     *core.Core
	iscsi    *iscsiFront
	file     string
	settings policy.Settings
}

// iscsiText returns a mapping file with one storage target in the given state.
func iscsiText(listen, class, status string) string {
	return fmt.Sprintf(`{"listen":%q,"storage":[{"name":"st","addresses":["127.0.0.1:1"],"target":"iqn.st","group":0,"status":%q}],
"targets":[{"name":"iqn.t","luns":[{"lun":0,"group":0,"volume":"00000000000a0000","plan":"basic","blocks":16,
"rules":[{"command":"read","class":"read"},{"command":"write","class":%q}]}]}]}`, listen, status, class)
}

func newFrontPair(t *testing.T) *frontPair {
	t.Helper()
	return newFrontPairAt(t, "127.0.0.1:0")
}

// newFrontPairAt returns a pair whose iSCSI front listens on the address.
func newFrontPairAt(t *testing.T, listen string) *frontPair {
	t.Helper()
	conf := starterConfig()
	conf.Settings.Classes = append(conf.Settings.Classes, policy.Class{Name: "write", LatencyObjective: 30000, Deadline: 60000, PriorityWeight: 1, Effect: policy.Idempotent})
	log, _ := logtest.NewNullLogger()
	f := &frontPair{file: filepath.Join(t.TempDir(), "iscsi.json"), settings: conf.Settings}
	f.write(t, iscsiText(listen, "write", "active"))
	siteFile := &site{current: &config.Site{}, log: log, addressConfig: &httpfront.AddressConfig{}}
	var err error
	if f.iscsi, err = startISCSI(iscsiOptions{file: f.file, conf: conf, site: siteFile, log: log}); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(f.iscsi.core.Stop)
	if f.http, err = core.New(core.Options{Settings: conf.Settings, Log: log}); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(f.http.Stop)
	return f
}

func (f *frontPair) write(t *testing.T, text string) {
	t.Helper()
	if err := os.WriteFile(f.file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
}

// reconfigure applies settings to both cores.
func (f *frontPair) reconfigure(settings policy.Settings) error {
	return reconfigureCores(f.http.Reconfigure, f.iscsi)(settings)
}

// expect checks the version of both cores and the effect of their class of writes.
func (f *frontPair) expect(t *testing.T, version uint64, effect policy.Effect) {
	t.Helper()
	for front, co := range map[string]*core.Core{"http": f.http, "iscsi": f.iscsi.core} {
		settings := co.Settings()
		if class, _ := settings.Class("write"); settings.Version != version || class.Effect != effect {
			t.Errorf("%s: settings %d with effect %v, want %d with %v", front, settings.Version, class.Effect, version, effect)
		}
	}
}

// withWrites returns the settings with another class of writes.
func (f *frontPair) withWrites(change func(*policy.Class)) policy.Settings {
	settings := f.settings
	settings.Classes = append([]policy.Class(nil), settings.Classes...)
	change(&settings.Classes[1])
	return settings
}

// Guards against settings that reach the core of one front only.
func TestSettingsReachBothCores(t *testing.T) {
	f := newFrontPair(t)
	f.expect(t, 1, policy.Idempotent)
	unsafe := f.withWrites(func(c *policy.Class) { c.Effect = policy.NonIdempotent })
	for version := range uint64(2) { // twice in a row
		if err := f.reconfigure(unsafe); err != nil {
			t.Fatal(err)
		}
		f.expect(t, version+2, policy.NonIdempotent)
	}
	more := f.withWrites(func(c *policy.Class) { c.Deadline = 50000; c.PriorityWeight = 5 })
	more.Classes = append(more.Classes, policy.Class{Name: "added", LatencyObjective: 100, Deadline: 200, PriorityWeight: 1})
	if err := f.reconfigure(more); err != nil {
		t.Fatal(err)
	}
	f.expect(t, 4, policy.Idempotent)
	if _, ok := f.iscsi.core.Settings().Class("added"); !ok {
		t.Error("the iSCSI front's core lacks the added class")
	}
}

// Settings that do not fit the mapping file, or that one core refuses, change nothing in either core.
func TestSettingsReachBothCoresOrNone(t *testing.T) {
	f := newFrontPair(t)
	removed := f.settings
	removed.Classes = removed.Classes[:1]
	var key *config.KeyError
	if err := f.reconfigure(removed); !errors.As(err, &key) {
		t.Errorf("settings without a class of the mapping: %v, want the key", err)
	}
	refused := func(policy.Settings) error { return errors.New("no") }
	unsafe := f.withWrites(func(c *policy.Class) { c.Effect = policy.NonIdempotent })
	if err := reconfigureCores(refused, f.iscsi)(unsafe); err == nil {
		t.Error("no error although the HTTP front's core refused")
	}
	f.expect(t, 1, policy.Idempotent)
}

// A torn mapping file does not keep new settings from either core, and leaves the mapping as it was.
func TestSettingsWithTornMappingFile(t *testing.T) {
	log, hook := logtest.NewNullLogger()
	f := newFrontPair(t)
	text := iscsiText("127.0.0.1:0", "read", "left")
	f.write(t, text[:len(text)/2])
	unsafe := f.withWrites(func(c *policy.Class) { c.Effect = policy.NonIdempotent })
	if err := f.reconfigure(unsafe); err != nil {
		t.Fatal(err)
	}
	f.expect(t, 2, policy.NonIdempotent)
	if f.iscsi.reload(unsafe, log); len(hook.AllEntries()) != 1 || hook.LastEntry().Data["code"] != "config-json" {
		t.Errorf("logged %+v, want the broken file", hook.AllEntries())
	}
	f.write(t, text)
	if f.iscsi.reload(unsafe, log); len(hook.AllEntries()) != 1 || string(f.iscsi.text) != text {
		t.Errorf("logged %+v, want the whole file in effect", hook.AllEntries())
	}
}
