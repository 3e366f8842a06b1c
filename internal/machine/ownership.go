package machine

import "time"

// tokenBits is the part of a fencing token that an owner may raise by itself; the revision of
// its ownership is above it.
const tokenBits = 20

// Ownership is under which revisions and token this controller commands a machine, and how
// far the machine's worker is known to have followed.
type Ownership struct {
	KeyRev uint64 // revision of the machine's key
	Rev    uint64 // revision of the ownership: the later of the machine's and the shard's key

	reconciled        bool      // no former owner's command can arrive any more
	heartbeatAnswered bool      // by this owner or one before
	raised            uint64    // how often the token was raised under this revision
	seenToken         uint64    // the highest token that the worker has shown
	answersUntil      time.Time // last moment at which anyone may have answered the worker
}

// Token is the fencing token of commands and answers: higher than any former owner's.
func (o *Ownership) Token() uint64 { return o.Rev<<tokenBits + o.raised }

// RaiseToken makes commands that may still be under way harmless as soon as a heartbeat shows
// the new token.
func (o *Ownership) RaiseToken() { o.raised++ }

// Unfenced reports whether an unanswered command may still be under way.
func (o *Ownership) Unfenced() bool { return o.seenToken < o.Token() }

// Reconciled reports whether no former owner's command can arrive any more.
func (o *Ownership) Reconciled() bool { return o.reconciled }

// TakeOver notes that the machine had an owner before, which may go on answering its worker
// until then.
func (o *Ownership) TakeOver(answersUntil time.Time) {
	o.heartbeatAnswered = true
	o.answersUntil = answersUntil
}

// NoteAnswer notes that a heartbeat was answered.
func (o *Ownership) NoteAnswer(now time.Time) {
	o.heartbeatAnswered = true
	o.extendAnswers(now)
}

// extendAnswers notes that the worker's lease counts from now on. An answer that was begun
// earlier and given later must not set the bound back: the lease would be taken for over while
// it runs.
func (o *Ownership) extendAnswers(now time.Time) {
	if now.After(o.answersUntil) {
		o.answersUntil = now
	}
}

// noteToken takes in the token that a heartbeat shows, and returns whether it reconciles the
// machine: its worker has seen a token of this ownership.
func (o *Ownership) noteToken(token uint64, now time.Time) (reconciled bool) {
	o.seenToken = max(o.seenToken, token)
	if o.reconciled || token < o.Rev<<tokenBits {
		return false
	}
	o.reconciled, o.answersUntil = true, now
	return true
}
