package main

import (
	"fmt"
	"os"

	"github.com/sirupsen/logrus"

	"wheatsaddle/internal/config"
	"wheatsaddle/internal/core"
	"wheatsaddle/internal/eventlog"
	"wheatsaddle/internal/handover/runfile"
	"wheatsaddle/internal/iscsi"
	"wheatsaddle/internal/memory"
	"wheatsaddle/internal/operr"
	"wheatsaddle/internal/requestid"
	"wheatsaddle/internal/taskset"
	"wheatsaddle/internal/transport"
	"wheatsaddle/policy"
)

// iscsiFront is the iSCSI front. It has its own core, because its storage targets are not nodes of the platform: no new
// object of the platform may ever be placed on one of them. A nil iscsiFront means that the front is off.
type iscsiFront struct {
	file    string
	text    []byte        // the file as it was last accepted
	conf    *config.ISCSI // as of the start
	seed    int64
	dialer  *iscsi.Dialer
	core    *core.Core
	target  *iscsi.Target
	address string // that it listens on
	sockets int    // maximum number of descriptors in use
}

// iscsiOptions are what the iSCSI front takes from the rest of the daemon.
type iscsiOptions struct {
	file   string // of the mapping
	conf   *config.Config
	site   *site
	events *eventlog.Log
	memory *memory.Account
	ids    *requestid.Registry
	log    logrus.FieldLogger
}

// startISCSI reads the mapping file and serves the iSCSI front.
func startISCSI(options iscsiOptions) (*iscsiFront, error) {
	file, conf, siteFile, log := options.file, options.conf, options.site, options.log
	text, err := config.ReadISCSI(file)
	if err != nil {
		return nil, err
	}
	mapping, err := config.ParseISCSI(text, conf.Settings)
	if err != nil {
		return nil, err
	}
	dialer := iscsi.NewDialer(mapping, mapping.Initiator+conf.Name, milliseconds(conf.ConnectTimeout), log)
	dialer.Memory = options.memory
	siteFile.iscsi = dialer
	siteFile.apply()
	set := iscsi.AdaptSettings(conf.Settings, mapping)
	co, err := core.New(core.Options{Settings: set, Seed: conf.Seed, NewNodeClient: dialer.NewNodeClient, Log: log,
		Events: options.events, IDs: options.ids, Memory: options.memory})
	if err != nil {
		return nil, config.Rejected(err)
	}
	dialer.SetListUpdateHandler(co.UpdateList)
	co.UpdateList(core.ListUpdate{Kind: policy.CachedListLoaded, Nodes: iscsi.Nodes(mapping)})
	ln, err := transport.ListenTCP(mapping.Listen)
	if err != nil {
		co.Stop()
		return nil, fmt.Errorf("iscsi: listen: %w", err)
	}
	if ln, err = siteFile.listen("iscsi", ln, nil); err != nil {
		co.Stop()
		return nil, err
	}
	f := &iscsiFront{
		file:    file,
		text:    text,
		conf:    mapping,
		address: ln.Addr().String(),
		seed:    conf.Seed,
		dialer:  dialer,
		core:    co,
		target:  iscsi.NewTarget(mapping, co, dialer, log),
		sockets: mapping.Sessions + 2*len(mapping.Storage),
	}
	f.inheritWrites(log)
	f.target.LimitMemory(options.memory)
	f.target.Events = options.events
	go func() {
		if err := f.target.Serve(ln); err != nil {
			log.WithFields(operr.Fields(&transport.ListenerEndedError{Front: "iscsi", Address: mapping.Listen, Err: err})).Error("iSCSI front failed")
		}
	}()
	log.WithFields(logrus.Fields{"address": mapping.Listen, "targets": len(mapping.Targets), "storage_targets": len(mapping.Storage)}).Info("serving iSCSI")
	return f, nil
}

// iscsiChange is a checked change of the settings, with the mapping file that belongs to them.
type iscsiChange struct {
	settings policy.Settings
	conf     *config.ISCSI
	text     []byte
}

// check prepares a change of the settings, and applies nothing. If the mapping file is broken, the change has the mapping as
// it was last accepted. The error names what does not fit the settings.
func (f *iscsiFront) check(settings policy.Settings) (*iscsiChange, error) {
	if f == nil {
		return nil, nil
	}
	change, err := f.read(settings)
	if err != nil {
		conf, previousErr := config.ParseISCSI(f.text, settings)
		if previousErr != nil {
			return nil, err
		}
		change = &iscsiChange{settings: iscsi.AdaptSettings(settings, f.conf), conf: conf, text: f.text}
	}
	if _, err := policy.New(change.settings, f.seed); err != nil {
		return nil, err
	}
	return change, nil
}

// read reads the mapping file and checks it against the settings and the file in effect.
func (f *iscsiFront) read(settings policy.Settings) (*iscsiChange, error) {
	text, err := config.ReadISCSI(f.file)
	if err != nil {
		return nil, err
	}
	if err := config.CheckRemovedISCSIKeys(f.text, text); err != nil {
		return nil, err
	}
	conf, err := config.ParseISCSI(text, settings)
	if err != nil {
		return nil, err
	}
	return &iscsiChange{settings: iscsi.AdaptSettings(settings, f.conf), conf: conf, text: text}, nil
}

// apply applies a checked change to the core, and then to the commands that arrive from now on. It waits for the core's actor.
func (f *iscsiFront) apply(change *iscsiChange) error {
	if f == nil {
		return nil
	}
	if err := f.core.Reconfigure(change.settings); err != nil {
		return err
	}
	f.adopt(change)
	return nil
}

// adopt applies the mapping file of a change whose settings the core already has.
func (f *iscsiFront) adopt(change *iscsiChange) {
	f.text = change.text
	f.target.Reconfigure(change.conf)
}

// reload reads the mapping file again: the rules, and the storage targets. A target that is no longer listed gets no new
// requests. The settings are those of the core.
func (f *iscsiFront) reload(settings policy.Settings, log logrus.FieldLogger) {
	if f == nil {
		return
	}
	change, err := f.read(settings)
	if err != nil {
		log.WithFields(operr.Fields(err)).Warn("reload of the iSCSI file failed, the previous storage targets remain in effect")
		return
	}
	if change.conf.DeduplicatesWrites != f.conf.DeduplicatesWrites {
		log.WithFields(operr.Fields(&config.RestartError{Keys: "drops_repeats"})).WithField("keys", "drops_repeats").Warn("changed keys need a restart")
	}
	f.adopt(change)
	f.dialer.Update(change.conf)
	f.core.UpdateList(core.ListUpdate{Kind: policy.ListReceived, Nodes: iscsi.Nodes(change.conf)})
}

// stopAccepting closes the listener and asks the initiators to log out.
func (f *iscsiFront) stopAccepting() {
	if f != nil {
		f.target.StopAccepting()
	}
}

// maxSockets returns the maximum number of the front's connections.
func (f *iscsiFront) maxSockets() int {
	if f == nil {
		return 0
	}
	return f.sockets
}

// openSessions returns the number of sessions.
func (f *iscsiFront) openSessions() int {
	if f == nil {
		return 0
	}
	return f.target.OpenSessions()
}

// finish answers the open commands and rejects new ones.
func (f *iscsiFront) finish() {
	if f != nil {
		f.target.Finish()
		f.core.Finish()
	}
}

// inheritWrites tells the front the writes of the process that this one replaces, which may still run.
func (f *iscsiFront) inheritWrites(log logrus.FieldLogger) {
	writes, err := f.readWrites()
	if err != nil {
		log.WithFields(operr.Fields(err)).Error("possible writes of the former process are not known")
		return
	}
	f.target.AddFormerWrites(writes)
	log.WithField("initiators_and_units", len(writes)).Debug("possible writes of the former process are known")
}

func (f *iscsiFront) readWrites() ([]taskset.FormerWrites, error) {
	file, err := runfile.NewWrites(os.TempDir(), f.address)
	if err != nil {
		return nil, err
	}
	return file.Read()
}

// passWritesOn writes those that may still run, for the process that replaces this one. It is called when this one ends.
func (f *iscsiFront) passWritesOn(log logrus.FieldLogger) {
	if f == nil {
		return
	}
	writes := f.target.FormerWrites()
	file, err := runfile.NewWrites(os.TempDir(), f.address)
	if err == nil {
		err = file.Write(writes)
	}
	if err != nil {
		log.WithFields(operr.Fields(err)).Error("possible writes are not passed on")
		return
	}
	log.WithField("initiators_and_units", len(writes)).Debug("possible writes are passed on")
}
