package crash

import "strconv"

const (
	// WholeRequest is the Scope of a whole request, of which callers send copies.
	WholeRequest Scope = 0

	// confirmedScope marks the report without a feature of an endpoint that refuses
	// connections to two nodes.
	confirmedScope Scope = 1

	// maxDepth is the depth from which on parts count as equally deep.
	maxDepth = 126
	// firstAccountPart and firstPart are the Scopes of the first part of a prompt,
	// with its client account and without.
	firstAccountPart Scope = 127
	firstPart        Scope = 255
)

type (
	// Scope orders features by how many requests may have them: a whole request comes
	// first, then the parts of one client account's prompts, then the parts of all
	// prompts, and of either the deepest first.
	Scope uint8

	// Feature is what may be the reason why a request ends endpoints: the request
	// itself, or a part of its prompt.
	Feature struct {
		// ID is a hash that is the same at all nodes.
		ID    uint64
		Scope Scope
	}
)

// AccountPart returns the Scope of a part in the prompts of one client account; its
// depth is 0 for the first part.
func AccountPart(depth int) Scope { return firstAccountPart - Scope(min(depth, maxDepth)) }

// Part returns the Scope of a part in the prompts of all client accounts.
func Part(depth int) Scope { return firstPart - Scope(min(depth, maxDepth)) }

// AllAccounts reports whether it is the scope of a part in the prompts of all client
// accounts.
func (s Scope) AllAccounts() bool { return s > firstAccountPart }

// String returns the kind of feature in logs.
func (s Scope) String() string {
	switch {
	case s == WholeRequest:
		return "request"
	case s.AllAccounts():
		return "part"
	}
	return "account-part"
}

// Print returns the feature's ID as logs show it.
func (f Feature) Print() string { return printText(f.ID) }

// printText returns a feature's ID as logs show it.
func printText(id uint64) string { return strconv.FormatUint(id, 36) }
