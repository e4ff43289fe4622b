package client

import (
	"context"
	"net/http"
	"net/url"

	"github.com/verbenastep/verbenastep/api/operator"
)

// StartRollout orders a rollout. It fails with a fault of kind Conflict while another one of
// the pool runs.
func (o *Operator) StartRollout(ctx context.Context, order operator.RolloutOrder) (operator.Rollout, error) {
	out := operator.Rollout{}
	return out, o.call(ctx, http.MethodPost, operator.PathRollout, order, &out)
}

// Rollout returns the last rollout of a pool. It fails with a fault of kind NotFound if there
// was none.
func (o *Operator) Rollout(ctx context.Context, pool string) (operator.Rollout, error) {
	out := operator.Rollout{}
	return out, o.call(ctx, http.MethodGet, operator.PathRollout+"?pool="+url.QueryEscape(pool), nil, &out)
}

// AbortRollout rolls the running rollout of a pool back.
func (o *Operator) AbortRollout(ctx context.Context, pool string) (operator.Rollout, error) {
	out := operator.Rollout{}
	return out, o.call(ctx, http.MethodDelete, operator.PathRollout+"?pool="+url.QueryEscape(pool), nil, &out)
}
