/* A cell owner with a fake clock, a configuration built by hand and a record
   of what it sent.  */
#ifndef SHARD_FIXTURE_H
#define SHARD_FIXTURE_H

#include "cell/shard.h"

#include <string.h>

#define FIX_SERVERS_MAX 16
#define FIX_SENT_MAX 65536

enum
{
  FIX_URGENT,
  FIX_NORMAL,
  FIX_BATCH,
  FIX_CLASSES
};

struct fix_sent
{
  struct str_id to;
  struct msg msg;
};

struct fix
{
  struct clk_fake clock;
  struct ctr ctr;
  struct cfg cfg;
  struct cfg_class classes[FIX_CLASSES];
  struct cfg_team teams[3];
  struct cfg_pool pool;
  struct cfg_domain domain;
  struct cfg_cell cell;
  struct cfg_backend backends[FIX_SERVERS_MAX];
  struct shard_owner *shard_owner;
  struct fix_sent *sent;
  guint n_sent;
};

/* The fixture's configuration is never freed by its references; these stand
   in where the configuration's parser is not linked.  */
struct cfg *__attribute__ ((weak)) cfg_ref (struct cfg *cfg)
{
  cfg->refs++;
  return cfg;
}

void __attribute__ ((weak)) cfg_unref (struct cfg *cfg) { cfg->refs--; }

static inline struct str_id
fix_id (const char *text)
{
  struct str_id id;
  str_id_set (&id, str_of (text));
  return id;
}

static inline void
fix_send (void *ctx, const char *to, const struct msg *msg)
{
  struct fix *fix = ctx;
  g_assert (fix->n_sent < FIX_SENT_MAX);
  fix->sent[fix->n_sent++] = (struct fix_sent){ fix_id (to), *msg };
}

static inline void
fix_classes (struct fix *fix)
{
  fix->classes[FIX_URGENT] = (struct cfg_class){ .name = fix_id ("urgent"),
                                                 .tier = 0,
                                                 .ttft_us = 400 * CLK_MS,
                                                 .tbt_us = 30 * CLK_MS,
                                                 .max_waiting = 50,
                                                 .reserved_waiting = 5 };
  fix->classes[FIX_NORMAL] = (struct cfg_class){ .name = fix_id ("normal"),
                                                 .tier = 1,
                                                 .ttft_us = 2 * CLK_S,
                                                 .tbt_us = 60 * CLK_MS,
                                                 .max_waiting = 50,
                                                 .reserved_waiting = 5 };
  fix->classes[FIX_BATCH] = (struct cfg_class){ .name = fix_id ("batch"),
                                                .tier = 3,
                                                .max_waiting = 50,
                                                .reserved_waiting = 5 };
}

/* Prepares a cell of N servers with MAX_RUNNING requests each; the test may
   change fix->cfg before fix_start.  */
static inline void
fix_init (struct fix *fix, guint n, guint max_running)
{
  memset (fix, 0, sizeof *fix);
  clk_fake_init (&fix->clock, 1000 * CLK_S);
  fix_classes (fix);
  for (guint i = 0; i < 3; i++)
    {
      char name[] = { "abc"[i], 0 };
      fix->teams[i] = (struct cfg_team){ .name = fix_id (name),
                                         .weight = 1,
                                         .classes = G_MAXUINT64 };
    }
  fix->pool = (struct cfg_pool){ .name = fix_id ("m"), .kind = CFG_ENGINE };
  fix->domain = (struct cfg_domain){ fix_id ("kgn-1"), fix_id ("kgn") };
  fix->cell.name = fix_id ("kgn-1:m:0");
  for (guint i = 0; i < FIX_SERVERS_MAX; i++)
    {
      char name[] = { 's', (char)('a' + i), 0 };
      fix->backends[i] = (struct cfg_backend){ .name = fix_id (name),
                                               .max_running = max_running };
    }
  fix->cfg = (struct cfg){ .refs = 1,
                           .version = 1,
                           .limit_scale = 1,
                           .classes = fix->classes,
                           .n_classes = FIX_CLASSES,
                           .teams = fix->teams,
                           .n_teams = 3,
                           .domains = &fix->domain,
                           .n_domains = 1,
                           .pools = &fix->pool,
                           .n_pools = 1,
                           .backends = fix->backends,
                           .n_backends = n,
                           .cells = &fix->cell,
                           .n_cells = 1 };
  fix->sent = g_new0 (struct fix_sent, FIX_SENT_MAX);
}

static inline void
fix_start_seed (struct fix *fix, guint32 seed)
{
  struct shard_options options = { .clk = &fix->clock.clk,
                                   .seed = seed,
                                   .ctr = &fix->ctr,
                                   .cfg = &fix->cfg,
                                   .cell = fix->cell.name,
                                   .send = fix_send,
                                   .ctx = fix };
  fix->shard_owner = shard_new (&options);
}

static inline void
fix_start (struct fix *fix)
{
  fix_start_seed (fix, 1);
}

static inline void
fix_open (struct fix *fix, guint n, guint max_running)
{
  fix_init (fix, n, max_running);
  fix_start (fix);
}

static inline void
fix_close (struct fix *fix)
{
  shard_free (fix->shard_owner);
  g_free (fix->sent);
}

static inline struct msg_offer
fix_offer_of (const struct fix *fix, guint64 ticket, guint class_index,
              const char *team)
{
  return (struct msg_offer){ .ticket = ticket,
                             .cell = fix->cell.name,
                             .class_name = fix->classes[class_index].name,
                             .team = fix_id (team),
                             .wait_us = 30 * CLK_S,
                             .prompt_tokens = 100 };
}

/* Offers ticket TICKET of a class from instance "e1", team "a".  */
static inline void
fix_offer (struct fix *fix, guint64 ticket, guint class_index)
{
  struct msg_offer offer = fix_offer_of (fix, ticket, class_index, "a");
  shard_enqueue (fix->shard_owner, "e1", &offer);
}

/* Returns the last message of KIND for TICKET, or NULL.  */
static inline const struct msg *
fix_find (const struct fix *fix, enum msg_kind kind, guint64 ticket)
{
  for (guint i = fix->n_sent; i-- > 0;)
    {
      const struct msg *msg = &fix->sent[i].msg;
      guint64 id = msg->kind == MSG_GRANT    ? msg->grant.ticket
                   : msg->kind == MSG_REFUSE ? msg->refuse.ticket
                                             : msg->preempt.ticket;
      if (msg->kind == kind && id == ticket)
        return msg;
    }
  return NULL;
}

static inline gboolean
fix_granted (const struct fix *fix, guint64 ticket)
{
  return fix_find (fix, MSG_GRANT, ticket) != NULL;
}

/* Returns the reason TICKET was refused with, or MSG_REASON_N.  */
static inline enum msg_reason
fix_refused (const struct fix *fix, guint64 ticket)
{
  const struct msg *msg = fix_find (fix, MSG_REFUSE, ticket);
  return msg ? msg->refuse.reason : MSG_REASON_N;
}

/* Returns when refused TICKET should come back, 0 if it was not refused.  */
static inline gint64
fix_retry_after (const struct fix *fix, guint64 ticket)
{
  const struct msg *msg = fix_find (fix, MSG_REFUSE, ticket);
  return msg ? msg->refuse.retry_after_us : 0;
}

/* Returns the server that TICKET was granted, "" if it was not.  */
static inline const char *
fix_backend (const struct fix *fix, guint64 ticket)
{
  const struct msg *msg = fix_find (fix, MSG_GRANT, ticket);
  return msg ? msg->grant.backend.s : "";
}

static inline void
fix_release (struct fix *fix, guint64 ticket, enum msg_result result)
{
  struct msg_release release = { .ticket = ticket, .result = result };
  const struct msg *msg = fix_find (fix, MSG_GRANT, ticket);
  if (msg)
    release.backend = msg->grant.backend;
  shard_release (fix->shard_owner, "e1", &release);
}

/* Reports tokens of one ticket, which also shows that its grant is used.  */
static inline void
fix_progress (struct fix *fix, guint64 ticket, guint32 tokens, guint32 tbt_us)
{
  struct msg_progress_item item = { ticket, tokens, tbt_us };
  struct msg_progress progress = { &item, 1 };
  shard_progress (fix->shard_owner, "e1", &progress);
}

static inline void
fix_wait (struct fix *fix, gint64 us)
{
  for (gint64 end = fix->clock.t + us; fix->clock.t < end;)
    {
      fix->clock.t += MIN (SHARD_TICK_US, end - fix->clock.t);
      shard_tick (fix->shard_owner);
    }
}

#endif
