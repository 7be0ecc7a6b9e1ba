package main

import (
	"reflect"

	"wheatsaddle/internal/config"
	"wheatsaddle/internal/httpfront"
	"wheatsaddle/internal/scatter"
)

// idMost is the longest id that a process takes of its clients; a peer is one.
const idMost = 128

// handOn opens the tree over the peers that the section gather names; what is known of them stays while it names the same.
// Where it names none but this process, or none, each part is asked here.
func (g *gatherer) handOn(set *config.SiteTree, conf *config.Config) (scatter.Grouper, error) {
	if err := mayHandOn(set, conf); err != nil || set == nil {
		return nil, err
	}
	if g.tree != nil && reflect.DeepEqual(g.treeSet, set) {
		return g.tree, nil
	}
	opt := scatter.TreeOptions{Seed: uint64(conf.Seed), Conns: set.Connections, BytesMost: set.BytesMost, IDMost: idMost, Log: g.log,
		Request: httpfront.GatherPeer, Limited: map[string]bool{}, Alive: g.alive, Tally: &g.tally,
		Rules: scatter.TreeRules{LeastParts: set.LeastParts, GroupMost: set.GroupMost, FanOut: set.FanOut, Copies: set.Copies, Silent: set.Silent,
			Rest: set.Rest, RestMax: set.RestMost}}
	for _, p := range conf.Settings.Plans {
		opt.Limited[p.Name] = p.Limit > 0
	}
	for _, p := range set.Peers {
		if p.Name != conf.Name { // one file may serve all processes
			opt.Peers = append(opt.Peers, scatter.Peer(p))
		}
	}
	if len(opt.Peers) == 0 {
		return nil, nil
	}
	t, err := scatter.OpenTree(opt) // without reads it holds no goroutine and no socket: what it replaces needs no close
	if err != nil {
		return nil, err
	}
	g.log.WithField("peers", len(opt.Peers)).Info("parts of gathered reads are handed on")
	return t, nil
}

// mayHandOn says whether the platform allows it.
func mayHandOn(set *config.SiteTree, conf *config.Config) error {
	if set != nil && !conf.Settings.MayTell {
		return &config.KeyError{File: "site", Key: "gather.peers", Says: "the platform's settings forbid that processes ask each other (ceilings.peers)"}
	}
	return nil
}
