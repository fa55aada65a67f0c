#!/usr/bin/env bash
# Builds the stand-ins of the scripts. The program of the entry hosts is built by the deploy file's build.
set -eu
cd "$(dirname "$0")/.."
go build -o target/trials review/trials/*.go
