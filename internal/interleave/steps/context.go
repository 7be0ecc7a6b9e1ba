package steps

import (
	"context"

	il "wheatsaddle/internal/interleave"
)

// below is what a context's cancel closes: its own channel and those of the contexts made of it here.
type below struct{ list []any }

// lineage is the key under which a context made here has its own and those above it.
type lineage struct{}

// WithCancel is context.WithCancel; under the checker a cancel is one step, which touches what it closes.
// Deadlines are not seen.
func WithCancel(parent context.Context) (context.Context, context.CancelFunc) {
	if !il.On() {
		return context.WithCancel(parent)
	}
	return Root(parent)
}

// Root is WithCancel for a world's own context, which is made before its threads run.
func Root(parent context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(parent)
	own := &below{}
	above, _ := parent.Value(lineage{}).([]*below)
	above = append(above[:len(above):len(above)], own)
	for _, b := range above {
		b.list = append(b.list, key(ctx.Done()))
	}
	return context.WithValue(ctx, lineage{}, above), func() {
		for n := 0; n < len(own.list) && il.On(); { // another may be made of it meanwhile
			n = len(own.list)
			il.Step(il.Op{Kind: "cancel", On: own.list[0], More: own.list[1:]})
		}
		cancel()
	}
}
