#!/bin/bash
# Consumers write their requests through a buffer of 256 bytes, 20 ms apart, well within
# `header_timeout`; their heads have 257 bytes, so that the last byte of the head follows on its own.
# TROUBLE=0: the same, but the heads have 258 bytes.
CASE=4
. "$(dirname "$0")/../common.sh"

start_store "$(store_of 1 1)" "$(store_of 2 1)" "$(store_of 3 1)"
put op/config '{"version":"00000007","limits":{"max_header_bytes":16384,"max_body_bytes":67108864,
"header_timeout":"3000ms","idle_timeout":"15000ms"},"listeners":[{"host":"shop.example","rules":[
{"name":"r-order","kind":"non_idempotent","target_latency":"500ms","priority":1,"public":true,
"match":{"prefix":"/order/"},"action":{"service":"orders","timeout":"1500ms","attempts":2}},
{"name":"r-lookup","kind":"idempotent","target_latency":"400ms","priority":2,"public":true,
"match":{"prefix":"/lookup/"},"action":{"service":"orders","timeout":"1200ms","attempts":2}}]}],
"clusters":[{"name":"orders","health_path":"/health","max_connections":110,"protocol":"h1",
"tls":false,"cold_start":"3s","cold_per_s":11.0}]}'
for zone in 1 2 3; do
  start_instance $zone 1 orders 6 50
  write_settings $zone 1 orders "$(store_of $zone 1)"
  start_node $zone 1
done
for zone in 1 2 3; do wait_ready $zone 1; done
sleep 1

HEAD_BYTES=257
[ "$TROUBLE" = 0 ] && HEAD_BYTES=258
note "TROUBLE=$TROUBLE: heads of $HEAD_BYTES bytes, written in pieces of 256, 20 ms apart"
send() {
  "$STANDIN" send "$(ip 1 1):$OUTBOUND" --count 20 --interval-ms 100 \
    --head-bytes $HEAD_BYTES --write-bytes 256 --gap-ms 20 "$@"
}
# The three kinds of requests in turn: their deadline is 3 s, the timeout of their routes 1.2 or 1.5 s.
send --name empty-order --method POST --path /order/1 > "$TEMP/a"
send --name order --method POST --path /order/2 --body 400 > "$TEMP/b"
send --name lookup --method GET --path /lookup/1 > "$TEMP/c"
cat "$TEMP"/[abc] >> "$RECORD"

total=$(cat "$TEMP"/[abc] | wc -l)
[ "$total" = 60 ] || fail_to_run "only $total requests"
served=$(cat "$TEMP"/[abc] | grep -c ' answered 200 ')
# No answer at 3 s, which is at least 1.3 s past the timeout of the route, though the head came whole
# in under 0.3 s.
unanswered=$(cat "$TEMP"/[abc] | grep -Ec ' (unanswered|closed) ')
refused=$(cat "$TEMP"/[abc] | grep -Ec ' answered (3|400|401|403|404|413|431)')
note "served $served of 60; no answer 0.5 s after the timeout: $unanswered (CONFIG: 8 or more, and over a quarter)"
note "refused with a 4xx though proper: $refused (DENIED: more than 5)"
if [ "$unanswered" -ge 8 ] && [ $((unanswered * 4)) -gt "$total" ]; then note "CONFIG broken"; exit 1; fi
if [ "$refused" -gt 5 ]; then note "DENIED broken"; exit 1; fi
[ "$served" -ge 50 ] || fail_to_run "too few requests were served"
note "rules held"
