package budget

import "time"

// TokenBucket is a token bucket rate limiter. A reservation that exceeds the available tokens is
// delayed until they accumulate, or rejected if the delay would be too long. It is not safe for
// concurrent use.
type TokenBucket struct {
	rate      float64   // tokens per second before until
	until     time.Time // when the loan that is included in rate ends
	baseRate  float64   // tokens per second after until
	size      float64
	tokens    float64 // negative while reservations wait for tokens
	updatedAt time.Time
}

// maxDelay is the delay of tokens that never accumulate. It is longer than any reservation may
// wait.
const maxDelay = time.Hour

// NewTokenBucket returns a full bucket.
func NewTokenBucket(rate, size float64, now time.Time) *TokenBucket {
	return &TokenBucket{rate: rate, baseRate: rate, size: size, tokens: size, updatedAt: now}
}

// SetRate sets the fill rate until a time and the base rate after it.
func (b *TokenBucket) SetRate(rate float64, until time.Time, baseRate float64, now time.Time) {
	b.advance(now)
	b.rate, b.until, b.baseRate = rate, until, baseRate
}

// Reserve takes n tokens and returns how long the caller has to wait before using them. If the
// delay would exceed longest, it takes nothing and returns false.
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

// Refund returns n tokens that were reserved and not used.
func (b *TokenBucket) Refund(n int) { b.tokens = min(b.size, b.tokens+float64(n)) }

// Backlog returns the number of reserved tokens that have not accumulated yet.
func (b *TokenBucket) Backlog(now time.Time) float64 {
	b.advance(now)
	return max(0, -b.tokens)
}

func (b *TokenBucket) advance(now time.Time) {
	if !now.After(b.updatedAt) {
		return
	}
	b.tokens = min(b.size, b.tokens+b.accumulated(now))
	b.updatedAt = now
}

// accumulated returns the number of tokens that accumulate from the last update to the given time.
func (b *TokenBucket) accumulated(to time.Time) float64 {
	total, atRate := to.Sub(b.updatedAt), time.Duration(0)
	if b.until.After(b.updatedAt) {
		atRate = min(total, b.until.Sub(b.updatedAt))
	}
	return b.rate*atRate.Seconds() + b.baseRate*(total-atRate).Seconds()
}

// delay returns how long the given number of missing tokens takes to accumulate.
func (b *TokenBucket) delay(missing float64) time.Duration {
	atRate := max(0, b.until.Sub(b.updatedAt).Seconds())
	if missing <= atRate*b.rate {
		return time.Duration(missing / b.rate * float64(time.Second))
	}
	if b.baseRate <= 0 {
		return maxDelay
	}
	return time.Duration((atRate + (missing-atRate*b.rate)/b.baseRate) * float64(time.Second))
}
