#!/usr/bin/env bash
# Starts the case; see claim.txt. With TROUBLE=0 the disruption is left out.
folder=$(cd "$(dirname "$0")" && pwd)
exec "$folder/../run-case.sh" "$folder" StoreCopyConfig
