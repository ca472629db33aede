#!/bin/sh
# See claim.txt. Exit codes: 0 the rule held, 1 it was broken, 2 the case could not run. TROUBLE=0: without the disruption.
here=$(cd "$(dirname "$0")" && pwd)
name=UnansweredUpload
. "$here/../case.sh"
