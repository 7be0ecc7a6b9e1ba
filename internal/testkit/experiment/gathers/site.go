package gathers

// peer is an entry of the list of peers.
type peer struct {
	Name    string `json:"name"`
	Address string `json:"address"`
}

// gatherSettings returns the section "gather" of the site file.
func gatherSettings(m Mode, setup Setup, peers []peer) map[string]any {
	classes := map[string]any{}
	for _, class := range []string{classListing, classTop, classPage} {
		classes[class] = mergeRules(class)
	}
	s := map[string]any{"rules": map[string]any{"classes": classes}, "share": mergeTimeShare, "again": m.Retries, "silent_ms": m.SilenceTimeout.Milliseconds(),
		"parts_most": setup.Shards, "reads_at_once": maxConcurrentReads}
	if len(peers) > 0 {
		s["peers"] = peers
		s["tree"] = map[string]any{"least_parts": minDelegatedParts, "fan_out": fanOut, "silent_ms": m.SilenceTimeout.Milliseconds()}
	}
	return s
}
