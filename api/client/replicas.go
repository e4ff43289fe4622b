package client

import (
	"context"
	"net/http"
	"net/url"

	"github.com/verbenastep/verbenastep/api/operator"
)

// Replicas gets the positions of the log's replicas.
func (o *Operator) Replicas(ctx context.Context) ([]operator.Replica, error) {
	out := []operator.Replica{}
	return out, o.call(ctx, http.MethodGet, operator.PathReplicas, nil, &out)
}

// RemoveReplica takes a replica out of the group and gets the positions of all.
func (o *Operator) RemoveReplica(ctx context.Context, name string) ([]operator.Replica, error) {
	out := []operator.Replica{}
	return out, o.call(ctx, http.MethodDelete, operator.PathReplicas+"?name="+url.QueryEscape(name), nil, &out)
}

// Backup gets a snapshot of the durable state.
func (o *Operator) Backup(ctx context.Context) ([]byte, error) {
	out := operator.Backup{}
	err := o.call(ctx, http.MethodGet, operator.PathBackup, nil, &out)
	return out.Snapshot, err
}
