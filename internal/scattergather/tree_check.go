package scattergather

import (
	"encoding/binary"
	"errors"

	"wheatsaddle/gather"
)

// partialCheck reads a peer's partial result through a merge of its own, before the root's has it: there a frame that cannot be
// read would cut the group for good, and no other copy could bring the rest. What is passed on is as a sound peer would have
// sent it, byte for byte, up to the first loss, conflict or nonsense. It knows no wire, clock or goroutine.
type partialCheck struct {
	m     *gather.Merge
	peer  string
	group gather.Part
	most  int   // rows; 0: all
	frame int64 // the largest
	bytes int64 // that may still come

	head [4]byte // of the frame that comes
	have int     // bytes of it
	left int64   // bytes of the frame that are to come
	rows int
	out  []byte
}

// newPartialCheck: rows and bytes are the most of the whole, frame the most of one frame.
func newPartialCheck(r *gather.Rules, peer string, group gather.Part, rows int, frame, bytes int64) (*partialCheck, error) {
	m, err := gather.New(r, []gather.Part{group})
	if err != nil {
		return nil, err
	}
	return &partialCheck{m: m, peer: peer, group: group, most: rows, frame: frame, bytes: bytes}, nil
}

// take gives the next bytes; what it returns may go on and is valid until the next call. The error is how the asking ends:
// *gather.Limited, *PeerLost or *PeerNonsense.
func (c *partialCheck) take(data []byte) (pass []byte, err error) {
	c.out = c.out[:0]
	for len(data) > 0 {
		n := 0
		if w := c.m.Want(); len(w) > 0 && !w[0].Stop {
			n = c.fits(data[:min(len(data), w[0].Bytes)])
		}
		if n == 0 {
			return c.out, c.nonsense("a frame, or all of it, is larger than the rules allow")
		}
		if err := c.m.Add(c.group.ID, 1, data[:n]); err != nil {
			return c.out, c.nonsense(err.Error())
		}
		data = data[n:]
		if err := c.drain(); err != nil {
			return c.out, err
		}
	}
	return c.out, nil
}

// end says that the body ended well: then so must the partial result have.
func (c *partialCheck) end() (pass []byte, err error) {
	c.out = c.out[:0]
	if err := c.m.End(c.group.ID, 1, nil); err != nil {
		return nil, c.nonsense(err.Error())
	}
	err = c.drain()
	if errors.As(err, new(*PeerNonsense)) && c.have == 0 && c.left == 0 { // sound so far
		err = &PeerFailed{c.group.ID, c.peer, "it ended before its end"}
	}
	return c.out, err
}

// fits is how many bytes come next without a frame, or the whole, being too large.
func (c *partialCheck) fits(data []byte) int {
	n := 0
	for n < len(data) && c.bytes > 0 {
		if c.left == 0 {
			c.head[c.have] = data[n]
			if c.have++; c.have == len(c.head) {
				c.have, c.left = 0, int64(binary.BigEndian.Uint32(c.head[:]))
				if c.left > c.frame {
					c.bytes = 0
					return n
				}
			}
			n++
			c.bytes--
			continue
		}
		step := min(c.left, int64(len(data)-n), c.bytes)
		n += int(step)
		c.left -= step
		c.bytes -= step
	}
	return n
}

// drain takes what the merge has read, up to the first frame that must not go on.
func (c *partialCheck) drain() error {
	at := len(c.out)
	c.out, _ = c.m.AppendPartial(c.out, 0)
	for at < len(c.out) {
		next := at + 4 + int(binary.BigEndian.Uint32(c.out[at:]))
		switch c.out[at+4] {
		case 'L', 'C':
			c.out = c.out[:at]
			return c.wrong()
		case 'R', 'G':
			if c.rows++; c.rows == c.most {
				c.out = c.out[:next]
				return &gather.Limited{}
			}
		}
		at = next
	}
	return nil
}

// wrong: what the merge lost, it was told of, or could not read.
func (c *partialCheck) wrong() error {
	why := ""
	for _, p := range c.m.Result().Parts {
		var told *gather.Told
		if !errors.As(p.Why, &told) && p.Why != nil {
			return c.nonsense(p.Why.Error())
		} else if told != nil && why == "" {
			why = told.Error()
		}
	}
	return &PeerLost{c.group.ID, c.peer, why}
}

func (c *partialCheck) nonsense(why string) error { return &PeerNonsense{c.group.ID, c.peer, why} }
