#!/usr/bin/env bash
# A model is named in the language of the site; its weights change and machines are replaced.
exec "$(dirname "$0")/../run-case-2.sh" "$(cd "$(dirname "$0")" && pwd)" ModelName
