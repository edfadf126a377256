package capacity

// counterBits is the part of a fencing number that counts the orders of one
// revision to one endpoint.
const counterBits = 20

// NextFence returns the fencing number of the next order to an endpoint that
// has last accepted a given number, and false where the endpoint has seen a
// newer revision than the node, which must not order then.
//
// Two nodes may take themselves for an endpoint's home, one of them woken after
// a pause. No shared counter tells which is the later. The endpoint itself does:
// a number is one more than the highest that it has accepted, so of two orders
// that follow the same number only the first is accepted, and one that was made
// before the other home's order is refused. The revision stands in the high
// bits, so that an order of an older revision never follows one of a newer.
func NextFence(accepted, revision uint64) (uint64, bool) {
	seen := accepted >> counterBits
	switch {
	case seen > revision:
		return 0, false
	case seen == revision:
		return accepted + 1, true
	default:
		return revision<<counterBits | 1, true
	}
}
