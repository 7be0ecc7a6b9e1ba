package main

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"testing"

	logtest "github.com/sirupsen/logrus/hooks/test"

	"wheatsaddle/internal/config"
	"wheatsaddle/internal/httpfront"
	"wheatsaddle/policy"
)

// incompleteFile is a configuration without one of its keys.
type incompleteFile struct{ key, text string }

// withoutEachKey returns a configuration without each of its keys in turn, at every depth.
func withoutEachKey(t *testing.T, text string) (files []incompleteFile) {
	t.Helper()
	var root map[string]any
	if err := json.Unmarshal([]byte(text), &root); err != nil {
		t.Fatal(err)
	}
	var walk func(path string, v any)
	walk = func(path string, v any) {
		switch v := v.(type) {
		case map[string]any:
			for _, key := range slices.Sorted(maps.Keys(v)) {
				old := v[key]
				delete(v, key)
				without, err := json.Marshal(root)
				if err != nil {
					t.Fatal(err)
				}
				v[key] = old
				at := strings.TrimPrefix(path+"."+key, ".")
				files = append(files, incompleteFile{at, string(without)})
				walk(at, old)
			}
		case []any:
			for i, entry := range v {
				walk(fmt.Sprintf("%s.%d", path, i), entry)
			}
		}
	}
	walk("", root)
	return files
}

// awaitReload sends SIGHUP and waits until the daemon has read its configuration for the nth time. It reports whether the file
// was accepted.
func (d *daemon) awaitReload(n int) (accepted bool) {
	d.t.Helper()
	const loadedText, failedText = "configuration reloaded", "reload of the configuration failed"
	before, _ := d.countLog("reload")
	loadedBefore, _ := d.countLog(loadedText)
	failedBefore, _ := d.countLog(failedText)
	if loadedBefore+failedBefore != n-1 {
		d.t.Fatalf("%d reloads before reload %d", loadedBefore+failedBefore, n)
	}
	d.signal(syscall.SIGHUP)
	d.awaitLog("reload", before+1)
	loaded, _ := d.countLog(loadedText)
	return loaded > loadedBefore
}

// Guards against a configuration that lacks a key and is taken at SIGHUP, with the key's default as the new limit (review 10).
func TestIncompleteConfigurationAtReloadChangesNothing(t *testing.T) {
	node := newBlockingNode(t)
	d := newDaemon(t, daemonOptions{node: node.address, deadline: 20000})
	d.editFile([2]string{`"memory_mb":192`, `"memory_mb":96`})
	d.startAndWait()
	complete, reloads := d.readFile(), 0
	inFlight := d.dial()
	_, err := io.WriteString(inFlight, readRequest)
	d.must(err)
	<-node.requests
	files := withoutEachKey(t, complete)
	if len(files) < 30 {
		t.Fatalf("the configuration has only %d keys", len(files))
	}
	for _, file := range files {
		reloads++
		d.writeFile(file.text)
		if d.awaitReload(reloads) {
			t.Errorf("the file without %s was taken", file.key)
			continue
		}
		if _, line := d.countLog("reload of the configuration failed"); !strings.Contains(line, file.key) {
			t.Errorf("the log does not name %s: %s", file.key, line)
		}
	}
	close(node.release)
	if code, text, err := inFlight.readResponse(); err != nil || code != 200 || text != "ok" {
		t.Errorf("request in flight: error %v, response %d %s, want 200 ok", err, code, text)
	}
	reloads++
	d.writeFile(strings.Replace(complete, `"cores":1`, `"cores":2`, 1))
	if !d.awaitReload(reloads) {
		t.Error("a complete file was rejected after the incomplete ones")
	}
	if _, line := d.countLog("configuration reloaded"); !strings.Contains(line, "memory_mb=96") || !strings.Contains(line, "cores=2") {
		t.Errorf("the complete file is not in effect: %s", line)
	}
	d.request(d.dial(), strings.Replace(readRequest, "r1", "r2", 1), 200)
}

// Guards against a comparison with the file as of the start: a key that came with a reload must not vanish either.
func TestKeyThatCameWithAReloadMustStay(t *testing.T) {
	d := newDaemon(t, daemonOptions{deadline: 1000})
	d.startAndWait()
	first := d.readFile()
	second := strings.Replace(first, `"may-cancel":true`, `"may-cancel":true,"second-copies":true`, 1)
	for i, x := range []struct {
		text     string
		accepted bool
	}{{second, true}, {first, false}, {second, true}} {
		d.writeFile(x.text)
		if accepted := d.awaitReload(i + 1); accepted != x.accepted {
			t.Errorf("file %d: accepted %v, want %v", i, accepted, x.accepted)
		}
	}
}

// Guards against a site's file of which one section is taken and another is not.
func TestSiteFileIsTakenCompletelyOrNotAtAll(t *testing.T) {
	const siteFormat = `{"addresses":{"delay_ms":%d},"gather":{"reads_at_once":%d,"parts_most":8,"rules":{"classes":{%s}}}}`
	const classRules = `{"order":[{"key":"k","type":"integer"}],"memory":{"bytes":1048576}}`
	file := filepath.Join(t.TempDir(), "site.json")
	write := func(text string) {
		if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	const bothClasses = `"balance-read":` + classRules + `,"listing":` + classRules
	write(fmt.Sprintf(siteFormat, 100, 1, bothClasses))
	current, err := config.LoadSite(file)
	if err != nil {
		t.Fatal(err)
	}
	conf := starterConfig()
	conf.MemoryMB = 192
	conf.Settings.Classes[0].Name = "balance-read"
	conf.Settings.Classes = append(conf.Settings.Classes, policy.Class{Name: "listing", Deadline: 100})
	for _, x := range []struct{ name, text, key string }{
		{"more reads than the memory allows", fmt.Sprintf(siteFormat, 200, 64, bothClasses), "gather.reads_at_once"},
		{"an unknown class", fmt.Sprintf(siteFormat, 200, 1, bothClasses+`,"other":`+classRules), "classes.other"},
		{"without the rules of a class", fmt.Sprintf(siteFormat, 200, 1, `"balance-read":`+classRules), "classes.listing"},
		{"without a section", `{"addresses":{"delay_ms":200}}`, "gather"},
	} {
		log, hook := logtest.NewNullLogger()
		s := &site{file: file, current: current, log: log, addressConfig: &httpfront.AddressConfig{}}
		write(x.text)
		s.reload(conf)
		if s.current != current || len(hook.AllEntries()) != 1 || !strings.Contains(fmt.Sprint(hook.LastEntry().Data), x.key) {
			t.Errorf("%s: taken %v, logged %v, want an error that names %s", x.name, s.current != current, hook.AllEntries(), x.key)
		}
		write(fmt.Sprintf(siteFormat, 300, 2, bothClasses))
		s.reload(conf)
		if s.current == current {
			t.Errorf("%s: a sound file was not taken afterwards: %v", x.name, hook.LastEntry().Data)
		}
	}
}
