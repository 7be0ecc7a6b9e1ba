package gathers

// site is the section gather of a site's file.
func site(m Mode, w World) map[string]any {
	classes := map[string]any{}
	for _, class := range []string{listing, top, page} {
		classes[class] = rules(class)
	}
	return map[string]any{"rules": map[string]any{"classes": classes}, "share": share, "again": m.Again, "silent_ms": m.Silent.Milliseconds(),
		"parts_most": w.Shards, "reads_at_once": readsAtOnce}
}
