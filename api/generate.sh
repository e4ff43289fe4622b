#!/usr/bin/env bash
# Regenerates api/rpc from api/proto. Requires protoc on the PATH; the plugin
# versions are pinned in tools/go.mod.
set -euo pipefail
cd "$(dirname "$0")"
plugins=$(mktemp -d)
trap 'rm -rf "$plugins"' EXIT
(cd ../tools && GOWORK=off go build -o "$plugins/" google.golang.org/protobuf/cmd/protoc-gen-go storj.io/drpc/cmd/protoc-gen-go-drpc)
module=github.com/verbenastep/verbenastep/api
PATH="$plugins:$PATH" protoc -I proto \
  --go_out=. --go_opt=module="$module" \
  --go-drpc_out=. --go-drpc_opt=module="$module" \
  proto/verbenastep.proto
