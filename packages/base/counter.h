/* Event counters of one process. COUNTER_LIST defines the enum, the names in
   the dump and in /metrics, and the help texts.  */
#ifndef COUNTER_H
#define COUNTER_H

#include <glib.h>
#include <json-glib/json-glib.h>

/* X (NAME, "name", "help") */
#define COUNTER_LIST(X)                                                        \
  X (REQUESTS, "requests", "client requests accepted for routing")             \
  X (ANSWERED, "answered", "requests with a complete response")                \
  X (REJECTED, "refused", "requests rejected before they ran")                 \
  X (FAILED, "failed", "requests that failed after an attempt started")        \
  X (OUTCOME_UNKNOWN, "outcome_unknown",                                       \
     "responses with error 'outcome unknown'")                                 \
  X (CLIENT_DISCONNECTED, "caller_gone", "clients that disconnected early")    \
  X (UNANSWERED, "unanswered",                                                 \
     "requests whose connection was closed without a complete response")       \
  X (MEMORY_WAITS, "memory_waits", "request bodies that waited for memory")    \
  X (MEMORY_SHORT, "memory_short",                                             \
     "requests or connections given up as too much memory was kept")           \
  X (UNSENT, "unsent", "connections closed before all output was sent")        \
  X (CLIENT_SLOW, "caller_slow", "clients cut off for slow reads or writes")   \
  X (INVALID_REQUEST, "bad_request", "requests with invalid content")          \
  X (UNKNOWN_KEY, "bad_key", "requests with an unknown team key")              \
  X (TOO_LARGE, "too_large", "requests over a size limit")                     \
  X (ATTEMPTS, "attempts", "attempts sent to backend servers")                 \
  X (RETRIES, "retries", "attempts after a request's first")                   \
  X (RETRY_DENIED, "retry_denied", "retries denied by the class's budget")     \
  X (RESUMES, "resumes", "streams resumed on another engine")                  \
  X (STREAM_REPEATS, "stream_repeats",                                         \
     "resumed servers that began at or before the position")                   \
  X (STREAM_SEARCHES, "stream_searches",                                       \
     "resumed streams whose version had to be searched for")                   \
  X (STREAM_VERSION_REJECTED, "stream_version_refused",                        \
     "resumed streams whose version is unknown or not served any more")        \
  X (VERSION_TABLES, "version_tables", "changes of the table of versions")     \
  X (STREAMS_SAVED, "streams_saved",                                           \
     "times that the versions of streams were saved")                          \
  X (STREAMS_UNSAVED, "streams_unsaved", "failures to save or read them")      \
  X (CANCELS, "cancels", "attempts cancelled")                                 \
  X (TOKENS, "tokens", "tokens relayed to clients")                            \
  X (TOKENS_WASTED, "tokens_wasted", "generated tokens that were discarded")   \
  X (ENQUEUED, "offers", "requests enqueued with shard owners")                \
  X (GRANTS, "grants", "grants issued as a shard owner")                       \
  X (REJECTIONS, "refusals", "requests rejected as a shard owner")             \
  X (EVICTED, "displaced", "queued requests evicted by a higher tier")         \
  X (PREEMPTED, "preempted", "running requests preempted")                     \
  X (GRANT_EXPIRED, "grant_expired", "grants that expired unused")             \
  X (REENQUEUED, "reoffers", "requests enqueued again with a new owner")       \
  X (MOVED, "moved", "queued requests moved to a shard with free slots")       \
  X (PAUSES, "pauses", "detected pauses of this process")                      \
  X (EJECTIONS, "ejections", "backend servers ejected as outliers")            \
  X (SUSPECT_CRASHES, "suspect_crashes",                                       \
     "requests that may have ended the server that they were on")              \
  X (PARTS_HELD, "parts_held",                                                 \
     "requests or parts of prompts held for crashing servers")                 \
  X (PART_REJECTED, "part_refused",                                            \
     "requests rejected as one of these is held")                              \
  X (CRASHES_SAVED, "crashes_saved", "times that crashes were saved")          \
  X (CRASHES_UNSAVED, "crashes_unsaved", "failures to save or load crashes")   \
  X (POOL_RESIZES, "pool_resizes",                                             \
     "changes of the pools of engines for isolated streams")                   \
  X (ISOLATED_STREAMS, "isolated_streams",                                     \
     "attempts of isolated streams sent to their pool")                        \
  X (ISOLATED_OUTSIDE, "isolated_outside",                                     \
     "attempts of isolated streams sent elsewhere")                            \
  X (POOL_PROMPTS, "pool_prompts",                                             \
     "other long prompts sent to a pool for isolated streams")                 \
  X (BACKOFFS, "backoffs", "503 responses of servers with a Retry-After")      \
  X (LIMITS_NAMED, "limits_named", "changes of limits that servers name")      \
  X (LIMITS_INVALID, "limits_invalid",                                         \
     "responses that name a limit that is not valid")                          \
  X (BRITTLE_FULL, "brittle_full", "rejections by brittle servers")            \
  X (CUT_OFF, "cut_offs",                                                      \
     "times that no backend server could be reached, but peers reached some")  \
  X (RELAYED, "relayed", "requests passed on to another instance")             \
  X (MSG_IN, "msg_in", "messages from other instances")                        \
  X (MSG_OUT, "msg_out", "messages to other instances")                        \
  X (BYTES_IN, "peer_bytes_in", "bytes from other instances")                  \
  X (BYTES_OUT, "peer_bytes_out", "bytes to other instances")                  \
  X (PEER_REJECTED, "peer_rejected", "peer connections rejected")              \
  X (FRAME_INVALID, "frame_bad", "invalid frames from peers")                  \
  X (PLATFORM_READS, "platform_reads", "reads of the object API")              \
  X (PLATFORM_WRITES, "platform_writes", "writes to the object API")           \
  X (PLATFORM_WATCHES, "platform_watches", "watches of the object API")        \
  X (PLATFORM_ERRORS, "platform_errors", "failed requests to the object API")  \
  X (STORE_ERAS, "store_eras",                                                 \
     "times that the store came back from an older copy")                      \
  X (CONFIG_APPLIED, "config_applied", "configuration versions applied")       \
  X (CONFIG_WATCHED, "config_watched",                                         \
     "confirmations of a large configuration by a watch")                      \
  X (CONFIG_WHOLE_SENT, "config_whole_sent",                                   \
     "bytes of whole configurations sent to peers")                            \
  X (CONFIG_CHANGES_SENT, "config_changes_sent",                               \
     "bytes of changes of configurations sent to peers")                       \
  X (CONFIG_STALE, "config_stale", "older configuration versions ignored")     \
  X (CONFIG_REJECTED, "config_rejected",                                       \
     "configurations that failed validation")                                  \
  X (LEDGER_RECORDS, "ledger_intents", "write-ahead records stored")           \
  X (LEDGER_REPLAYS, "ledger_replays", "responses replayed from the ledger")   \
  X (LEDGER_WRITES, "ledger_writes", "conditional updates of ledger objects")  \
  X (LEDGER_CONFLICTS, "ledger_conflicts",                                     \
     "conditional updates that lost a race")                                   \
  X (ORDERS, "orders", "orders sent to engines")                               \
  X (ORDER_CONFLICTS, "order_conflicts", "orders rejected as outranked")       \
  X (ORDER_ERRORS, "order_errors", "failed requests that carry orders")        \
  X (SCALE_ACCEPTED, "scale_accepted",                                         \
     "orders for numbers of servers that the platform accepted")               \
  X (SCALE_REFUSED, "scale_refused",                                           \
     "orders for numbers of servers refused for lack of capacity")             \
  X (SCALE_FAILED, "scale_failed",                                             \
     "failed requests that order numbers of servers")                          \
  X (SPOT_RECLAIMS, "spot_reclaims",                                           \
     "times that spot servers of a failure domain were reclaimed")             \
  X (DUTIES_ACQUIRED, "duties_acquired",                                       \
     "times that this instance became the holder of the duties")               \
  X (DUTIES_LOST, "duties_lost", "times that it ceased to be")                 \
  X (DUTY_CALLS_FAILED, "duty_calls_failed",                                   \
     "usage reports and server orders without success")                        \
  X (ADMIN_REQUESTS, "admin_requests", "requests to the administration API")   \
  X (ADMIN_DENIED, "admin_denied", "requests with a wrong operator token")     \
  X (USAGE_MSG_IN, "usage_msg_in", "messages about usage from instances")      \
  X (USAGE_MSG_OUT, "usage_msg_out", "messages about usage to collectors")     \
  X (USAGE_BYTES_IN, "usage_bytes_in", "bytes of those from instances")        \
  X (USAGE_BYTES_OUT, "usage_bytes_out", "bytes of those to collectors")       \
  X (USAGE_COUNTED, "usage_counted", "requests counted for a team")            \
  X (USAGE_FIXED, "usage_fixed", "windows whose usage report was fixed")       \
  X (USAGE_INCOMPLETE, "usage_incomplete",                                     \
     "of those, fixed without the counts of some instance")                    \
  X (USAGE_REPORTED, "usage_reported", "usage reports accepted")               \
  X (USAGE_MISSED, "usage_missed",                                             \
     "windows not reported: counts lost, or too late")                         \
  X (EXITS_REGION, "exits_region",                                             \
     "requests sent to another domain of the region")                          \
  X (EXITS_REMOTE, "exits_remote", "requests sent to another region")          \
  X (EXIT_BYTES, "exit_bytes", "body bytes of requests sent to other domains") \
  X (EXITS_DENIED, "exits_denied",                                             \
     "requests kept from another region by the budget of its link")            \
  X (LINK_BYTES, "link_bytes", "payload bytes over the link between regions")

enum counter_id
{
#define COUNTER_ENUM(id, name, help) COUNTER_##id,
  COUNTER_LIST (COUNTER_ENUM)
#undef COUNTER_ENUM
      COUNTER_N
};

struct counter_set
{
  guint64 v[COUNTER_N]; /* values */
};

const char *counter_name (enum counter_id id);
void counter_set_dump (const struct counter_set *counters, JsonBuilder *json);
void counter_set_prometheus (const struct counter_set *counters, GString *out);

static inline void
counter_add (struct counter_set *counters, enum counter_id id, guint64 n)
{
  counters->v[id] += n;
}

#endif
