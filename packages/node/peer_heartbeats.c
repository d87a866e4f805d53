/* Heartbeats and instance lists, and the timers of all periodic messages to
   other instances.  */
#include "node/core_internal.h"

#include <string.h>

#define MEMBERS_MAX 256 /* instances in one list */

/* Creates the view of the instances and connects to the peers in the settings.
   Returns < 0 with ERR set if the state chart cannot be loaded.  */
int
core_peer_init (struct core *core, const struct core_options *options,
                struct err *err)
{
  int code
      = member_chart_load (options->chart_folder, &core->member_chart, err);
  if (code < 0)
    return code;
  struct member_options membership
      = { .clk = core->clk, .chart = core->member_chart };
  membership.self.id = core->self;
  membership.self.domain = core->domain;
  membership.self.region = core->region;
  membership.self.incarnation = core->incarnation;
  g_strlcpy (membership.self.address, options->address,
             sizeof membership.self.address);
  core->membership = member_new (&membership);
  core->shown_warming_up = TRUE;
  member_set_leaving (core->membership, TRUE);
  for (guint i = 0; options->peers != NULL && options->peers[i] != NULL; i++)
    core_dial (core, options->peers[i]);
  return 0;
}

void
core_peer_free (struct core *core)
{
  member_free (core->membership);
  statechart_free (core->member_chart);
}

static void
apply_change (struct core *core, const struct member_change *change)
{
  const char *lost = change->lost.s[0] != '\0' ? change->lost.s : NULL;
  if (lost != NULL)
    core_shards_ingress_lost (core, lost);
  if (change->view)
    {
      core_queue_view_changed (core, lost);
      core->summary_at = 0;
    }
}

/* Handles a heartbeat of instance FROM.  */
void
core_peer_heartbeat (struct core *core, const char *from,
                     const struct msg_heartbeat *heartbeat)
{
  struct member_change change = { 0 };
  if (member_heartbeat (core->membership, from, heartbeat, &change) < 0)
    return;
  apply_change (core, &change);
  core_object_peer_versions (core, from, heartbeat);
}

/* Handles an instance list: connects to the instances of this failure
   domain.  */
void
core_peer_members (struct core *core, const struct msg_members *members)
{
  for (guint i = 0; i < members->n_items; i++)
    {
      const struct msg_member *member = &members->items[i];
      if (strcmp (member->domain.s, core->domain.s) == 0
          && strcmp (member->id.s, core->self.s) != 0)
        core_dial (core, member->address);
    }
}

/* Sends a heartbeat to instance ID.  */
void
core_peer_send_heartbeat (struct core *core, const char *id)
{
  struct msg msg = { .kind = MSG_HEARTBEAT };
  member_fill_heartbeat (core->membership, &msg.heartbeat);
  core_send (core, id, &msg);
}

static gboolean
is_same_domain (const struct core *core, const struct member_instance *instance)
{
  return strcmp (instance->domain.s, core->domain.s) == 0;
}

static void
heartbeat_domain (void *ctx, const struct member_instance *instance)
{
  struct core *core = ctx;
  if (is_same_domain (core, instance)
      && strcmp (instance->id.s, core->self.s) != 0)
    core_peer_send_heartbeat (core, instance->id.s);
}

static void
heartbeat_remote (void *ctx, const struct member_instance *instance)
{
  struct core *core = ctx;
  if (!is_same_domain (core, instance))
    core_peer_send_heartbeat (core, instance->id.s);
}

struct member_list
{
  const struct core *core;
  struct msg_member items[MEMBERS_MAX];
  guint n;
};

static void
add_member (void *ctx, const struct member_instance *instance)
{
  struct member_list *list = ctx;
  if (!instance->live || list->n == MEMBERS_MAX
      || strcmp (instance->domain.s, list->core->domain.s) != 0)
    return;
  struct msg_member *item = &list->items[list->n++];
  item->id = instance->id;
  item->domain = instance->domain;
  g_strlcpy (item->address, instance->address, sizeof item->address);
}

/* Sends the list of live instances to one of them, chosen at random.  */
static void
send_members (struct core *core)
{
  struct member_list list = { .core = core };
  member_each (core->membership, add_member, &list);
  if (list.n < 2)
    return;
  guint to = (guint)g_rand_int_range (core->rand, 0, (gint32)list.n);
  if (strcmp (list.items[to].id.s, core->self.s) == 0)
    to = (to + 1) % list.n;
  struct msg msg = { .kind = MSG_MEMBERS };
  msg.members.items = list.items;
  msg.members.n_items = list.n;
  core_send (core, list.items[to].id.s, &msg);
}

static gint64
summary_interval (const struct core *core)
{
  return MAX (CORE_SUMMARY_INTERVAL_US, member_live_count (core->membership)
                                            * CORE_SUMMARY_PER_MEMBER_US);
}

static gboolean
is_due (gint64 *next, gint64 now, gint64 interval)
{
  if (now < *next)
    return FALSE;
  *next = now + interval;
  return TRUE;
}

/* Announces this instance as leaving while it warms up, so that others do not
   consider it as a shard owner.  */
static void
publish_warmup (struct core *core)
{
  gboolean warming_up = core_is_warming_up (core);
  if (warming_up == core->shown_warming_up || core->leaving)
    return;
  core->shown_warming_up = warming_up;
  member_set_leaving (core->membership, warming_up);
  core->heartbeat_at = 0;
  core_queue_view_changed (core, NULL);
}

/* Sends the periodic messages that are due and marks instances without
   heartbeats as down.  */
void
core_peer_tick (struct core *core)
{
  gint64 now = clk_now (core->clk);
  struct member_change change;
  publish_warmup (core);
  do
    {
      memset (&change, 0, sizeof change);
      member_tick (core->membership, &change);
      apply_change (core, &change);
    }
  while (change.view);
  if (is_due (&core->heartbeat_at, now,
              member_heartbeat_interval (core->membership, FALSE)))
    member_each (core->membership, heartbeat_domain, core);
  if (is_due (&core->remote_heartbeat_at, now,
              member_heartbeat_interval (core->membership, TRUE)))
    member_each (core->membership, heartbeat_remote, core);
  if (is_due (&core->members_at, now, CORE_MEMBERS_INTERVAL_US))
    send_members (core);
  if (is_due (&core->summary_at, now, summary_interval (core)))
    core_shard_send_summaries (core);
  if (is_due (&core->progress_at, now, CORE_PROGRESS_INTERVAL_US))
    {
      core_queue_report_progress (core);
      core_queue_rebalance (core);
    }
}
