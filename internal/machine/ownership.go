package machine

import "time"

// raiseBits is the number of low bits of a fencing token that count the raises by one owner. The
// ownership revision takes the bits above.
const raiseBits = 20

// Ownership holds the revisions and the fencing token under which this controller commands a
// machine, and which of its tokens the worker has seen.
type Ownership struct {
	KeyRev uint64 // revision of the machine's key
	Rev    uint64 // ownership revision: the later of the revisions of the machine's key and its shard's key

	reconciled          bool      // whether no command of an earlier owner can take effect any more
	heartbeatAnswered   bool      // whether this or an earlier owner has answered a heartbeat
	raises              uint64    // number of raises of the token under this revision
	seenToken           uint64    // highest token that the worker has shown
	lastPossibleRenewal time.Time // latest time at which any owner may have renewed the worker lease
}

// Token returns the fencing token for commands and answers. It is higher than that of any earlier
// owner.
func (o *Ownership) Token() uint64 { return o.Rev<<raiseBits + o.raises }

// RaiseToken invalidates commands in flight. A heartbeat that shows the new token proves that they
// cannot take effect any more.
func (o *Ownership) RaiseToken() { o.raises++ }

// Unfenced reports whether an unanswered command may still take effect.
func (o *Ownership) Unfenced() bool { return o.seenToken < o.Token() }

// Reconciled reports whether no command of an earlier owner can take effect any more.
func (o *Ownership) Reconciled() bool { return o.reconciled }

// RecordTakeover records that the machine had an owner before, which may renew the worker lease
// until lastPossibleRenewal.
func (o *Ownership) RecordTakeover(lastPossibleRenewal time.Time) {
	o.heartbeatAnswered = true
	o.lastPossibleRenewal = lastPossibleRenewal
}

// RecordAnswer records that a heartbeat was answered, which renews the worker lease.
func (o *Ownership) RecordAnswer(now time.Time) {
	o.heartbeatAnswered = true
	o.recordRenewal(now)
}

// recordRenewal records a renewal of the worker lease at the time now. Calls may come out of order,
// because an answer that was started earlier can be given later. Such a call must not move
// lastPossibleRenewal back: the lease would count as expired while it still runs.
func (o *Ownership) recordRenewal(now time.Time) {
	if now.After(o.lastPossibleRenewal) {
		o.lastPossibleRenewal = now
	}
}

// applyToken records the token of a heartbeat, and reports whether it reconciles the machine: it
// does so if it is the first to show a token of this ownership. From then on the worker ignores
// answers of earlier owners, so none of them can renew its lease any more.
func (o *Ownership) applyToken(token uint64, now time.Time) (reconciled bool) {
	o.seenToken = max(o.seenToken, token)
	if o.reconciled || token < o.Rev<<raiseBits {
		return false
	}
	o.reconciled, o.lastPossibleRenewal = true, now
	return true
}
