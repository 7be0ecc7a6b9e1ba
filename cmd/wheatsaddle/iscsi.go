package main

import (
	"context"
	"fmt"

	"github.com/sirupsen/logrus"

	"wheatsaddle/internal/config"
	"wheatsaddle/internal/core"
	"wheatsaddle/internal/iscsi"
	"wheatsaddle/internal/operr"
	"wheatsaddle/internal/transport"
	"wheatsaddle/policy"
)

// iscsiFront is the iSCSI front. It has its own core, because its storage targets are not nodes of the platform: no new
// object of the platform may ever be placed on one of them. A nil iscsiFront means that the front is off.
type iscsiFront struct {
	file    string
	dialer  *iscsi.Dialer
	core    *core.Core
	target  *iscsi.Target
	sockets int // maximum number of descriptors in use
}

// startISCSI reads the mapping file and serves the iSCSI front.
func startISCSI(file string, conf *config.Config, siteFile *site, log logrus.FieldLogger) (*iscsiFront, error) {
	mapping, err := config.LoadISCSI(file, conf.Settings)
	if err != nil {
		return nil, err
	}
	dialer := iscsi.NewDialer(mapping, mapping.Initiator+conf.Name, milliseconds(conf.ConnectTimeout), log)
	siteFile.iscsi = dialer
	siteFile.apply()
	set := iscsi.AdaptSettings(conf.Settings, mapping)
	co, err := core.New(core.Options{Settings: set, Seed: conf.Seed, NewNodeClient: dialer.NewNodeClient, Log: log})
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
		dialer:  dialer,
		core:    co,
		target:  iscsi.NewTarget(mapping, co, set, log),
		sockets: mapping.Sessions + 2*len(mapping.Storage),
	}
	go func() {
		if err := f.target.Serve(ln); err != nil {
			log.WithFields(operr.Fields(&transport.ListenerEndedError{Front: "iscsi", Address: mapping.Listen, Err: err})).Error("iSCSI front failed")
		}
	}()
	log.WithFields(logrus.Fields{"address": mapping.Listen, "targets": len(mapping.Targets), "storage_targets": len(mapping.Storage)}).Info("serving iSCSI")
	return f, nil
}

// reload reads the storage targets again. A target that is no longer listed gets no new requests.
func (f *iscsiFront) reload(conf *config.Config, log logrus.FieldLogger) {
	if f == nil {
		return
	}
	mapping, err := config.LoadISCSI(f.file, conf.Settings)
	if err != nil {
		log.WithFields(operr.Fields(err)).Warn("reload of the iSCSI file failed, the previous storage targets remain in effect")
		return
	}
	f.dialer.Update(mapping)
	f.core.UpdateList(core.ListUpdate{Kind: policy.ListReceived, Nodes: iscsi.Nodes(mapping)})
}

// shutdown ends the sessions. It returns when ctx ends at the latest.
func (f *iscsiFront) shutdown(ctx context.Context) {
	if f != nil {
		f.target.Shutdown(ctx)
	}
}
