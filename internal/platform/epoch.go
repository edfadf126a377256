package platform

import (
	"fmt"
	"net/http"
	"strconv"
)

// versionBits is the number of low bits of a packed version that hold the
// platform's own version of a value; the bits above hold the epoch, which counts
// the platform's restores.
const versionBits = 40

// packVersion returns a version that also increases when the platform is
// restored from a backup, after which it reuses its own version numbers.
func packVersion(epoch, version uint64) (uint64, error) {
	if version >= 1<<versionBits || epoch >= 1<<(64-versionBits) {
		return 0, fmt.Errorf("%w: version %d of epoch %d", ErrValue, version, epoch)
	}
	return epoch<<versionBits | version, nil
}

// unpackVersion returns the epoch and the platform's own version number.
func unpackVersion(version uint64) (epoch, number uint64) {
	return version >> versionBits, version & (1<<versionBits - 1)
}

// epochOf returns the epoch in a response's headers, 0 if there is none.
func epochOf(h http.Header) (uint64, error) {
	text := h.Get(HeaderEpoch)
	if text == "" {
		return 0, nil
	}
	epoch, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return 0, fmt.Errorf("%w: epoch: %v", ErrValue, err)
	}
	return epoch, nil
}
