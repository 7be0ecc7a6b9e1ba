package iscsi

// Fields of MODE SENSE (SPC-4) and of the caching mode page (SBC-3).
const (
	modePageMask          = 0x3f
	modePageControlShift  = 6
	modePageCaching       = 0x08
	modePagesAll          = 0x3f
	modeValuesChangeable  = 1
	modeValuesSaved       = 3
	cachingPageLength     = 20
	cachingPageWriteCache = 0x04 // WCE
	modeWriteProtected    = 0x80 // WP
	modeCacheBits         = 0x10 // DPOFUA
)

// modeSense6 returns the parameter data of MODE SENSE(6).
func (u *unit) modeSense6(cdb []byte) ([]byte, *sense) {
	pages, failure := modePages(cdb)
	b := append([]byte{0, 0, u.deviceSpecificParameter(), 0}, pages...)
	b[0] = byte(len(b) - 1)
	return b, failure
}

// modeSense10 returns the parameter data of MODE SENSE(10).
func (u *unit) modeSense10(cdb []byte) ([]byte, *sense) {
	pages, failure := modePages(cdb)
	b := append([]byte{0, 0, 0, u.deviceSpecificParameter(), 0, 0, 0, 0}, pages...)
	be.PutUint16(b, uint16(len(b)-2))
	return b, failure
}

// modePages returns the requested mode pages: the caching page, or none. Its WCE bit is set, as storage targets may hold acknowledged writes
// in a cache; SYNCHRONIZE CACHE reaches them.
func modePages(cdb []byte) ([]byte, *sense) {
	values, page := cdb[2]>>modePageControlShift, cdb[2]&modePageMask
	if values == modeValuesSaved {
		return nil, &senseNoSavedPages
	}
	if page != modePageCaching && page != modePagesAll {
		return nil, nil
	}
	b := make([]byte, cachingPageLength)
	b[0], b[1] = modePageCaching, cachingPageLength-2
	if values != modeValuesChangeable {
		b[2] = cachingPageWriteCache
	}
	return b, nil
}

// deviceSpecificParameter returns the device-specific parameter of the mode parameter header: the WP bit, and DPOFUA, as FUA and DPO are
// passed on to the storage targets.
func (u *unit) deviceSpecificParameter() byte {
	if u.ReadOnly {
		return modeWriteProtected | modeCacheBits
	}
	return modeCacheBits
}
