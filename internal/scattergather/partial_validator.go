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
func (v *partialValidator) add(data []byte) (pass []byte, err error) {
	v.valid = v.valid[:0]
	for len(data) > 0 {
		n := 0
		if demands := v.merge.Want(); len(demands) > 0 && !demands[0].Stop {
			n = v.fittingBytes(data[:min(len(data), demands[0].Bytes)])
		}
		if n == 0 {
			return v.valid, v.invalidResult("a frame or the whole result exceeds its size limit")
		}
		if err := v.merge.Add(v.group.ID, 1, data[:n]); err != nil {
			return v.valid, v.invalidResult(err.Error())
		}
		data = data[n:]
		if err := v.drain(); err != nil {
			return v.valid, err
		}
	}
	return v.valid, nil
}

// finish is called at the regular end of the body, where the partial result has to be complete.
func (v *partialValidator) finish() (pass []byte, err error) {
	v.valid = v.valid[:0]
	if err := v.merge.End(v.group.ID, 1, nil); err != nil {
		return nil, v.invalidResult(err.Error())
	}
	err = v.drain()
	if errors.As(err, new(*PeerInvalidResult)) && v.headerBytes == 0 && v.frameBytesLeft == 0 { // valid so far, but truncated
		err = &PeerFailed{v.group.ID, v.peer, "its partial result is truncated"}
	}
	return v.valid, err
}

// fittingBytes returns how many bytes come before a frame or the result exceeds its limit.
func (v *partialValidator) fittingBytes(data []byte) int {
	n := 0
	for n < len(data) && v.bytesLeft > 0 {
		if v.frameBytesLeft == 0 {
			v.header[v.headerBytes] = data[n]
			if v.headerBytes++; v.headerBytes == len(v.header) {
				v.headerBytes, v.frameBytesLeft = 0, int64(binary.BigEndian.Uint32(v.header[:]))
				if v.frameBytesLeft > v.maxFrameBytes {
					v.bytesLeft = 0
					return n
				}
			}
			n++
			v.bytesLeft--
			continue
		}
		step := min(v.frameBytesLeft, int64(len(data)-n), v.bytesLeft)
		n += int(step)
		v.frameBytesLeft -= step
		v.bytesLeft -= step
	}
	return n
}

// drain collects the frames that the merge has read, up to the first frame that must not be passed on.
func (v *partialValidator) drain() error {
	at := len(v.valid)
	v.valid, _ = v.merge.AppendPartial(v.valid, 0)
	for at < len(v.valid) {
		next := at + 4 + int(binary.BigEndian.Uint32(v.valid[at:]))
		switch v.valid[at+4] {
		case 'L', 'C':
			v.valid = v.valid[:at]
			return v.lossError()
		case 'R', 'G':
			if v.rows++; v.rows == v.maxRows {
				v.valid = v.valid[:next]
				return &gather.Limited{}
			}
		}
		at = next
	}
	return nil
}

// lossError returns the error for a part that was lost, was reported lost, or could not be read.
func (v *partialValidator) lossError() error {
	why := ""
	for _, p := range v.merge.Result().Parts {
		var reported *gather.Told
		if !errors.As(p.Why, &reported) && p.Why != nil {
			return v.invalidResult(p.Why.Error())
		} else if reported != nil && why == "" {
			why = reported.Error()
		}
	}
	return &PeerLostParts{v.group.ID, v.peer, why}
}

func (v *partialValidator) invalidResult(why string) error {
	return &PeerInvalidResult{v.group.ID, v.peer, why}
}
