package scattergather

import (
	"encoding/binary"
	"errors"

	"wheatsaddle/gather"
)

// partialValidator reads a peer's partial result through a merge of its own before the coordinator's merge receives it. In the
// coordinator's merge an unreadable frame would end the group for good, and no other attempt could deliver the rest. The validator
// passes bytes on unchanged up to the first loss, conflict or invalid frame. It does no I/O and has no clock or goroutines.
type partialValidator struct {
	merge         *gather.Merge
	peer          string
	group         gather.Part
	maxRows       int // row limit; 0: none
	maxFrameBytes int64
	bytesLeft     int64 // bytes that may still arrive

	header         [4]byte // header of the current frame
	headerBytes    int     // bytes of the header so far
	frameBytesLeft int64   // bytes of the frame that are still to come
	rows           int
	valid          []byte
}

// newPartialValidator returns a validator with limits of the rows and bytes of the result, and of the bytes of one frame.
func newPartialValidator(r *gather.Rules, peer string, group gather.Part, rows int, frame, bytes int64) (*partialValidator, error) {
	m, err := gather.New(r, []gather.Part{group})
	if err != nil {
		return nil, err
	}
	return &partialValidator{merge: m, peer: peer, group: group, maxRows: rows, maxFrameBytes: frame, bytesLeft: bytes}, nil
}

// add validates the next bytes and returns those that may be passed on; they are valid until the next call. The error ends the
// attempt: *gather.Limited, *PeerLostParts or *PeerInvalidResult.
func (c *partialValidator) add(data []byte) (pass []byte, err error) {
	c.valid = c.valid[:0]
	for len(data) > 0 {
		n := 0
		if demands := c.merge.Want(); len(demands) > 0 && !demands[0].Stop {
			n = c.fittingBytes(data[:min(len(data), demands[0].Bytes)])
		}
		if n == 0 {
			return c.valid, c.invalidResult("a frame or the whole result exceeds its size limit")
		}
		if err := c.merge.Add(c.group.ID, 1, data[:n]); err != nil {
			return c.valid, c.invalidResult(err.Error())
		}
		data = data[n:]
		if err := c.drain(); err != nil {
			return c.valid, err
		}
	}
	return c.valid, nil
}

// finish is called at the regular end of the body, where the partial result has to be complete.
func (c *partialValidator) finish() (pass []byte, err error) {
	c.valid = c.valid[:0]
	if err := c.merge.End(c.group.ID, 1, nil); err != nil {
		return nil, c.invalidResult(err.Error())
	}
	err = c.drain()
	if errors.As(err, new(*PeerInvalidResult)) && c.headerBytes == 0 && c.frameBytesLeft == 0 { // valid so far, but truncated
		err = &PeerFailed{c.group.ID, c.peer, "its partial result is truncated"}
	}
	return c.valid, err
}

// fittingBytes returns how many bytes come before a frame or the result exceeds its limit.
func (c *partialValidator) fittingBytes(data []byte) int {
	n := 0
	for n < len(data) && c.bytesLeft > 0 {
		if c.frameBytesLeft == 0 {
			c.header[c.headerBytes] = data[n]
			if c.headerBytes++; c.headerBytes == len(c.header) {
				c.headerBytes, c.frameBytesLeft = 0, int64(binary.BigEndian.Uint32(c.header[:]))
				if c.frameBytesLeft > c.maxFrameBytes {
					c.bytesLeft = 0
					return n
				}
			}
			n++
			c.bytesLeft--
			continue
		}
		step := min(c.frameBytesLeft, int64(len(data)-n), c.bytesLeft)
		n += int(step)
		c.frameBytesLeft -= step
		c.bytesLeft -= step
	}
	return n
}

// drain collects the frames that the merge has read, up to the first frame that must not be passed on.
func (c *partialValidator) drain() error {
	at := len(c.valid)
	c.valid, _ = c.merge.AppendPartial(c.valid, 0)
	for at < len(c.valid) {
		next := at + 4 + int(binary.BigEndian.Uint32(c.valid[at:]))
		switch c.valid[at+4] {
		case 'L', 'C':
			c.valid = c.valid[:at]
			return c.lossError()
		case 'R', 'G':
			if c.rows++; c.rows == c.maxRows {
				c.valid = c.valid[:next]
				return &gather.Limited{}
			}
		}
		at = next
	}
	return nil
}

// lossError returns the error for a part that was lost, was reported lost, or could not be read.
func (c *partialValidator) lossError() error {
	why := ""
	for _, p := range c.merge.Result().Parts {
		var reported *gather.Told
		if !errors.As(p.Why, &reported) && p.Why != nil {
			return c.invalidResult(p.Why.Error())
		} else if reported != nil && why == "" {
			why = reported.Error()
		}
	}
	return &PeerLostParts{c.group.ID, c.peer, why}
}

func (c *partialValidator) invalidResult(why string) error {
	return &PeerInvalidResult{c.group.ID, c.peer, why}
}
