package steps

import (
	"context"

	il "wheatsaddle/internal/interleave"
)

// cancelledChannels are the channels that a context's cancel closes: its own, and those of the contexts derived
// from it by this package.
type cancelledChannels struct{ list []any }

// ancestorsKey is the key of the context value that holds the cancelledChannels of a context and its ancestors.
type ancestorsKey struct{}

// WithCancel is context.WithCancel. Under the checker a cancel is one step, on all channels that it closes.
// Deadlines are not steps.
func WithCancel(parent context.Context) (context.Context, context.CancelFunc) {
	if !il.Active() {
		return context.WithCancel(parent)
	}
	return RootContext(parent)
}

// RootContext is WithCancel for a program's own context, which is made before its threads run.
func RootContext(parent context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(parent)
	ownChannels := &cancelledChannels{}
	ancestors, _ := parent.Value(ancestorsKey{}).([]*cancelledChannels)
	ancestors = append(ancestors[:len(ancestors):len(ancestors)], ownChannels)
	for _, c := range ancestors {
		c.list = append(c.list, channelKey(ctx.Done()))
	}
	return context.WithValue(ctx, ancestorsKey{}, ancestors), func() {
		for n := 0; n < len(ownChannels.list) && il.Active(); { // a context may be derived while the step waits: repeat with its channel
			n = len(ownChannels.list)
			il.Step(il.Op{Kind: "cancel", Object: ownChannels.list[0], OtherObjects: ownChannels.list[1:]})
		}
		cancel()
	}
}
