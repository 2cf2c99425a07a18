#!/usr/bin/env bash
# Fails on names of the platform's wire outside platform/; translation has one place.
set -euo pipefail
names='Pollenglade-(Response-Signature|Target-Instance|Tenant-Id|Not-Executed|Server-Load|Caller-Service|Instance-Id)'
names="$names|Api-Key|rows-(tx|get|feed|parts)|RatePerS|WeightedServices|HealthCheckPath|HeartbeatAddr|RetryBudgetRatio"
found=$(git grep -inE "$names" -- packages ':!packages/*/tests' || true)
[ -z "$found" ] && exit 0
printf 'names of the platform outside platform/; translate them there:\n%s\n' "$found" >&2
exit 1
