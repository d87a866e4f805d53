/* Counters of one process. The list is the one source of the enum, the names
   in the dump and in /metrics, and the help texts.  */
#ifndef COUNTER_H
#define COUNTER_H

#include <glib.h>
#include <json-glib/json-glib.h>

/* X (NAME, "name", "help") */
#define COUNTER_LIST(X)                                                        \
  X (REQUESTS, "requests", "callers' requests accepted for routing")           \
  X (ANSWERED, "answered", "requests answered in full")                        \
  X (REJECTED, "refused", "requests refused before they ran")                  \
  X (FAILED, "failed", "requests that ended in an error after a start")        \
  X (OUTCOME_UNKNOWN, "outcome_unknown", "answers 'outcome unknown'")          \
  X (CLIENT_DISCONNECTED, "caller_gone", "callers that hung up early")         \
  X (CLIENT_SLOW, "caller_slow", "callers cut for reading or sending slowly")  \
  X (INVALID_REQUEST, "bad_request", "requests with invalid content")          \
  X (UNKNOWN_KEY, "bad_key", "requests with an unknown team key")              \
  X (TOO_LARGE, "too_large", "requests over a size limit")                     \
  X (ATTEMPTS, "attempts", "attempts sent to backend servers")                 \
  X (RETRIES, "retries", "attempts after the first of a request")              \
  X (RETRY_DENIED, "retry_denied", "retries refused by the class's budget")    \
  X (RESUMES, "resumes", "streams resumed on another engine")                  \
  X (CANCELS, "cancels", "attempts cancelled")                                 \
  X (TOKENS, "tokens", "tokens relayed to callers")                            \
  X (TOKENS_WASTED, "tokens_wasted", "tokens generated and thrown away")       \
  X (ENQUEUED, "offers", "tickets offered to cell owners")                     \
  X (GRANTS, "grants", "grants given as a cell owner")                         \
  X (REJECTIONS, "refusals", "tickets refused as a cell owner")                \
  X (EVICTED, "displaced", "waiting tickets displaced by a higher tier")       \
  X (PREEMPTED, "preempted", "running requests preempted")                     \
  X (GRANT_EXPIRED, "grant_expired", "grants not used in time")                \
  X (REENQUEUED, "reoffers", "tickets offered again to a new owner")           \
  X (MOVED, "moved", "waiting tickets moved to a cell with free slots")        \
  X (PAUSES, "pauses", "times that this process was paused")                   \
  X (EJECTIONS, "ejections", "backend servers ejected as outliers")            \
  X (MSG_IN, "msg_in", "messages from other instances")                        \
  X (MSG_OUT, "msg_out", "messages to other instances")                        \
  X (BYTES_IN, "peer_bytes_in", "bytes from other instances")                  \
  X (BYTES_OUT, "peer_bytes_out", "bytes to other instances")                  \
  X (PEER_REJECTED, "peer_rejected", "peer connections turned away")           \
  X (FRAME_INVALID, "frame_bad", "peer frames that could not be read")         \
  X (PLATFORM_READS, "platform_reads", "reads of the object API")              \
  X (PLATFORM_WRITES, "platform_writes", "writes to the object API")           \
  X (PLATFORM_WATCHES, "platform_watches", "watches of the object API")        \
  X (PLATFORM_ERRORS, "platform_errors", "failed calls to the object API")     \
  X (CONFIG_APPLIED, "config_applied", "configuration versions taken over")    \
  X (CONFIG_STALE, "config_stale", "older configuration versions ignored")     \
  X (CONFIG_REJECTED, "config_rejected", "configurations that failed checks")  \
  X (LEDGER_RECORDS, "ledger_intents", "intents recorded")                     \
  X (LEDGER_REPLAYS, "ledger_replays", "answers given from the ledger")        \
  X (LEDGER_WRITES, "ledger_writes", "conditional updates of ledger objects")  \
  X (LEDGER_CONFLICTS, "ledger_conflicts", "conditional updates lost")         \
  X (ORDERS, "orders", "orders sent to engines")                               \
  X (ORDER_CONFLICTS, "order_conflicts", "orders refused as outranked")        \
  X (ORDER_ERRORS, "order_errors", "calls for orders that failed")             \
  X (ADMIN_REQUESTS, "admin_requests", "requests to the administration API")   \
  X (ADMIN_DENIED, "admin_denied", "requests with a wrong operator token")     \
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
  guint64 v[COUNTER_N];
};

const char *counter_name (enum counter_id id);
void counter_set_dump (const struct counter_set *counter_set,
                       JsonBuilder *json);
void counter_set_prometheus (const struct counter_set *counter_set,
                             GString *out);

static inline void
counter_add (struct counter_set *counter_set, enum counter_id id, guint64 n)
{
  counter_set->v[id] += n;
}

#endif
