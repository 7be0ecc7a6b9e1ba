package main

import (
	"reflect"

	"wheatsaddle/internal/config"
	"wheatsaddle/internal/httpfront"
	"wheatsaddle/internal/scattergather"
)

// requestIDMost is the longest request id, in bytes, that a process accepts of its clients; a peer is one.
const requestIDMost = 128

// openTree opens the tree of processes that share the parts of a read. The current tree stays, with what it knows of its
// peers, while the settings stay. nil: the section names no other process, and this one asks for each part itself.
func (g *gatherer) openTree(set *config.SiteTree, conf *config.Config) (scattergather.Grouper, error) {
	if err := mayAskPeers(set, conf); err != nil || set == nil {
		return nil, err
	}
	if g.tree != nil && reflect.DeepEqual(g.treeSet, set) {
		return g.tree, nil
	}
	opt := scattergather.TreeOptions{
		Seed:      uint64(conf.Seed),
		Conns:     set.Connections,
		BytesMost: set.BytesMost,
		IDMost:    requestIDMost,
		Log:       g.log,
		Request:   httpfront.EncodePeerRequest,
		Limited:   map[string]bool{},
		Alive:     g.alive,
		Tally:     &g.tally,
		Rules: scattergather.TreeRules{
			LeastParts: set.LeastParts,
			GroupMost:  set.GroupMost,
			FanOut:     set.FanOut,
			Copies:     set.Copies,
			Silent:     set.Silent,
			Rest:       set.Rest,
			RestMax:    set.RestMost,
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
	tree, err := scattergather.OpenTree(opt) // without reads a tree has no goroutine and no socket: the one before needs no close
	if err != nil {
		return nil, err
	}
	g.log.WithField("peers", len(opt.Peers)).Info("parts of gathered reads are handed on")
	return tree, nil
}

// mayAskPeers is an error where the platform forbids that processes ask each other.
func mayAskPeers(set *config.SiteTree, conf *config.Config) error {
	if set != nil && !conf.Settings.MayGossip {
		return &config.KeyError{File: "site", Key: "gather.peers", Says: "the platform's settings forbid that processes ask each other (ceilings.peers)"}
	}
	return nil
}
