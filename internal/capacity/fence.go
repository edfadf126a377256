package capacity

// counterBits is the number of low bits of a fencing number that count the orders
// of one revision to one endpoint.
const counterBits = 20

// NextFence returns the fencing number of the next order to an endpoint that last
// accepted the given number. It returns false if the endpoint has seen a newer
// revision than the node, which must not send orders then.
//
// Two nodes may consider themselves an endpoint's owner, for instance after a pause
// of one of them, and no shared counter tells whose order is the later one. The
// endpoint decides: a number is one more than the highest that it has accepted, so
// of two orders that follow the same number only the first is accepted, and an
// order made before the other owner's is refused. The revision is in the high bits,
// so that an order of an older revision never follows one of a newer.
func NextFence(accepted, revision uint64) (uint64, bool) {
	newest := accepted >> counterBits
	switch {
	case newest > revision:
		return 0, false
	case newest == revision:
		return accepted + 1, true
	default:
		return revision<<counterBits | 1, true
	}
}
