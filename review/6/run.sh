#!/usr/bin/env bash
# Runs the case; see claim.txt. TROUBLE=0: the same with two tenants with ASCII names.
set -uo pipefail
cd "$(dirname "$0")/../.."
exec timeout -k 5 115 java -Xmx128m -cp target/review-2 TenantNames . review/6/record.txt
