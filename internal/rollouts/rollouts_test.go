package rollouts

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/verbenastep/verbenastep/api/fault"
	"github.com/verbenastep/verbenastep/core/rollout"
	"github.com/verbenastep/verbenastep/core/routes"
	"github.com/verbenastep/verbenastep/core/state"
	"github.com/verbenastep/verbenastep/internal/port"
)

// emptyLog is a log without rollouts and without a route table.
type emptyLog struct{}

func (emptyLog) ReadRollouts(context.Context) ([]rollout.Record, state.Publish, error) {
	return nil, state.Publish{}, nil
}

// emptyView is a view without a route table.
type emptyView struct{ port.TableView }

func (emptyView) Routes() *routes.Index { return nil }

// TestOrderBeforeAnyTableMayBeRepeated guards against an order that is taken for malformed, and is
// not sent again, because the cluster has no route table yet.
func TestOrderBeforeAnyTableMayBeRepeated(t *testing.T) {
	s := New(zap.NewNop())
	s.reader, s.view = emptyLog{}, emptyView{}
	_, err := s.Order(context.Background(), "p", "v2", time.Minute)
	f := (*fault.Error)(nil)
	require.ErrorAs(t, err, &f)
	require.Equal(t, fault.Unavailable, f.Kind)
}
