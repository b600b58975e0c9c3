#!/usr/bin/env bash
# The config names isolated tenants in the language of the site.
exec "$(dirname "$0")/../run-case-2.sh" "$(cd "$(dirname "$0")" && pwd)" TenantNames
