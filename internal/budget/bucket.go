package budget

import "time"

// TokenBucket paces what may be done so often in a second. What is asked for beyond what has
// accumulated waits, and is refused where it would wait too long. Its owner guards it.
type TokenBucket struct {
	rate   float64   // until the next moment, and then
	until  time.Time // what is lent has to be given back at
	base   float64
	burst  float64
	tokens float64 // below 0: what waits
	at     time.Time
}

// NewTokenBucket returns a full bucket.
func NewTokenBucket(rate, burst float64, now time.Time) *TokenBucket {
	return &TokenBucket{rate: rate, base: rate, burst: burst, tokens: burst, at: now}
}

// SetRate has it fill at one rate until a time, and at another one from then on.
func (b *TokenBucket) SetRate(rate float64, until time.Time, base float64, now time.Time) {
	b.advance(now)
	b.rate, b.until, b.base = rate, until, base
}

func (b *TokenBucket) advance(now time.Time) {
	if !now.After(b.at) {
		return
	}
	b.tokens = min(b.burst, b.tokens+b.fills(now))
	b.at = now
}

// fills is how much comes in between the last look and a later time.
func (b *TokenBucket) fills(to time.Time) float64 {
	lent := time.Duration(0)
	if b.until.After(b.at) {
		lent = min(to.Sub(b.at), b.until.Sub(b.at))
	}
	return b.rate*lent.Seconds() + b.base*(to.Sub(b.at)-lent).Seconds()
}

// delay is how long so much more takes to come in.
func (b *TokenBucket) delay(short float64) time.Duration {
	lent := max(0, b.until.Sub(b.at).Seconds())
	if short <= lent*b.rate {
		return time.Duration(short / b.rate * float64(time.Second))
	}
	if b.base <= 0 {
		return forEver
	}
	return time.Duration((lent + (short-lent*b.rate)/b.base) * float64(time.Second))
}

// forEver is longer than anything may wait.
const forEver = time.Hour

// Reserve takes n and returns how long to wait before they are used. It takes nothing and is
// not ok if that would be longer than longest.
func (b *TokenBucket) Reserve(n int, longest time.Duration, now time.Time) (wait time.Duration, ok bool) {
	b.advance(now)
	if short := float64(n) - b.tokens; short > 0 {
		wait = b.delay(short)
	}
	if wait > longest {
		return 0, false
	}
	b.tokens -= float64(n)
	return wait, true
}

// Refund gives back n that were taken and not used.
func (b *TokenBucket) Refund(n int) { b.tokens = min(b.burst, b.tokens+float64(n)) }

// Backlog is how much of what was taken is still to be filled.
func (b *TokenBucket) Backlog(now time.Time) float64 {
	b.advance(now)
	return max(0, -b.tokens)
}
