/* Heartbeats, lists of instances and the timers of both.  */
#include "node/nod_int.h"

#include <string.h>

#define MEMBERS_MAX 256 /* instances in one list */

/* Makes the view of the instances and dials the peers of the settings.
   Returns < 0 if the state chart cannot be loaded.  */
int
nod_peer_init (struct nod *nod, const struct nod_options *options,
               struct err *err)
{
  int code = member_chart_load (options->chart_folder, &nod->member_chart, err);
  if (code < 0)
    return code;
  struct member_options membership
      = { .clk = nod->clk, .chart = nod->member_chart };
  membership.self.id = nod->self;
  membership.self.domain = nod->domain;
  membership.self.region = nod->region;
  membership.self.incarnation = nod->incarnation;
  g_strlcpy (membership.self.address, options->address,
             sizeof membership.self.address);
  nod->membership = member_new (&membership);
  nod->held = TRUE;
  member_set_leaving (nod->membership, TRUE);
  for (guint i = 0; options->peers != NULL && options->peers[i] != NULL; i++)
    nod_dial (nod, options->peers[i]);
  return 0;
}

void
nod_peer_free (struct nod *nod)
{
  member_free (nod->membership);
  chr_free (nod->member_chart);
}

static void
apply_change (struct nod *nod, const struct member_change *change)
{
  const char *lost = change->lost.s[0] != '\0' ? change->lost.s : NULL;
  if (lost != NULL)
    nod_cell_entry_lost (nod, lost);
  if (change->view)
    {
      nod_ticket_view_changed (nod, lost);
      nod->summary_at = 0;
    }
}

/* Takes a heartbeat of instance FROM.  */
void
nod_peer_heartbeat (struct nod *nod, const char *from,
                    const struct msg_heartbeat *heartbeat)
{
  struct member_change change = { 0 };
  if (member_heartbeat (nod->membership, from, heartbeat, &change) < 0)
    return;
  apply_change (nod, &change);
  nod_config_peer (nod, from, heartbeat);
}

/* Learns of instances of the own failure domain and keeps connections to
   them.  */
void
nod_peer_members (struct nod *nod, const struct msg_members *members)
{
  for (guint i = 0; i < members->n_items; i++)
    {
      const struct msg_member *member = &members->items[i];
      if (strcmp (member->domain.s, nod->domain.s) == 0
          && strcmp (member->id.s, nod->self.s) != 0)
        nod_dial (nod, member->address);
    }
}

/* Sends a heartbeat to instance ID.  */
void
nod_peer_greet (struct nod *nod, const char *id)
{
  struct msg msg = { .kind = MSG_HEARTBEAT };
  member_fill_heartbeat (nod->membership, &msg.heartbeat);
  nod_send (nod, id, &msg);
}

static gboolean
is_near (const struct nod *nod, const struct member_instance *instance)
{
  return strcmp (instance->domain.s, nod->domain.s) == 0;
}

static void
greet_near (void *ctx, const struct member_instance *instance)
{
  struct nod *nod = ctx;
  if (is_near (nod, instance) && strcmp (instance->id.s, nod->self.s) != 0)
    nod_peer_greet (nod, instance->id.s);
}

static void
greet_far (void *ctx, const struct member_instance *instance)
{
  struct nod *nod = ctx;
  if (!is_near (nod, instance))
    nod_peer_greet (nod, instance->id.s);
}

struct member_list
{
  const struct nod *nod;
  struct msg_member items[MEMBERS_MAX];
  guint n;
};

static void
add_member (void *ctx, const struct member_instance *instance)
{
  struct member_list *list = ctx;
  if (!instance->live || list->n == MEMBERS_MAX
      || strcmp (instance->domain.s, list->nod->domain.s) != 0)
    return;
  struct msg_member *item = &list->items[list->n++];
  item->id = instance->id;
  item->domain = instance->domain;
  g_strlcpy (item->address, instance->address, sizeof item->address);
}

/* Sends the list of live instances to one of them, chosen at random.  */
static void
send_members (struct nod *nod)
{
  struct member_list list = { .nod = nod };
  member_each (nod->membership, add_member, &list);
  if (list.n < 2)
    return;
  guint to = (guint)g_rand_int_range (nod->rand, 0, (gint32)list.n);
  if (strcmp (list.items[to].id.s, nod->self.s) == 0)
    to = (to + 1) % list.n;
  struct msg msg = { .kind = MSG_MEMBERS };
  msg.members.items = list.items;
  msg.members.n_items = list.n;
  nod_send (nod, list.items[to].id.s, &msg);
}

static gint64
summary_interval (const struct nod *nod)
{
  return MAX (NOD_SUMMARY_US,
              member_live_count (nod->membership) * NOD_SUMMARY_PER_MEMBER_US);
}

static gboolean
is_due (gint64 *next, gint64 now, gint64 interval)
{
  if (now < *next)
    return FALSE;
  *next = now + interval;
  return TRUE;
}

/* While it is held, an instance shows as leaving, so that nobody takes it for
   an owner.  */
static void
show_hold (struct nod *nod)
{
  gboolean held = nod_is_held (nod);
  if (held == nod->held || nod->leaving)
    return;
  nod->held = held;
  member_set_leaving (nod->membership, held);
  nod->heartbeat_at = 0;
  nod_ticket_view_changed (nod, NULL);
}

/* Sends what is due and marks silent instances down.  */
void
nod_peer_tick (struct nod *nod)
{
  gint64 now = clk_now (nod->clk);
  struct member_change change;
  show_hold (nod);
  do
    {
      memset (&change, 0, sizeof change);
      member_tick (nod->membership, &change);
      apply_change (nod, &change);
    }
  while (change.view);
  if (is_due (&nod->heartbeat_at, now,
              member_heartbeat_interval (nod->membership, FALSE)))
    member_each (nod->membership, greet_near, nod);
  if (is_due (&nod->far_heartbeat_at, now,
              member_heartbeat_interval (nod->membership, TRUE)))
    member_each (nod->membership, greet_far, nod);
  if (is_due (&nod->members_at, now, NOD_MEMBERS_US))
    send_members (nod);
  if (is_due (&nod->summary_at, now, summary_interval (nod)))
    nod_cell_send_summaries (nod);
  if (is_due (&nod->progress_at, now, NOD_PROGRESS_US))
    {
      nod_ticket_progress (nod);
      nod_ticket_rebalance (nod);
    }
}
