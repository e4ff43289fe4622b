package forward

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// TestLateWritesAreBoundedInAll guards against a caller that takes each write within its time and
// so keeps its connection and the entry's memory for minutes after its deadline.
func TestLateWritesAreBoundedInAll(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		deadline := time.Now().Add(time.Second)
		x := &exchange{request: &request{deadline: deadline, holding: newBuffers(1).newHolding(nil)}}
		x.caller.controller, x.caller.writeUntil = http.NewResponseController(httptest.NewRecorder()), deadline
		x.extendWriteDeadline()
		require.Equal(t, deadline, x.caller.writeUntil)
		time.Sleep(time.Second)
		x.extendWriteDeadline()
		require.Equal(t, deadline.Add(minWriteTime), x.caller.writeUntil)
		for range 100 {
			time.Sleep(minWriteTime / 2)
			x.extendWriteDeadline()
		}
		require.Equal(t, deadline.Add(maxLateWriteTime), x.caller.writeUntil)
	})
}
