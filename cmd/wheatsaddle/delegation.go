package main

import (
	"reflect"

	"wheatsaddle/internal/config"
	"wheatsaddle/internal/httpfront"
	"wheatsaddle/internal/scattergather"
)

// maxRequestIDBytes is the length of the longest request id that a process accepts from its clients, including peers.
const maxRequestIDBytes = 128

// openDelegator returns the delegator, which delegates groups of a read's parts to peers. While the settings are unchanged,
// it returns the current one, which has the state of the peers. nil: the section names no other process, and this process
// requests each part itself.
func (g *gatherer) openDelegator(set *config.SiteTree, conf *config.Config) (scattergather.Delegator, error) {
	if err := checkGatherPeers(set, conf); err != nil || set == nil {
		return nil, err
	}
	if g.delegator != nil && reflect.DeepEqual(g.delegatorSettings, set) {
		return g.delegator, nil
	}
	opt := scattergather.CoordinatorOptions{
		Seed:              uint64(conf.Seed),
		MaxConnsPerPeer:   set.MaxConnsPerPeer,
		MaxGroupBytes:     set.MaxGroupBytes,
		MaxRequestIDBytes: maxRequestIDBytes,
		Log:               g.log,
		EncodeRequest:     httpfront.EncodePeerRequest,
		RateLimitedPlans:  map[string]bool{},
		AlivePeers:        g.members,
		Counters:          &g.delegationCounters,
		Rules: scattergather.DelegationRules{
			MinParts:        set.MinParts,
			MaxGroupParts:   set.MaxGroupParts,
			FanOut:          set.FanOut,
			MaxPeerAttempts: set.MaxPeerAttempts,
			SilenceTimeout:  set.SilenceTimeout,
			Backoff:         set.Backoff,
			MaxBackoff:      set.MaxBackoff,
		},
	}
	for _, p := range conf.Settings.Plans {
		opt.RateLimitedPlans[p.Name] = p.RateLimit > 0
	}
	for _, p := range set.Peers {
		if p.Name != conf.Name { // all processes may use the same file
			opt.Peers = append(opt.Peers, scattergather.Peer(p))
		}
	}
	if len(opt.Peers) == 0 {
		return nil, nil
	}
	coordinator, err := scattergather.NewCoordinator(opt) // the previous coordinator need not be closed: without reads it has neither a goroutine nor a socket
	if err != nil {
		return nil, err
	}
	g.log.WithField("peers", len(opt.Peers)).Info("parts of gathered reads are delegated to peers")
	return coordinator, nil
}

// checkGatherPeers returns an error if the platform forbids requests between processes.
func checkGatherPeers(set *config.SiteTree, conf *config.Config) error {
	if set != nil && !conf.Settings.MayGossip {
		return &config.KeyError{File: "site", Key: "gather.peers", Problem: "the platform's settings forbid requests between processes (ceilings.peers)"}
	}
	return nil
}
