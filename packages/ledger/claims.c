#include "ledger/claims.h"
#include "base/json_add.h"

#include <string.h>

#define RESEND_MAX_US (8 * CLK_S)
/* Between results that are sent again after the first acknowledgement. */
#define RECHECK_INTERVAL_US (20 * CLK_S)

/* States of a claim. X (NAME, "name") */
#define CLAIM_STATES(X)                                                        \
  X (REJECTED, "refused")  /* too many claims; to be reported */               \
  X (REQUESTED, "asking")  /* record sent; waits for a verdict */              \
  X (RUNNING, "running")   /* the request may be sent */                       \
  X (COMPLETING, "ending") /* the response is to be stored */                  \
  X (RELEASING, "freeing") /* unsent; the key is to be released */             \
  X (RELEASED, "freed")    /* unsent; a late RECORDED may come */

enum claim_state
{
#define CLAIM_ENUM(id, name) CLAIM_##id,
  CLAIM_STATES (CLAIM_ENUM)
#undef CLAIM_ENUM
      CLAIM_STATE_N
};

struct claim
{
  guint64 record_id;
  guint64 request; /* in REJECTED, REQUESTED and RUNNING */
  enum claim_state state;
  guint8 key[MSG_KEY_BYTES];
  guint8 body_digest[MSG_KEY_BYTES];
  gint64 state_since;     /* start of STATE, clock time */
  gint64 next_send_at;    /* of the next message, clock time */
  gint64 resend_interval; /* microseconds; doubles */
  guint records_sent;     /* number of messages sent */
  guint32 status;
  char *content_type; /* in COMPLETING, owned */
  gsize content_type_n;
  char *response_body; /* in COMPLETING, owned */
  gsize response_body_n;
};

struct claims
{
  struct claims_options options;
  guint64 last_record_id;
  GHashTable *by_record_id; /* owned */
  GHashTable *by_request;   /* borrowed */
};

static void
claim_free (gpointer p)
{
  struct claim *claim = p;
  g_free (claim->content_type);
  g_free (claim->response_body);
  g_free (claim);
}

/* Returns a client without claims that the caller frees by claims_free.  */
struct claims *
claims_new (const struct claims_options *options)
{
  struct claims *claims = g_new0 (struct claims, 1);
  claims->options = *options;
  claims->by_record_id
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, claim_free);
  claims->by_request = g_hash_table_new (g_int64_hash, g_int64_equal);
  return claims;
}

void
claims_free (struct claims *claims)
{
  if (!claims)
    return;
  g_hash_table_unref (claims->by_request);
  g_hash_table_unref (claims->by_record_id);
  g_free (claims);
}

static void
send_record (struct claims *claims, struct claim *claim)
{
  struct msg_ledger_record record
      = { .incarnation = claims->options.incarnation,
          .record_id = claim->record_id };
  memcpy (record.key, claim->key, MSG_KEY_BYTES);
  memcpy (record.body_digest, claim->body_digest, MSG_KEY_BYTES);
  claim->records_sent++;
  claims->options.send_record (claims->options.ctx, &record);
}

static void
send_result (struct claims *claims, const struct claim *claim)
{
  struct msg_ledger_result result = {
    .incarnation = claims->options.incarnation,
    .record_id = claim->record_id,
    .did_not_run = claim->state != CLAIM_COMPLETING,
    .status = claim->status,
    .content_type = { claim->content_type, claim->content_type_n },
    .response_body = { claim->response_body, claim->response_body_n },
  };
  memcpy (result.key, claim->key, MSG_KEY_BYTES);
  claims->options.send_result (claims->options.ctx, &result);
}

/* Enters STATE, in which a message is resent until it is acknowledged.  */
static void
enter_state (struct claims *claims, struct claim *claim, enum claim_state state)
{
  claim->state = state;
  claim->state_since = clk_now (claims->options.clk);
  claim->resend_interval = CLAIMS_RESEND_US;
  claim->next_send_at = claim->state_since + claim->resend_interval;
  if (state == CLAIM_REQUESTED)
    send_record (claims, claim);
  else
    send_result (claims, claim);
}

void
claims_request (struct claims *claims, guint64 request,
                const guint8 key[MSG_KEY_BYTES],
                const guint8 body_digest[MSG_KEY_BYTES])
{
  struct claim *claim = g_new0 (struct claim, 1);
  claim->record_id = ++claims->last_record_id;
  claim->request = request;
  memcpy (claim->key, key, MSG_KEY_BYTES);
  memcpy (claim->body_digest, body_digest, MSG_KEY_BYTES);
  gboolean has_capacity = g_hash_table_size (claims->by_record_id) < CLAIMS_MAX;
  g_hash_table_insert (claims->by_record_id, &claim->record_id, claim);
  g_hash_table_insert (claims->by_request, &claim->request, claim);
  if (has_capacity)
    enter_state (claims, claim, CLAIM_REQUESTED);
}

/* Releases the key of CLAIM in the ledger, which may have its record.  */
static void
release_key (struct claims *claims, struct claim *claim)
{
  g_hash_table_remove (claims->by_request, &claim->request);
  enter_state (claims, claim, CLAIM_RELEASING);
}

/* Keeps unsent CLAIM for CLAIMS_RESULT_TIMEOUT_US, since a paused owner or a
   delayed write may still store its record. RECHECK says that this is likely
   enough to send the result again.  */
static void
keep_released (struct claims *claims, struct claim *claim, gboolean recheck)
{
  g_hash_table_remove (claims->by_request, &claim->request);
  claim->state = CLAIM_RELEASED;
  claim->state_since = clk_now (claims->options.clk);
  claim->next_send_at
      = recheck ? claim->state_since + RECHECK_INTERVAL_US : G_MAXINT64;
}

static void
remove_claim (struct claims *claims, struct claim *claim)
{
  if (g_hash_table_lookup (claims->by_request, &claim->request) == claim)
    g_hash_table_remove (claims->by_request, &claim->request);
  g_hash_table_remove (claims->by_record_id, &claim->record_id);
}

void
claims_withdraw (struct claims *claims, guint64 request)
{
  struct claim *claim = g_hash_table_lookup (claims->by_request, &request);
  if (!claim)
    return;
  if (claim->state == CLAIM_REQUESTED)
    release_key (claims, claim);
  else if (claim->state == CLAIM_REJECTED)
    remove_claim (claims, claim);
}

/* Copies S to *P, to be freed by g_free, and its length to *N.  */
static void
copy_str (struct str s, char **p, gsize *n)
{
  *p = str_dup (s);
  *n = s.n;
}

void
claims_end (struct claims *claims, guint64 request,
            const struct msg_ledger_result *result)
{
  struct claim *claim = g_hash_table_lookup (claims->by_request, &request);
  if (!claim || claim->state != CLAIM_RUNNING)
    return;
  if (!result)
    remove_claim (claims, claim);
  else if (result->did_not_run)
    release_key (claims, claim);
  else
    {
      g_hash_table_remove (claims->by_request, &claim->request);
      claim->status = result->status;
      copy_str (result->content_type, &claim->content_type,
                &claim->content_type_n);
      copy_str (result->response_body, &claim->response_body,
                &claim->response_body_n);
      enter_state (claims, claim, CLAIM_COMPLETING);
    }
}

/* Ends REQUESTED by REPLY, whose verdict is not RECORDED. Releases the key if
   the ledger may have the claim's record.  */
static void
deny (struct claims *claims, struct claim *claim,
      const struct msg_ledger_reply *reply)
{
  guint64 request = claim->request;
  if (reply->unresolved || claim->records_sent > 1)
    release_key (claims, claim);
  else
    keep_released (claims, claim, FALSE);
  claims->options.on_verdict (claims->options.ctx, request, reply);
}

/* Ends REQUESTED because no verdict came in time.  */
static void
time_out (struct claims *claims, struct claim *claim)
{
  deny (claims, claim,
        &(struct msg_ledger_reply){ .incarnation = claims->options.incarnation,
                                    .record_id = claim->record_id,
                                    .verdict = MSG_VERDICT_UNAVAILABLE,
                                    .unresolved = TRUE });
}

static void
handle_reply (struct claims *claims, struct claim *claim,
              const struct msg_ledger_reply *reply)
{
  if (clk_now (claims->options.clk) - claim->state_since
      >= CLAIMS_REPLY_TIMEOUT_US)
    time_out (claims, claim);
  else if (reply->verdict == MSG_VERDICT_RECORDED)
    {
      claim->state = CLAIM_RUNNING;
      claims->options.on_verdict (claims->options.ctx, claim->request, reply);
    }
  else
    deny (claims, claim, reply);
}

/* The ledger has acknowledged the result of CLAIM.  */
static void
on_acknowledged (struct claims *claims, struct claim *claim)
{
  if (claim->state == CLAIM_RELEASING)
    keep_released (claims, claim, TRUE);
  else
    remove_claim (claims, claim);
}

/* Handles a reply from an owner of a shard, in time or late.  */
void
claims_reply (struct claims *claims, const struct msg_ledger_reply *reply)
{
  struct claim *claim
      = g_hash_table_lookup (claims->by_record_id, &reply->record_id);
  if (!claim || reply->incarnation != claims->options.incarnation)
    return;
  switch (claim->state)
    {
    case CLAIM_REQUESTED:
      if (!reply->replies_to_result)
        handle_reply (claims, claim, reply);
      break;
    case CLAIM_COMPLETING:
    case CLAIM_RELEASING:
      if (reply->verdict == MSG_VERDICT_RECORDED)
        send_result (claims, claim);
      else if (reply->replies_to_result)
        on_acknowledged (claims, claim);
      break;
    case CLAIM_RELEASED:
      if (reply->verdict == MSG_VERDICT_RECORDED || reply->unresolved)
        enter_state (claims, claim, CLAIM_RELEASING);
      break;
    default:
      break;
    }
}

static void
resend (struct claims *claims, struct claim *claim)
{
  claim->resend_interval
      = claim->state == CLAIM_RELEASED
            ? RECHECK_INTERVAL_US
            : MIN (2 * claim->resend_interval, RESEND_MAX_US);
  claim->next_send_at = clk_now (claims->options.clk) + claim->resend_interval;
  if (claim->state == CLAIM_REQUESTED)
    send_record (claims, claim);
  else
    send_result (claims, claim);
}

static void
tick_claim (struct claims *claims, struct claim *claim)
{
  gint64 now = clk_now (claims->options.clk);
  gint64 age = now - claim->state_since;
  if (claim->state == CLAIM_RUNNING)
    return;
  if (claim->state == CLAIM_REJECTED)
    deny (claims, claim,
          &(struct msg_ledger_reply){ .verdict = MSG_VERDICT_UNAVAILABLE });
  else if (claim->state == CLAIM_REQUESTED && age >= CLAIMS_REPLY_TIMEOUT_US)
    time_out (claims, claim);
  else if (claim->state != CLAIM_REQUESTED && age >= CLAIMS_RESULT_TIMEOUT_US)
    remove_claim (claims, claim);
  else if (now >= claim->next_send_at)
    resend (claims, claim);
}

/* Resends messages and ends claims whose time is over. The record ids
   are copied first, since on_ledger_reply may end other claims.  */
void
claims_tick (struct claims *claims)
{
  GArray *ids = g_array_new (FALSE, FALSE, sizeof (guint64));
  GHashTableIter iter;
  gpointer id;
  g_hash_table_iter_init (&iter, claims->by_record_id);
  while (g_hash_table_iter_next (&iter, &id, NULL))
    g_array_append_vals (ids, id, 1);
  for (guint i = 0; i < ids->len; i++)
    {
      id = &g_array_index (ids, guint64, i);
      struct claim *claim = g_hash_table_lookup (claims->by_record_id, id);
      if (claim)
        tick_claim (claims, claim);
    }
  g_array_unref (ids);
}

guint
claims_count (const struct claims *claims)
{
  return g_hash_table_size (claims->by_record_id);
}

guint
claims_unacknowledged (const struct claims *claims)
{
  GHashTableIter iter;
  gpointer value;
  guint n = 0;
  g_hash_table_iter_init (&iter, claims->by_record_id);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct claim *claim = value;
      n += claim->state == CLAIM_COMPLETING || claim->state == CLAIM_RELEASING;
    }
  return n;
}

/* Adds one object with the number of claims by state to JSON.  */
void
claims_dump (const struct claims *claims, JsonBuilder *json)
{
  static const char *const names[] = {
#define CLAIM_NAME(id, name) name,
    CLAIM_STATES (CLAIM_NAME)
#undef CLAIM_NAME
  };
  guint n[CLAIM_STATE_N] = { 0 };
  GHashTableIter iter;
  gpointer claim;
  g_hash_table_iter_init (&iter, claims->by_record_id);
  while (g_hash_table_iter_next (&iter, NULL, &claim))
    n[((struct claim *)claim)->state]++;
  json_builder_begin_object (json);
  for (guint i = 0; i < CLAIM_STATE_N; i++)
    {
      json_add_int (json, names[i], n[i]);
    }
  json_builder_end_object (json);
}
