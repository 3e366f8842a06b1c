package statekv

// RequestClass is a class of requests that can wait. They are admitted only while the controller's
// own share has capacity left (Store.Allow).
type RequestClass int

// Classes of requests.
const (
	// ClassClaim is for claims of machines. They keep tasks alive, so they have a larger share than
	// maintenance.
	ClassClaim RequestClass = iota
	// ClassMaintenance is for changes that only compact or remove keys.
	ClassMaintenance
	// ClassLookup is for reads on behalf of users who ask about jobs that have finished or were
	// never submitted.
	ClassLookup
)

// LookupShare is the fraction of a controller's request share that lookups may use.
const LookupShare = 0.3

// classShares is the fraction that each class may use of the controller's change rate, or of its
// request rate for lookups.
var classShares = [...]float64{ClassClaim: 0.7, ClassMaintenance: 0.5, ClassLookup: LookupShare}

// classBurst is the number of requests of a class that may be sent at once: as many as the changes
// of an ordinary transaction.
const classBurst = 24
