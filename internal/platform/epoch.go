package platform

import (
	"fmt"
	"net/http"
	"strconv"
)

// versionBits is how many bits of an ordered version count the changes of a value;
// those above count the platform's restores.
const versionBits = 40

// ordered returns a version that rises when the platform is restored from a copy
// too, after which it gives versions out again.
func ordered(epoch, version uint64) (uint64, error) {
	if version >= 1<<versionBits || epoch >= 1<<(64-versionBits) {
		return 0, fmt.Errorf("%w: version %d of epoch %d", ErrValue, version, epoch)
	}
	return epoch<<versionBits | version, nil
}

// plain returns the epoch and the platform's own version of an ordered one.
func plain(version uint64) (epoch, number uint64) {
	return version >> versionBits, version & (1<<versionBits - 1)
}

// epochOf returns the epoch that a response names, 0 where it names none.
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
