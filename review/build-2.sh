#!/usr/bin/env bash
# Builds the stand-ins of the second review. The build of deploy/system.toml comes first.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
go build -o target/review-2/trials review/trials-2/*.go
