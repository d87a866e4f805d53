/* A shard owner with a fake clock, a hand-made configuration and a record of
   the messages that it sent.  */
#ifndef SHARD_FIXTURE_H
#define SHARD_FIXTURE_H

#include "cell/shard.h"

#include <string.h>

#define FIXTURE_SERVERS_MAX 16
#define FIXTURE_SENT_MAX 65536

enum
{
  FIXTURE_URGENT,
  FIXTURE_NORMAL,
  FIXTURE_BATCH,
  FIXTURE_CLASSES
};

struct fixture_sent
{
  struct str_id to;
  struct msg msg;
};

struct shard_fixture
{
  struct clk_fake clock;
  struct counter_set counter_set;
  struct cluster_config cfg;
  struct cluster_class classes[FIXTURE_CLASSES];
  struct cluster_team teams[3];
  struct cluster_pool pool;
  struct cluster_domain domain;
  struct cluster_shard shard_cfg;
  struct cluster_backend backends[FIXTURE_SERVERS_MAX];
  struct shard_owner *shard;
  struct fixture_sent *sent;
  guint n_sent;
};

/* The fixture's configuration is not freed when its reference count drops to 0.
   These replace the functions of the configuration parser, which is not linked
   into every test.  */
struct cluster_config *__attribute__ ((weak))
cluster_ref (struct cluster_config *config)
{
  config->refs++;
  return config;
}

void __attribute__ ((weak)) cluster_unref (struct cluster_config *config)
{
  config->refs--;
}

static inline struct str_id
fixture_id (const char *text)
{
  struct str_id id;
  str_id_set (&id, str_of (text));
  return id;
}

static inline void
fixture_send (void *ctx, const char *to, const struct msg *msg)
{
  struct shard_fixture *fixture = ctx;
  g_assert (fixture->n_sent < FIXTURE_SENT_MAX);
  fixture->sent[fixture->n_sent++]
      = (struct fixture_sent){ fixture_id (to), *msg };
}

static inline void
fixture_classes (struct shard_fixture *fixture)
{
  fixture->classes[FIXTURE_URGENT]
      = (struct cluster_class){ .name = fixture_id ("urgent"),
                                .tier = 0,
                                .ttft_us = 400 * CLK_MS,
                                .tbt_us = 30 * CLK_MS,
                                .max_waiting = 50,
                                .reserved_waiting = 5 };
  fixture->classes[FIXTURE_NORMAL]
      = (struct cluster_class){ .name = fixture_id ("normal"),
                                .tier = 1,
                                .ttft_us = 2 * CLK_S,
                                .tbt_us = 60 * CLK_MS,
                                .max_waiting = 50,
                                .reserved_waiting = 5 };
  fixture->classes[FIXTURE_BATCH]
      = (struct cluster_class){ .name = fixture_id ("batch"),
                                .tier = 3,
                                .max_waiting = 50,
                                .reserved_waiting = 5 };
}

/* Prepares a shard of N servers with MAX_RUNNING requests each. The test may
   change fixture->cfg before fixture_start.  */
static inline void
fixture_init (struct shard_fixture *fixture, guint n, guint max_running)
{
  memset (fixture, 0, sizeof *fixture);
  clk_fake_init (&fixture->clock, 1000 * CLK_S);
  fixture_classes (fixture);
  for (guint i = 0; i < 3; i++)
    {
      char name[] = { "abc"[i], 0 };
      fixture->teams[i] = (struct cluster_team){ .name = fixture_id (name),
                                                 .weight = 1,
                                                 .classes = G_MAXUINT64 };
    }
  fixture->pool = (struct cluster_pool){ .name = fixture_id ("m"),
                                         .kind = CLUSTER_ENGINE };
  fixture->domain
      = (struct cluster_domain){ fixture_id ("kgn-1"), fixture_id ("kgn") };
  fixture->shard_cfg.name = fixture_id ("kgn-1:m:0");
  for (guint i = 0; i < FIXTURE_SERVERS_MAX; i++)
    {
      char name[] = { 's', (char)('a' + i), 0 };
      fixture->backends[i]
          = (struct cluster_backend){ .name = fixture_id (name),
                                      .max_running = max_running };
    }
  fixture->cfg = (struct cluster_config){ .refs = 1,
                                          .version = 1,
                                          .limit_scale = 1,
                                          .classes = fixture->classes,
                                          .n_classes = FIXTURE_CLASSES,
                                          .teams = fixture->teams,
                                          .n_teams = 3,
                                          .domains = &fixture->domain,
                                          .n_domains = 1,
                                          .pools = &fixture->pool,
                                          .n_pools = 1,
                                          .backends = fixture->backends,
                                          .n_backends = n,
                                          .shards = &fixture->shard_cfg,
                                          .n_shards = 1 };
  fixture->sent = g_new0 (struct fixture_sent, FIXTURE_SENT_MAX);
}

static inline void
fixture_start_seed (struct shard_fixture *fixture, guint32 seed)
{
  struct shard_options options = { .clk = &fixture->clock.clk,
                                   .seed = seed,
                                   .counter_set = &fixture->counter_set,
                                   .cfg = &fixture->cfg,
                                   .name = fixture->shard_cfg.name,
                                   .send = fixture_send,
                                   .ctx = fixture };
  fixture->shard = shard_new (&options);
}

static inline void
fixture_start (struct shard_fixture *fixture)
{
  fixture_start_seed (fixture, 1);
}

static inline void
fixture_open (struct shard_fixture *fixture, guint n, guint max_running)
{
  fixture_init (fixture, n, max_running);
  fixture_start (fixture);
}

static inline void
fixture_close (struct shard_fixture *fixture)
{
  shard_free (fixture->shard);
  g_free (fixture->sent);
}

/* Returns the message that enqueues request ID of a class and TEAM.  */
static inline struct msg_enqueue
fixture_entry (const struct shard_fixture *fixture, guint64 id,
               guint class_index, const char *team)
{
  return (struct msg_enqueue){ .queue_entry = id,
                               .shard = fixture->shard_cfg.name,
                               .class_name = fixture->classes[class_index].name,
                               .team = fixture_id (team),
                               .wait_us = 30 * CLK_S,
                               .prompt_tokens = 100 };
}

/* Enqueues request ID of a class from ingress "e1" and team "a".  */
static inline void
fixture_enqueue (struct shard_fixture *fixture, guint64 id, guint class_index)
{
  struct msg_enqueue entry = fixture_entry (fixture, id, class_index, "a");
  shard_enqueue (fixture->shard, "e1", &entry);
}

/* Returns the last message of KIND for request ID, or NULL.  */
static inline const struct msg *
fixture_find (const struct shard_fixture *fixture, enum msg_kind kind,
              guint64 id)
{
  for (guint i = fixture->n_sent; i-- > 0;)
    {
      const struct msg *msg = &fixture->sent[i].msg;
      guint64 msg_id = msg->kind == MSG_GRANT    ? msg->grant.queue_entry
                       : msg->kind == MSG_REJECT ? msg->reject.queue_entry
                                                 : msg->preempt.queue_entry;
      if (msg->kind == kind && msg_id == id)
        return msg;
    }
  return NULL;
}

static inline gboolean
fixture_granted (const struct shard_fixture *fixture, guint64 id)
{
  return fixture_find (fixture, MSG_GRANT, id) != NULL;
}

/* Returns the reason for which request ID was rejected, or MSG_REASON_N.  */
static inline enum msg_reason
fixture_rejected (const struct shard_fixture *fixture, guint64 id)
{
  const struct msg *msg = fixture_find (fixture, MSG_REJECT, id);
  return msg ? msg->reject.reason : MSG_REASON_N;
}

/* Returns the retry time of rejected request ID, microseconds; 0 if it was not
   rejected.  */
static inline gint64
fixture_retry_after (const struct shard_fixture *fixture, guint64 id)
{
  const struct msg *msg = fixture_find (fixture, MSG_REJECT, id);
  return msg ? msg->reject.retry_after_us : 0;
}

/* Returns the server granted to request ID, "" if there is none.  */
static inline const char *
fixture_server (const struct shard_fixture *fixture, guint64 id)
{
  const struct msg *msg = fixture_find (fixture, MSG_GRANT, id);
  return msg ? msg->grant.backend.s : "";
}

static inline void
fixture_release (struct shard_fixture *fixture, guint64 id,
                 enum msg_result result)
{
  struct msg_release release = { .queue_entry = id, .result = result };
  const struct msg *msg = fixture_find (fixture, MSG_GRANT, id);
  if (msg)
    release.backend = msg->grant.backend;
  shard_release (fixture->shard, "e1", &release);
}

/* Reports tokens of one request, which also confirms the use of its grant.  */
static inline void
fixture_progress (struct shard_fixture *fixture, guint64 id, guint32 tokens,
                  guint32 tbt_us)
{
  struct msg_progress_item item = { id, tokens, tbt_us };
  struct msg_progress progress = { &item, 1 };
  shard_progress (fixture->shard, "e1", &progress);
}

static inline void
fixture_advance (struct shard_fixture *fixture, gint64 us)
{
  for (gint64 end = fixture->clock.t + us; fixture->clock.t < end;)
    {
      fixture->clock.t += MIN (SHARD_TICK_US, end - fixture->clock.t);
      shard_tick (fixture->shard);
    }
}

#endif
