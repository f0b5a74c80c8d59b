#!/usr/bin/env bash
# Regenerates the Go code of every schema under api/. Requires protoc (Debian
# package protobuf-compiler). Builds and CI do not require it, because the
# generated code is committed. Schemas with a service also get a twirp client and
# server; those of api/link also get the vtprotobuf codec, which is faster.
set -euo pipefail
cd "$(dirname "$0")/.."

bin=$(mktemp -d)
trap 'rm -rf "$bin"' EXIT
go build -o "$bin/" google.golang.org/protobuf/cmd/protoc-gen-go \
  github.com/twitchtv/twirp/protoc-gen-twirp \
  github.com/planetscale/vtprotobuf/cmd/protoc-gen-go-vtproto
export PATH="$bin:$PATH"

for file in api/*/*.proto; do
  protoc --go_out=. --go_opt=paths=source_relative "$file"
  if grep -q '^service ' "$file"; then
    protoc --twirp_out=. --twirp_opt=paths=source_relative "$file"
  fi
done
protoc --go-vtproto_out=. \
  --go-vtproto_opt=paths=source_relative,features=marshal+unmarshal+size+clone+equal \
  api/link/*.proto
