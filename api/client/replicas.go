package client

import (
	"context"
	"net/http"
	"net/url"

	"github.com/verbenastep/verbenastep/api/operator"
)

// Replicas returns the position of each replica of the log.
func (o *Operator) Replicas(ctx context.Context) ([]operator.Replica, error) {
	out := []operator.Replica{}
	return out, o.call(ctx, http.MethodGet, operator.PathReplicas, nil, &out)
}

// RemoveReplica removes a replica from the group and returns the positions of all
// replicas.
func (o *Operator) RemoveReplica(ctx context.Context, name string) ([]operator.Replica, error) {
	out := []operator.Replica{}
	return out, o.call(ctx, http.MethodDelete, operator.PathReplicas+"?name="+url.QueryEscape(name), nil, &out)
}

// Backup returns an encoded snapshot of the durable state.
func (o *Operator) Backup(ctx context.Context) ([]byte, error) {
	out := operator.Backup{}
	err := o.call(ctx, http.MethodGet, operator.PathBackup, nil, &out)
	return out.Snapshot, err
}
