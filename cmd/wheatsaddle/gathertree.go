package main

import (
	"reflect"

	"wheatsaddle/internal/config"
	"wheatsaddle/internal/httpfront"
	"wheatsaddle/internal/scattergather"
)

// maxRequestIDBytes is the longest request id that a process accepts of its clients, of which a peer is one.
const maxRequestIDBytes = 128

// openTree opens the tree of processes that share the parts of a read. While its settings are unchanged, the current tree
// stays with its state of the peers. nil: the section names no other process, and this one requests each part itself.
func (g *gatherer) openTree(set *config.SiteTree, conf *config.Config) (scattergather.Grouper, error) {
	if err := checkGatherPeers(set, conf); err != nil || set == nil {
		return nil, err
	}
	if g.tree != nil && reflect.DeepEqual(g.treeSettings, set) {
		return g.tree, nil
	}
	opt := scattergather.TreeOptions{
		Seed:      uint64(conf.Seed),
		Conns:     set.MaxConnsPerPeer,
		BytesMost: set.MaxGroupBytes,
		IDMost:    maxRequestIDBytes,
		Log:       g.log,
		Request:   httpfront.EncodePeerRequest,
		Limited:   map[string]bool{},
		Alive:     g.members,
		Tally:     &g.tally,
		Rules: scattergather.TreeRules{
			LeastParts: set.MinParts,
			GroupMost:  set.MaxGroupParts,
			FanOut:     set.FanOut,
			Copies:     set.MaxPeerAttempts,
			Silent:     set.SilenceTimeout,
			Rest:       set.Backoff,
			RestMax:    set.MaxBackoff,
		},
	}
	for _, p := range conf.Settings.Plans {
		opt.Limited[p.Name] = p.RateLimit > 0
	}
	for _, p := range set.Peers {
		if p.Name != conf.Name { // one file may serve all processes
			opt.Peers = append(opt.Peers, scattergather.Peer(p))
		}
	}
	if len(opt.Peers) == 0 {
		return nil, nil
	}
	tree, err := scattergather.OpenTree(opt) // a tree without reads has no goroutine and no socket: the previous one needs no close
	if err != nil {
		return nil, err
	}
	g.log.WithField("peers", len(opt.Peers)).Info("parts of gathered reads are delegated to peers")
	return tree, nil
}

// checkGatherPeers returns an error if the platform forbids requests between processes.
func checkGatherPeers(set *config.SiteTree, conf *config.Config) error {
	if set != nil && !conf.Settings.MayGossip {
		return &config.KeyError{File: "site", Key: "gather.peers", Problem: "the platform's settings forbid that processes ask each other (ceilings.peers)"}
	}
	return nil
}
