package budget

import "time"

// TokenBucket paces what may be done so often in a second. What is asked for beyond what has
// accumulated waits, and is refused where it would wait too long. Its owner guards it.
type TokenBucket struct {
	rate     float64   // tokens a second up to until
	until    time.Time // when a loan that rate includes ends
	baseRate float64   // from then on
	size     float64
	tokens   float64 // below 0: what waits
	at       time.Time
}

// maxDelay is longer than anything may wait: the delay of what never comes in.
const maxDelay = time.Hour

// NewTokenBucket returns a full bucket.
func NewTokenBucket(rate, size float64, now time.Time) *TokenBucket {
	return &TokenBucket{rate: rate, baseRate: rate, size: size, tokens: size, at: now}
}

// SetRate has it fill at one rate until a time, and at another one from then on.
func (b *TokenBucket) SetRate(rate float64, until time.Time, baseRate float64, now time.Time) {
	b.advance(now)
	b.rate, b.until, b.baseRate = rate, until, baseRate
}

// Reserve takes n tokens and returns how long to wait before they are used. It takes nothing and
// is not ok if that would be longer than longest.
func (b *TokenBucket) Reserve(n int, longest time.Duration, now time.Time) (delay time.Duration, ok bool) {
	b.advance(now)
	if missing := float64(n) - b.tokens; missing > 0 {
		delay = b.delay(missing)
	}
	if delay > longest {
		return 0, false
	}
	b.tokens -= float64(n)
	return delay, true
}

// Refund gives back n tokens that were reserved and not used.
func (b *TokenBucket) Refund(n int) { b.tokens = min(b.size, b.tokens+float64(n)) }

// Backlog is how much of what was reserved has still to come in.
func (b *TokenBucket) Backlog(now time.Time) float64 {
	b.advance(now)
	return max(0, -b.tokens)
}

func (b *TokenBucket) advance(now time.Time) {
	if !now.After(b.at) {
		return
	}
	b.tokens = min(b.size, b.tokens+b.comesIn(now))
	b.at = now
}

// comesIn is how much comes in between the last look and a later time.
func (b *TokenBucket) comesIn(to time.Time) float64 {
	total, atRate := to.Sub(b.at), time.Duration(0)
	if b.until.After(b.at) {
		atRate = min(total, b.until.Sub(b.at))
	}
	return b.rate*atRate.Seconds() + b.baseRate*(total-atRate).Seconds()
}

// delay is how long so many missing tokens take to come in.
func (b *TokenBucket) delay(missing float64) time.Duration {
	atRate := max(0, b.until.Sub(b.at).Seconds())
	if missing <= atRate*b.rate {
		return time.Duration(missing / b.rate * float64(time.Second))
	}
	if b.baseRate <= 0 {
		return maxDelay
	}
	return time.Duration((atRate + (missing-atRate*b.rate)/b.baseRate) * float64(time.Second))
}
