package entry

import (
	"testing"

	"go.uber.org/goleak"
)

// TestMain fails if the tests leak goroutines.
func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}
