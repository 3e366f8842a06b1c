package machine

import "time"

// raiseBits is the number of low bits of a fencing token that count the raises by one owner. The
// ownership revision takes the bits above.
const raiseBits = 20

// maxRaises is the highest number of raises that leaves the ownership revision in a token unchanged.
const maxRaises = 1<<raiseBits - 1

// Ownership holds the revisions and the fencing token under which this controller commands a
// machine, and which of its tokens the worker has seen.
type Ownership struct {
	KeyRev uint64 // revision of the machine's key
	Rev    uint64 // ownership revision: the later of the revisions of the machine's key and its shard's key

	reconciled          bool      // whether no command of an earlier owner can take effect any more
	heartbeatAnswered   bool      // whether this or an earlier owner has answered a heartbeat
	raises              uint64    // number of raises of the token under this revision
	fence               uint64    // token that the worker must have shown before a start; 0: the first one
	exhausted           bool      // whether a raise of the token failed because no higher one was left
	seenToken           uint64    // highest token that the worker has shown
	lastPossibleRenewal time.Time // latest time at which any owner may have renewed the worker lease
}

// Token returns the fencing token for commands and answers. It is higher than that of any earlier
// owner.
func (o *Ownership) Token() uint64 { return o.firstToken() + o.raises }

// firstToken returns the lowest token of this ownership.
func (o *Ownership) firstToken() uint64 { return o.Rev << raiseBits }

// lastEarlierToken returns the highest token that an earlier owner can have used.
func (o *Ownership) lastEarlierToken() uint64 { return o.firstToken() - 1 }

// RaiseToken invalidates commands in flight, and holds back starts until the worker has shown the new
// token, which proves that those commands cannot take effect any more. If no higher token is left, it
// holds back starts for the rest of the ownership.
func (o *Ownership) RaiseToken() {
	o.advanceToken()
	o.fence = o.Token()
}

// advanceToken raises the token, if a higher one is left, without holding back starts. The caller must
// not do so while a command is in flight: the worker would reject it.
func (o *Ownership) advanceToken() {
	if o.raises == maxRaises {
		o.exhausted = true
		return
	}
	o.raises++
}

// TokensExhausted reports whether the token could not be raised, so that only a new ownership revision
// makes the machine usable again.
func (o *Ownership) TokensExhausted() bool { return o.exhausted }

// Unfenced reports whether an unanswered command may still take effect.
func (o *Ownership) Unfenced() bool { return o.exhausted || o.AwaitsToken() }

// AwaitsToken reports whether the worker has yet to show a token that invalidates earlier commands.
func (o *Ownership) AwaitsToken() bool { return o.seenToken < max(o.fence, o.firstToken()) }

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
	if o.reconciled || token < o.firstToken() {
		return false
	}
	o.reconciled, o.lastPossibleRenewal = true, now
	return true
}
