package entry

import (
	"testing"

	"go.uber.org/goleak"
)

// TestMain checks that no entry, caller or stream leaves a goroutine behind.
func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}
