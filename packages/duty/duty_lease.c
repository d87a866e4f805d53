#include "duty/duty_lease.h"

#include "base/json_add.h"
#include "base/json_text.h"

#include <string.h>

#define RENEWALS_PER_TERM 3
#define RETRY_MIN_US (100 * CLK_MS)
#define RETRY_DOUBLINGS 3
#define RETRY_AFTER_MAX_US (1 * CLK_S)
/* Writes without a response that are kept to be recognized when they take
   effect. */
#define WRITES_MAX 8
#define FIRST_ERA 1   /* of a store that was never restored, or 0 */
#define NONCE_BITS 62 /* JSON integers are signed */

/* The part of the record that the lease itself uses. */
struct record
{
  guint64 version; /* of the object; 0: there is none */
  guint64 nonce;   /* of the acquisition; 0: the record is unreadable */
  guint64 fence;
  guint64 serial;
};

struct section
{
  char *text;     /* never NULL */
  guint64 era;    /* of the store when it was set */
  guint64 change; /* number of the last one by duty_lease_set_section */
  guint64 stored; /* number of the last one that is durable */
};

/* A write that may have taken effect. */
struct write
{
  struct record record; /* without the version */
  guint64 era;          /* of the store when it was sent */
  gint64 sent_at;
  gboolean renews;
  guint64 changes[DUTY_SECTION_N];
};

struct duty_lease
{
  struct duty_lease_options options;
  char *id;
  char *address;
  GRand *rand;
  struct duty_lease_view view; /* of the last tick */
  struct section sections[DUTY_SECTION_N];
  struct record seen; /* as read last, or written with success */
  gboolean has_seen;
  guint64 era;       /* of the store at that time */
  gint64 seen_since; /* clock time of the first response with it */
  gboolean held;
  gint64 acquired_at;   /* while held */
  gint64 renewed_at;    /* while held: when the last write was sent */
  gint64 valid_until;   /* while held */
  struct write open;    /* the open write */
  guint64 last_token;   /* of requests */
  guint64 open_token;   /* of the open request; 0: none */
  gboolean open_is_put; /* it is a write */
  gint64 request_sent_at;
  struct write unresolved[WRITES_MAX];
  guint n_unresolved;
  gboolean read_first; /* while held: before the next write */
  gboolean in_doubt;   /* while held: a write met a conflict, perhaps with an
                          earlier one of this instance; no calls until read */
  gint64 next_at;      /* of the next request */
  guint failures;      /* in a row */
};

static const char *const section_names[] = {
#define SECTION_NAME(id, name) name,
  DUTY_SECTIONS (SECTION_NAME)
#undef SECTION_NAME
};

struct duty_lease *
duty_lease_new (const struct duty_lease_options *options)
{
  struct duty_lease *lease = g_new0 (struct duty_lease, 1);
  lease->options = *options;
  lease->id = g_strdup (options->id);
  lease->address = g_strdup (options->address);
  lease->rand = g_rand_new_with_seed (options->seed);
  for (guint i = 0; i < DUTY_SECTION_N; i++)
    lease->sections[i].text = g_strdup ("");
  return lease;
}

void
duty_lease_free (struct duty_lease *lease)
{
  if (lease == NULL)
    return;
  for (guint i = 0; i < DUTY_SECTION_N; i++)
    g_free (lease->sections[i].text);
  g_rand_free (lease->rand);
  g_free (lease->id);
  g_free (lease->address);
  g_free (lease);
}

static gint64
now_of (const struct duty_lease *lease)
{
  return clk_now (lease->options.clk);
}

static gint64
wait_us (const struct duty_lease *lease)
{
  return lease->options.term_us + DUTY_LEASE_MARGIN_US;
}

/* Returns the value of the object that WRITE stores; the caller unrefs it.  */
static GBytes *
encode (const struct duty_lease *lease, const struct write *write)
{
  JsonBuilder *json = json_builder_new ();
  json_builder_begin_object (json);
  json_add_str (json, "holder", lease->id);
  json_add_str (json, "address", lease->address);
  json_add_int (json, "incarnation", (gint64)lease->options.incarnation);
  json_add_int (json, "nonce", (gint64)write->record.nonce);
  json_add_int (json, "fence", (gint64)write->record.fence);
  json_add_int (json, "era", (gint64)write->era);
  json_add_int (json, "serial", (gint64)write->record.serial);
  for (guint i = 0; i < DUTY_SECTION_N; i++)
    {
      json_builder_set_member_name (json, section_names[i]);
      json_builder_begin_object (json);
      json_add_int (json, "era", (gint64)lease->sections[i].era);
      json_add_str (json, "text", lease->sections[i].text);
      json_builder_end_object (json);
    }
  json_builder_end_object (json);
  JsonNode *root = json_builder_get_root (json);
  char *text = json_to_string (root, FALSE);
  json_node_unref (root);
  g_object_unref (json);
  return g_bytes_new_take (text, strlen (text));
}

static guint64
number_of (JsonObject *object, const char *name)
{
  gint64 value = json_object_get_int_member_with_default (object, name, 0);
  return value > 0 ? (guint64)value : 0;
}

static void
decode_section (struct duty_lease *lease, guint i, JsonObject *root)
{
  struct section *section = &lease->sections[i];
  JsonNode *node
      = root != NULL ? json_object_get_member (root, section_names[i]) : NULL;
  JsonObject *object = node != NULL && JSON_NODE_HOLDS_OBJECT (node)
                           ? json_node_get_object (node)
                           : NULL;
  const char *text
      = object ? json_object_get_string_member_with_default (object, "text", "")
               : NULL;
  g_free (section->text);
  section->text = g_strdup (text != NULL ? text : "");
  section->era = object != NULL ? number_of (object, "era") : 0;
}

/* Decodes the record that RESPONSE has read; one that is absent or unreadable
   is empty. Sections are taken over only if the lease is not held.  */
static struct record
decode (struct duty_lease *lease, const struct storage_response *response)
{
  struct record record = { .version = response->version };
  gsize n = 0;
  const char *p
      = response->body != NULL ? g_bytes_get_data (response->body, &n) : NULL;
  JsonNode *root
      = p != NULL ? json_text_parse_object ((struct str){ p, n }) : NULL;
  JsonObject *object = root != NULL ? json_node_get_object (root) : NULL;
  if (object != NULL)
    {
      record.nonce = number_of (object, "nonce");
      record.fence = number_of (object, "fence");
      record.serial = number_of (object, "serial");
    }
  for (guint i = 0; i < DUTY_SECTION_N && !lease->held; i++)
    decode_section (lease, i, object);
  g_clear_pointer (&root, json_node_unref);
  return record;
}

static void
start_request (struct duty_lease *lease, GBytes *body)
{
  struct storage_request request
      = { .op = body != NULL ? STORAGE_PUT : STORAGE_GET,
          .expected = lease->seen.version,
          .body = body,
          .timeout_us = lease->options.term_us / RENEWALS_PER_TERM };
  g_strlcpy (request.name, DUTY_LEASE_OBJECT, sizeof request.name);
  lease->open_token = ++lease->last_token;
  lease->open_is_put = body != NULL;
  lease->request_sent_at = now_of (lease);
  lease->options.start_request (lease->options.ctx, lease->open_token,
                                &request);
}

/* Returns a number that depends on the id, so that instances that acquire the
   lease in the same second, of two copies of the store, have different
   tokens.  */
static guint64
time_fence (const struct duty_lease *lease)
{
  gint64 s = lease->options.true_now (lease->options.ctx) / CLK_S;
  return (guint64)MAX (s, 0) * 1000 + str_hash (str_of (lease->id), 0) % 1000;
}

/* Writes the record, to acquire the lease or to renew it. Each attempt to
   acquire has a nonce and a fencing token of its own.  */
static void
write_record (struct duty_lease *lease)
{
  struct write *write = &lease->open;
  *write = (struct write){ .record = lease->seen,
                           .era = lease->era,
                           .sent_at = now_of (lease),
                           .renews = lease->held };
  write->record.serial++;
  if (!lease->held)
    {
      guint64 random = (guint64)g_rand_int (lease->rand) << 32;
      random |= g_rand_int (lease->rand);
      write->record.nonce = (random >> (64 - NONCE_BITS)) | 1;
      write->record.fence
          = MAX (MAX (lease->seen.fence + 1, lease->view.heard_fence + 1),
                 time_fence (lease));
    }
  else if (lease->n_unresolved > 0)
    write->record.serial
        = lease->unresolved[lease->n_unresolved - 1].record.serial + 1;
  for (guint i = 0; i < DUTY_SECTION_N; i++)
    write->changes[i] = lease->sections[i].change;
  GBytes *body = encode (lease, write);
  start_request (lease, body);
  g_bytes_unref (body);
}

static void
lose (struct duty_lease *lease, const char *cause)
{
  lease->held = FALSE;
  lease->read_first = lease->in_doubt = FALSE;
  lease->n_unresolved = 0;
  lease->has_seen = FALSE;
  lease->next_at = now_of (lease);
  for (guint i = 0; i < DUTY_SECTION_N; i++)
    lease->sections[i].stored = lease->sections[i].change;
  lease->options.lost (lease->options.ctx, cause);
}

/* Delays the next request after a failure.  */
static void
back_off (struct duty_lease *lease, const struct storage_response *response)
{
  gint64 wait = RETRY_MIN_US << MIN (lease->failures, RETRY_DOUBLINGS);
  wait = wait / 2 + (gint64)(g_rand_double (lease->rand) * (double)wait);
  wait = MAX (wait, MIN (response->retry_after_us, RETRY_AFTER_MAX_US));
  lease->failures++;
  lease->next_at = now_of (lease) + wait;
}

/* Has the sections count as set in this era if the record is the first one of
   all. One that the store has lost is told by the era, and by whether a holder
   was heard of.  */
static void
begin_sections (struct duty_lease *lease)
{
  gboolean is_first = lease->seen.serial == 1 && lease->era <= FIRST_ERA
                      && lease->view.heard_fence == 0;
  for (guint i = 0; i < DUTY_SECTION_N && is_first; i++)
    lease->sections[i].era = lease->era;
}

/* Handles WRITE, which has taken effect and made VERSION of the object.  */
static void
on_written (struct duty_lease *lease, const struct write *write,
            guint64 version)
{
  gint64 now = now_of (lease);
  gboolean is_new = !lease->held;
  const struct write copy = *write; /* it may be one of UNRESOLVED */
  lease->seen = copy.record;
  lease->seen.version = version;
  lease->has_seen = TRUE;
  lease->seen_since = now;
  lease->n_unresolved = 0;
  lease->read_first = lease->in_doubt = FALSE;
  if (copy.sent_at + lease->options.term_us <= now)
    {
      if (lease->held)
        lose (lease, "expired");
      return;
    }
  lease->held = TRUE;
  lease->renewed_at = copy.sent_at;
  lease->valid_until = copy.sent_at + lease->options.term_us;
  lease->next_at = now;
  if (is_new)
    {
      lease->acquired_at = now;
      begin_sections (lease);
      lease->options.acquired (lease->options.ctx);
    }
  for (guint i = 0; i < DUTY_SECTION_N && lease->held; i++)
    if (copy.changes[i] > lease->sections[i].stored)
      {
        lease->sections[i].stored = copy.changes[i];
        lease->options.stored (lease->options.ctx, i);
      }
}

/* Returns the write without a response that has made RECORD, or NULL.  */
static const struct write *
find_write (const struct duty_lease *lease, const struct record *record,
            guint64 era)
{
  for (guint i = 0; i < lease->n_unresolved; i++)
    {
      const struct write *write = &lease->unresolved[i];
      if (write->record.nonce == record->nonce
          && write->record.serial == record->serial && write->era == era)
        return write;
    }
  return NULL;
}

/* Handles a read by the holder, which resolves writes without a response.  */
static void
resolve (struct duty_lease *lease, const struct record *record, guint64 era)
{
  const struct write *write = find_write (lease, record, era);
  if (era != lease->era)
    lose (lease, "new era");
  else if (record->version == lease->seen.version
           && record->nonce == lease->seen.nonce)
    {
      /* None has taken effect so far. */
      lease->read_first = lease->in_doubt = FALSE;
      lease->next_at = now_of (lease);
    }
  else if (write != NULL)
    on_written (lease, write, record->version);
  else
    lose (lease, "conflict");
}

/* Handles a read by a candidate.  */
static void
observe (struct duty_lease *lease, const struct record *record, guint64 era)
{
  gint64 now = now_of (lease);
  const struct write *write = find_write (lease, record, era);
  gboolean is_same = lease->has_seen && record->version == lease->seen.version
                     && record->nonce == lease->seen.nonce && era == lease->era;
  if (write != NULL && now < write->sent_at + lease->options.term_us)
    {
      on_written (lease, write, record->version);
      return;
    }
  if (!is_same)
    {
      lease->n_unresolved = 0;
      lease->seen_since = now;
    }
  lease->seen = *record;
  lease->era = era;
  lease->has_seen = TRUE;
  lease->next_at = lease->seen_since + wait_us (lease);
  if (lease->view.wanted && lease->request_sent_at >= lease->next_at)
    write_record (lease);
}

static void
read_done (struct duty_lease *lease, const struct storage_response *response)
{
  gboolean is_absent = response->code == ERR_NOT_FOUND;
  /* An object without a value that can be read has a version nevertheless. */
  if (!is_absent && response->code != 0 && response->version == 0)
    {
      back_off (lease, response);
      return;
    }
  struct record record = decode (lease, response);
  lease->failures = 0;
  if (is_absent)
    record = (struct record){ 0 };
  if (lease->held)
    resolve (lease, &record, response->era);
  else
    observe (lease, &record, response->era);
}

/* Keeps the open write, which may have taken effect or may still do so.  */
static void
keep_unresolved (struct duty_lease *lease)
{
  if (lease->n_unresolved == WRITES_MAX)
    memmove (lease->unresolved, lease->unresolved + 1,
             --lease->n_unresolved * sizeof *lease->unresolved);
  lease->unresolved[lease->n_unresolved++] = lease->open;
  lease->read_first = lease->held;
}

static void
write_failed (struct duty_lease *lease, const struct storage_response *response)
{
  switch (response->code)
    {
    case ERR_CONFLICT:
    case ERR_NOT_FOUND:
      /* An earlier write without a response may be the reason. */
      if (lease->held && lease->n_unresolved == 0)
        lose (lease, "conflict");
      lease->read_first = lease->in_doubt = lease->held;
      lease->next_at = now_of (lease);
      break;
    case ERR_LIMIT:
    case ERR_UNAVAILABLE:
    case ERR_INVALID:
    case ERR_AUTH:
    case ERR_TOO_LARGE:
      back_off (lease, response);
      break;
    default:
      keep_unresolved (lease);
      back_off (lease, response);
      break;
    }
}

static void
write_done (struct duty_lease *lease, const struct storage_response *response)
{
  const struct write *write = &lease->open;
  if (write->renews && !lease->held)
    lease->has_seen = FALSE; /* lost meanwhile; whatever the write has done */
  else if (response->code != 0)
    write_failed (lease, response);
  else if (response->era != write->era)
    {
      /* What was observed before does not count in another era. */
      lease->n_unresolved = 0;
      lease->has_seen = FALSE;
      lease->next_at = now_of (lease);
      if (lease->held)
        lose (lease, "new era");
    }
  else
    {
      lease->failures = 0;
      on_written (lease, write, response->version);
    }
}

/* Handles the response to the request TOKEN; unknown tokens are ignored.  */
void
duty_lease_response (struct duty_lease *lease, guint64 token,
                     const struct storage_response *response)
{
  if (token == 0 || token != lease->open_token)
    return;
  lease->open_token = 0;
  if (lease->held && now_of (lease) >= lease->valid_until)
    lose (lease, "expired");
  if (lease->open_is_put)
    write_done (lease, response);
  else
    read_done (lease, response);
}

static void
check_held (struct duty_lease *lease, gint64 now)
{
  if (!lease->held)
    return;
  if (now >= lease->valid_until)
    lose (lease, "expired");
  else if (lease->view.heard_fence > lease->seen.fence)
    lose (lease, "higher fence");
  else if (lease->view.known_era > lease->era && lease->era != 0)
    lose (lease, "new era");
}

/* Starts the request that is due, if one is.  */
void
duty_lease_tick (struct duty_lease *lease, const struct duty_lease_view *view)
{
  gint64 now = now_of (lease);
  gboolean is_changed = FALSE;
  lease->view = *view;
  check_held (lease, now);
  if (lease->open_token != 0 || !view->wanted || now < lease->next_at)
    return;
  for (guint i = 0; i < DUTY_SECTION_N; i++)
    is_changed |= lease->sections[i].change != lease->sections[i].stored;
  if (!lease->held || lease->read_first)
    start_request (lease, NULL);
  else if (is_changed
           || now >= lease->renewed_at
                         + lease->options.term_us / RENEWALS_PER_TERM)
    write_record (lease);
}

gboolean
duty_lease_is_held (const struct duty_lease *lease)
{
  return lease->held && now_of (lease) < lease->valid_until;
}

guint64
duty_lease_call_fence (const struct duty_lease *lease, gint64 timeout_us)
{
  gint64 left = lease->valid_until - now_of (lease);
  if (!lease->held || !lease->view.wanted || lease->in_doubt
      || left <= timeout_us + DUTY_LEASE_MARGIN_US)
    return 0;
  return lease->seen.fence;
}

/* Returns the fencing token of the lease that is held; 0: it is not.  */
guint64
duty_lease_fence (const struct duty_lease *lease)
{
  return duty_lease_is_held (lease) ? lease->seen.fence : 0;
}

gint64
duty_lease_valid_until (const struct duty_lease *lease)
{
  return lease->valid_until;
}

/* Returns the text of SECTION, borrowed until the next call of this lease; for
   a holder. ERA_CHANGED: it was set before the store was restored from an
   older copy.  */
struct str
duty_lease_section (const struct duty_lease *lease, enum duty_section section,
                    gboolean *era_changed)
{
  const struct section *of = &lease->sections[section];
  *era_changed = of->era != lease->era;
  return str_of (of->text);
}

/* Has the holder store TEXT, which must be UTF-8, with the next write. The one
   before must have been stored.  */
void
duty_lease_set_section (struct duty_lease *lease, enum duty_section section,
                        struct str text)
{
  struct section *of = &lease->sections[section];
  g_free (of->text);
  of->text = str_dup (text);
  of->era = lease->era;
  of->change++;
}

/* Adds members with the state of the lease to the open object of JSON.  */
void
duty_lease_dump (const struct duty_lease *lease, JsonBuilder *json)
{
  gint64 now = now_of (lease);
  gboolean held = duty_lease_is_held (lease);
  json_add_str (json, "lease",
                held                 ? "held"
                : lease->view.wanted ? "candidate"
                                     : "idle");
  json_add_int (json, "fence", (gint64)lease->seen.fence);
  json_add_int (json, "version", (gint64)lease->seen.version);
  json_add_int (json, "era", (gint64)lease->era);
  json_add_int (json, "held_ms",
                held ? (now - lease->acquired_at) / CLK_MS : 0);
  json_add_int (json, "left_ms",
                held ? (lease->valid_until - now) / CLK_MS : 0);
}
