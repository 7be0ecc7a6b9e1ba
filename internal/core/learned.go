package core

import (
	"time"

	"wheatsaddle/choice"
)

// Starting is what rations a process's start, until Over. Its methods are called from several
// goroutines and do not block.
type Starting interface {
	Over() bool
	// Admit says of an arrival for a node ("" for any) whether it is turned away at once.
	Admit(node string) (retry time.Duration, refuse bool)
	// Turned words a refusal of the module's for a node: the wait told to the client.
	Turned(node string, wait time.Duration) time.Duration
	// Ended takes the end of an attempt.
	Ended(node string, status choice.Status)
}

// starting is the start as long as it has a say.
func (c *Core) starting() Starting {
	if s := c.opt.Start; s != nil && !s.Over() {
		return s
	}
	return nil
}

// nodeOf is the node that the list has for a shard; "": several or none. The actor's alone.
func (c *Core) nodeOf(shard int) (id string) {
	for _, n := range c.nodes {
		if n.Shard == shard {
			if id != "" {
				return ""
			}
			id = n.ID
		}
	}
	return id
}

// Learned tells what the module learned; false: the actor has ended.
func (c *Core) Learned() (choice.Learned, bool) {
	got := make(chan choice.Learned, 1)
	c.post(message{call: func() { got <- c.mod.Learned() }})
	select {
	case l := <-got:
		return l, true
	case <-c.ended:
		return choice.Learned{}, false
	}
}

// Recall gives the module what an earlier life learned, after the news that were handed over before.
func (c *Core) Recall(l choice.Learned) {
	c.post(message{call: func() {
		c.recalled.Nodes = append(c.recalled.Nodes, l.Nodes...)
		c.recalled.Classes = append(c.recalled.Classes, l.Classes...)
	}})
}

// recall follows each step.
func (c *Core) recall() {
	if len(c.recalled.Nodes)+len(c.recalled.Classes) > 0 {
		c.mod.Recall(c.recalled)
		c.recalled = choice.Learned{}
	}
}
