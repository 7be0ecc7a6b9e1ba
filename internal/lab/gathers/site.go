package gathers

// site is the section gather of a site's file.
func site(m Mode) map[string]any {
	classes := map[string]any{}
	for _, class := range []string{listing, top, page} {
		classes[class] = map[string]any{"rules": rules(class), "share": share, "again": m.Again, "silent_ms": m.Silent.Milliseconds()}
	}
	return map[string]any{"classes": classes}
}
