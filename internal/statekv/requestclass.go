package statekv

// RequestClass is a class of requests that can wait, and so are admitted only while the
// controller's own share has capacity left (Store.Allow).
type RequestClass int

// Classes of requests.
const (
	// ClassClaim is for claims of machines, which keep work alive and so go before maintenance.
	ClassClaim RequestClass = iota
	// ClassMaintenance is for changes that only tidy up: folding and removing keys.
	ClassMaintenance
	// ClassLookup is for reads on behalf of users who ask about jobs that have finished or were
	// never submitted.
	ClassLookup
)

// LookupShare is the part of a controller's requests that lookups may use.
const LookupShare = 0.3

// classShares are the parts of a controller's changes, or for lookups of its requests, that
// each class may use.
var classShares = [...]float64{ClassClaim: 0.7, ClassMaintenance: 0.5, ClassLookup: LookupShare}

// classBurst is how many requests of a class may be made at once: as many as the changes of an
// ordinary transaction.
const classBurst = 24
