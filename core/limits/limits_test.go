package limits

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// TestRateLimitIsExact offers requests at random times; at no time may more be admitted
// than the burst and the refill allow.
func TestRateLimitIsExact(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := Limits{RequestsPerMinute: rapid.Int64Range(1, 600).Draw(t, "rate")}
		u, now, admitted := Usage{}, time.Duration(0), 0
		for range rapid.IntRange(1, 300).Draw(t, "attempts") {
			now += time.Duration(rapid.IntRange(0, 2000).Draw(t, "pause")) * time.Millisecond
			if _, ok := u.Admit(now, l); ok {
				admitted++
			}
			require.LessOrEqual(t, float64(admitted), burst(l)+now.Minutes()*float64(l.RequestsPerMinute)+1e-6)
		}
	})
}

func TestRequestIsAdmittedAfterRetryDelay(t *testing.T) {
	l := Limits{RequestsPerMinute: 7}
	u := Usage{}
	_, ok := u.Admit(0, l)
	require.True(t, ok)
	denial, ok := u.Admit(0, l)
	require.False(t, ok)
	_, ok = u.Admit(denial.RetryAfter+time.Millisecond, l)
	require.True(t, ok)
}

func TestTokensExpireAfterAnHour(t *testing.T) {
	l := Limits{TokensPerHour: 100}
	u := Usage{}
	u.Spend(0, 100)
	denial, ok := u.Admit(time.Minute, l)
	require.False(t, ok)
	require.Equal(t, "tokens_per_hour", denial.Limit)
	_, ok = u.Admit(time.Minute+denial.RetryAfter, l)
	require.True(t, ok)
	u.Spend(3*time.Hour, -5)
	_, ok = u.Admit(3*time.Hour, l)
	require.True(t, ok)
}

func TestRemoteLimitsAreAQuarterAndAtLeastOne(t *testing.T) {
	require.Equal(t, Limits{RequestsPerMinute: 25, Concurrency: 1}, Limits{RequestsPerMinute: 100, Concurrency: 2}.Remote())
	require.Error(t, Limits{Concurrency: -1}.Validate())
}
