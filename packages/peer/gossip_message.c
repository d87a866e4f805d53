#include "peer/gossip_message.h"

#include "base/msgpack_check.h"

#include "peer/peer_msgpack.h"

#include <stddef.h>
#include <string.h>

#define FIELDS 39 /* of a message in the current format */
/* Older instances omit some or all of n_own_placements, n_home_placements,
   n_waiting, store_era, leaving and what follows it, and ignore those that they
   do not know. */
#define FIELDS_REQUIRED 17

/* Makes a message empty. Its lists have counters, so their contents stay.  */
void
gossip_message_clear (struct gossip_message *gossip_message)
{
  memset (gossip_message, 0, offsetof (struct gossip_message, members));
  gossip_message->n_members = gossip_message->n_loads
      = gossip_message->n_placements = gossip_message->n_summaries = 0;
  gossip_message->n_own_placements = gossip_message->n_home_placements
      = gossip_message->n_unreachable = gossip_message->n_leaving
      = gossip_message->n_rejections = gossip_message->n_held
      = gossip_message->n_limits = gossip_message->n_relays
      = gossip_message->n_brittle = 0;
  gossip_message->servers_reached_age = gossip_message->client_port = 0;
  gossip_message->asks_for_servers = FALSE;
  gossip_message->suspects.held = 0;
  gossip_message->suspects.range = (struct gossip_message_range){ 0 };
  gossip_message->suspects.n_crashes = gossip_message->suspects.n_trials = 0;
  for (guint i = 0; i < GOSSIP_MESSAGE_SUMMARIES_MAX; i++)
    {
      gossip_message->summaries[i].n = 0;
      gossip_message->summaries[i].range = (struct gossip_message_range){ 0 };
    }
}

static void
pack_load (msgpack_packer *pk, const struct gossip_message_load *load)
{
  msgpack_pack_array (pk, 6);
  msgpack_pack_uint32 (pk, load->server_key);
  msgpack_pack_unsigned_int (pk, load->load.requests);
  msgpack_pack_unsigned_int (pk, load->load.sensitive);
  msgpack_pack_unsigned_int (pk, load->load.paced);
  msgpack_pack_uint64 (pk, load->load.prefill_tokens);
  msgpack_pack_uint64 (pk, load->load.memory);
}

static void
pack_placement (msgpack_packer *pk,
                const struct gossip_message_placement *placement)
{
  msgpack_pack_array (pk, 1 + 2 * (size_t)placement->prompt.n);
  msgpack_pack_uint32 (pk, placement->server_key);
  for (guint i = 0; i < placement->prompt.n; i++)
    {
      msgpack_pack_uint32 (pk, placement->prompt.blocks[i].key);
      msgpack_pack_unsigned_int (pk, placement->prompt.blocks[i].tokens);
    }
}

static void
pack_summary (msgpack_packer *pk, const struct gossip_message_summary *summary)
{
  msgpack_pack_array (pk, 1 + (size_t)summary->n);
  peer_msgpack_pack_text (pk, summary->domain);
  for (guint i = 0; i < summary->n; i++)
    pack_load (pk, &summary->loads[i]);
}

/* Packs an age in milliseconds and the parts: key, and weight with the lowest
   bit for cleared.  */
static void
pack_crash (msgpack_packer *pk, const struct suspects_crash *crash)
{
  msgpack_pack_array (pk, 3 + 2 * (size_t)crash->parts.n);
  msgpack_pack_uint64 (pk, crash->id);
  msgpack_pack_uint64 (pk, crash->server);
  msgpack_pack_int64 (pk, crash->at / CLK_MS);
  for (guint i = 0; i < crash->parts.n; i++)
    {
      msgpack_pack_uint64 (pk, crash->parts.keys[i]);
      msgpack_pack_unsigned_int (pk, crash->weights[i] * 2u
                                         + (crash->cleared[i] ? 1 : 0));
    }
}

static void
pack_suspects (msgpack_packer *pk,
               const struct gossip_message_suspects *suspects)
{
  /* Mostly there is nothing to tell. */
  gboolean any = suspects->held != 0 || suspects->range.through != 0;
  msgpack_pack_array (pk, any ? 3 + (size_t)suspects->n_crashes : 0);
  if (any)
    {
      msgpack_pack_uint64 (pk, suspects->held);
      msgpack_pack_uint64 (pk, suspects->range.since);
      msgpack_pack_uint64 (pk, suspects->range.through);
    }
  for (guint i = 0; i < suspects->n_crashes; i++)
    pack_crash (pk, &suspects->crashes[i]);
  msgpack_pack_array (pk, 3 * (size_t)suspects->n_trials);
  for (guint i = 0; i < suspects->n_trials; i++)
    {
      msgpack_pack_uint64 (pk, suspects->trials[i].part);
      msgpack_pack_uint64 (pk, suspects->trials[i].server);
      msgpack_pack_uint32 (pk, suspects->trials[i].order);
    }
}

static void
pack_limit (msgpack_packer *pk, const struct gossip_message_limit *limit)
{
  msgpack_pack_uint32 (pk, limit->server_key);
  msgpack_pack_uint64 (pk, limit->micro);
  msgpack_pack_unsigned_int (pk, limit->after_age_ms);
  msgpack_pack_unsigned_int (pk, limit->before_age_ms);
}

static void
pack_relays (msgpack_packer *pk, const struct gossip_message *gossip_message)
{
  msgpack_pack_unsigned_int (pk, gossip_message->servers_reached_age);
  msgpack_pack_unsigned_int (pk, gossip_message->asks_for_servers ? 1 : 0);
  msgpack_pack_unsigned_int (pk, gossip_message->client_port);
  msgpack_pack_array (pk, 3 * (size_t)gossip_message->n_relays);
  for (guint i = 0; i < gossip_message->n_relays; i++)
    {
      const struct gossip_message_relay *relay = &gossip_message->relays[i];
      msgpack_pack_uint32 (pk, relay->ip);
      msgpack_pack_unsigned_int (pk, relay->client_port);
      msgpack_pack_unsigned_int (pk, relay->servers_reached_age);
    }
}

/* Returns the load number I of a message: the loads of the sender come first,
   then those of the summaries. NULL: there are fewer.  */
static struct gossip_message_load *
load_at (struct gossip_message *gossip_message, guint i)
{
  if (i < gossip_message->n_loads)
    return &gossip_message->loads[i];
  i -= gossip_message->n_loads;
  for (guint k = 0; k < gossip_message->n_summaries; k++)
    {
      struct gossip_message_summary *summary = &gossip_message->summaries[k];
      if (i < summary->n)
        return &summary->loads[i];
      i -= summary->n;
    }
  return NULL;
}

/* Packs the counts of isolated streams as pairs of the load's number and the
   count. They have a field of their own because older instances reject a load
   of more than six values; few engines have such streams.  */
static void
pack_isolated (msgpack_packer *pk, const struct gossip_message *gossip_message)
{
  const struct gossip_message_load *load;
  size_t n = 0;
  /* load_at only reads. */
  struct gossip_message *readable = (struct gossip_message *)gossip_message;
  for (guint i = 0; (load = load_at (readable, i)) != NULL; i++)
    n += load->load.isolated > 0;
  msgpack_pack_array (pk, 2 * n);
  for (guint i = 0; n > 0 && (load = load_at (readable, i)) != NULL; i++)
    if (load->load.isolated > 0)
      {
        msgpack_pack_unsigned_int (pk, i);
        msgpack_pack_unsigned_int (pk, load->load.isolated);
      }
}

/* Appends a message to OUT as one msgpack array.  */
void
gossip_message_encode (const struct gossip_message *gossip_message,
                       GByteArray *out)
{
  msgpack_packer pk;
  msgpack_packer_init (&pk, out, peer_msgpack_append);
  msgpack_pack_array (&pk, FIELDS);
  msgpack_pack_unsigned_int (&pk, GOSSIP_MESSAGE_VERSION);
  peer_msgpack_pack_text (&pk, gossip_message->id);
  peer_msgpack_pack_text (&pk, gossip_message->domain);
  msgpack_pack_uint32 (&pk, gossip_message->incarnation);
  msgpack_pack_uint32 (&pk, gossip_message->seq);
  msgpack_pack_uint32 (&pk, gossip_message->echo_seq);
  msgpack_pack_uint32 (&pk, gossip_message->echo_incarnation);
  msgpack_pack_uint64 (&pk, gossip_message->config_version);
  msgpack_pack_int64 (&pk, gossip_message->config_age_us);
  msgpack_pack_uint64 (&pk, gossip_message->server_list_digest);
  msgpack_pack_int64 (&pk, gossip_message->server_list_age_us);
  gossip_message->wants_reply ? msgpack_pack_true (&pk)
                              : msgpack_pack_false (&pk);
  msgpack_pack_array (&pk, 3 * (size_t)gossip_message->n_members);
  for (guint i = 0; i < gossip_message->n_members; i++)
    {
      msgpack_pack_uint32 (&pk, gossip_message->members[i].ip);
      msgpack_pack_unsigned_int (&pk, gossip_message->members[i].age_ms);
      peer_msgpack_pack_text (&pk, gossip_message->members[i].domain);
    }
  msgpack_pack_array (&pk, gossip_message->n_loads);
  for (guint i = 0; i < gossip_message->n_loads; i++)
    pack_load (&pk, &gossip_message->loads[i]);
  msgpack_pack_array (&pk, gossip_message->n_placements);
  for (guint i = 0; i < gossip_message->n_placements; i++)
    pack_placement (&pk, &gossip_message->placements[i]);
  msgpack_pack_array (&pk, gossip_message->n_summaries);
  for (guint i = 0; i < gossip_message->n_summaries; i++)
    pack_summary (&pk, &gossip_message->summaries[i]);
  msgpack_pack_array (&pk, gossip_message->n_unreachable);
  for (guint i = 0; i < gossip_message->n_unreachable; i++)
    msgpack_pack_uint32 (&pk, gossip_message->unreachable[i]);
  msgpack_pack_unsigned_int (&pk, gossip_message->n_own_placements);
  msgpack_pack_unsigned_int (&pk, gossip_message->n_home_placements);
  msgpack_pack_unsigned_int (&pk, gossip_message->n_waiting);
  msgpack_pack_uint64 (&pk, gossip_message->store_era);
  msgpack_pack_array (&pk, gossip_message->n_leaving);
  for (guint i = 0; i < gossip_message->n_leaving; i++)
    msgpack_pack_uint32 (&pk, gossip_message->leaving[i]);
  msgpack_pack_array (&pk, 4 * (size_t)gossip_message->n_rejections);
  for (guint i = 0; i < gossip_message->n_rejections; i++)
    {
      const struct gossip_message_rejection *rejection
          = &gossip_message->rejections[i];
      msgpack_pack_uint32 (&pk, rejection->service_key);
      msgpack_pack_unsigned_int (&pk, rejection->tier);
      msgpack_pack_unsigned_int (&pk, rejection->tokens);
      msgpack_pack_unsigned_int (&pk, rejection->age_ms);
    }
  msgpack_pack_uint64 (&pk, gossip_message->loads_range.since);
  msgpack_pack_uint64 (&pk, gossip_message->loads_range.through);
  msgpack_pack_uint64 (&pk, gossip_message->loads_held);
  msgpack_pack_array (&pk, 2 * (size_t)gossip_message->n_summaries);
  for (guint i = 0; i < gossip_message->n_summaries; i++)
    {
      msgpack_pack_uint64 (&pk, gossip_message->summaries[i].range.since);
      msgpack_pack_uint64 (&pk, gossip_message->summaries[i].range.through);
    }
  msgpack_pack_array (&pk, 2 * (size_t)gossip_message->n_held);
  for (guint i = 0; i < gossip_message->n_held; i++)
    {
      peer_msgpack_pack_text (&pk, gossip_message->held[i].domain);
      msgpack_pack_uint64 (&pk, gossip_message->held[i].through);
    }
  pack_suspects (&pk, &gossip_message->suspects);
  msgpack_pack_array (&pk, 4 * (size_t)gossip_message->n_limits);
  for (guint i = 0; i < gossip_message->n_limits; i++)
    pack_limit (&pk, &gossip_message->limits[i]);
  pack_relays (&pk, gossip_message);
  msgpack_pack_array (&pk, 6 * (size_t)gossip_message->n_brittle);
  for (guint i = 0; i < gossip_message->n_brittle; i++)
    {
      pack_limit (&pk, &gossip_message->brittle[i].limit);
      msgpack_pack_unsigned_int (&pk, gossip_message->brittle[i].room);
      msgpack_pack_unsigned_int (&pk, gossip_message->brittle[i].full_age_ms);
    }
  msgpack_pack_array (&pk, gossip_message->duty_fence != 0 ? 3 : 0);
  if (gossip_message->duty_fence != 0)
    {
      msgpack_pack_uint64 (&pk, gossip_message->duty_fence);
      msgpack_pack_uint32 (&pk, gossip_message->duty_ip);
      msgpack_pack_unsigned_int (&pk, gossip_message->duty_age);
    }
  pack_isolated (&pk, gossip_message);
  msgpack_pack_uint64 (&pk, gossip_message->version_table);
}

/* Reads the fields of an array in order. BAD is set by the first invalid field
   and stays set; fields read after it have no meaning.  */
struct cursor
{
  const msgpack_object *next;
  guint left;
  gboolean bad;
};

/* Returns the next field, or a nil object if there is none.  */
static const msgpack_object *
next_field (struct cursor *c)
{
  static const msgpack_object nil = { .type = MSGPACK_OBJECT_NIL };
  if (c->left == 0)
    {
      c->bad = TRUE;
      return &nil;
    }
  c->left--;
  return c->next++;
}

static guint64
read_number (struct cursor *c, guint64 max)
{
  const msgpack_object *o = next_field (c);
  if (o->type != MSGPACK_OBJECT_POSITIVE_INTEGER || o->via.u64 > max)
    {
      c->bad = TRUE;
      return 0;
    }
  return o->via.u64;
}

static gint64
read_age (struct cursor *c)
{
  const msgpack_object *o = next_field (c);
  if (o->type == MSGPACK_OBJECT_NEGATIVE_INTEGER)
    return GOSSIP_AGE_UNKNOWN;
  if (o->type != MSGPACK_OBJECT_POSITIVE_INTEGER || o->via.u64 > G_MAXINT64)
    {
      c->bad = TRUE;
      return GOSSIP_AGE_UNKNOWN;
    }
  return (gint64)o->via.u64;
}

static void
read_id (struct cursor *c, char *text)
{
  const msgpack_object *o = next_field (c);
  struct str s = { "", 0 };
  if (o->type == MSGPACK_OBJECT_STR)
    s = (struct str){ o->via.str.ptr, o->via.str.size };
  if (!str_id_ok (s))
    {
      c->bad = TRUE;
      return;
    }
  memcpy (text, s.p, s.n);
  text[s.n] = '\0';
}

static struct cursor
read_array (struct cursor *c, guint max)
{
  const msgpack_object *o = next_field (c);
  if (o->type != MSGPACK_OBJECT_ARRAY || o->via.array.size > max)
    {
      c->bad = TRUE;
      return (struct cursor){ 0 };
    }
  return (struct cursor){ o->via.array.ptr, o->via.array.size, FALSE };
}

static void
read_load (struct cursor *list, struct gossip_message_load *load)
{
  struct cursor c = read_array (list, 6);
  load->load.isolated = 0;
  load->server_key = (guint32)read_number (&c, G_MAXUINT32);
  load->load.requests = (guint)read_number (&c, G_MAXUINT16);
  load->load.sensitive = (guint)read_number (&c, G_MAXUINT16);
  load->load.paced = (guint)read_number (&c, G_MAXUINT16);
  load->load.prefill_tokens = read_number (&c, G_MAXUINT32);
  load->load.memory = read_number (&c, G_MAXUINT32);
  list->bad |= c.bad;
}

static void
read_placement (struct cursor *list, struct gossip_message_placement *placement)
{
  struct cursor c = read_array (list, 1 + 2 * PREFIX_BLOCKS_MAX);
  placement->server_key = (guint32)read_number (&c, G_MAXUINT32);
  placement->prompt.n = 0;
  while (!c.bad && c.left > 0)
    {
      struct prefix_block *block
          = &placement->prompt.blocks[placement->prompt.n++];
      block->key = (guint32)read_number (&c, G_MAXUINT32);
      block->tokens = (guint)read_number (&c, G_MAXINT32);
    }
  list->bad |= c.bad;
}

static void
read_summary (struct cursor *list, struct gossip_message_summary *summary)
{
  struct cursor c = read_array (list, 1 + GOSSIP_MESSAGE_SUMMARY_LOADS_MAX);
  read_id (&c, summary->domain);
  while (!c.bad && c.left > 0)
    read_load (&c, &summary->loads[summary->n++]);
  list->bad |= c.bad;
}

static void
read_lists (struct cursor *c, struct gossip_message *gossip_message)
{
  struct cursor members = read_array (c, 3 * GOSSIP_MESSAGE_MEMBERS_MAX);
  while (!members.bad && members.left > 0)
    {
      struct gossip_message_member *member
          = &gossip_message->members[gossip_message->n_members++];
      member->ip = (guint32)read_number (&members, G_MAXUINT32);
      member->age_ms = (guint)read_number (&members, G_MAXINT32);
      read_id (&members, member->domain);
    }
  struct cursor loads = read_array (c, GOSSIP_MESSAGE_LOADS_MAX);
  while (!loads.bad && loads.left > 0)
    read_load (&loads, &gossip_message->loads[gossip_message->n_loads++]);
  struct cursor placements = read_array (c, GOSSIP_MESSAGE_PLACEMENTS_MAX);
  while (!placements.bad && placements.left > 0)
    read_placement (
        &placements,
        &gossip_message->placements[gossip_message->n_placements++]);
  struct cursor summaries = read_array (c, GOSSIP_MESSAGE_SUMMARIES_MAX);
  while (!summaries.bad && summaries.left > 0)
    read_summary (&summaries,
                  &gossip_message->summaries[gossip_message->n_summaries++]);
  struct cursor unreachable = read_array (c, GOSSIP_MESSAGE_UNREACHABLE_MAX);
  while (!unreachable.bad && unreachable.left > 0)
    gossip_message->unreachable[gossip_message->n_unreachable++]
        = (guint32)read_number (&unreachable, G_MAXUINT32);
  c->bad |= unreachable.bad || members.bad || loads.bad || placements.bad
            || summaries.bad;
}

static void
read_leaving (struct cursor *c, struct gossip_message *gossip_message)
{
  struct cursor leaving = read_array (c, GOSSIP_MESSAGE_LEAVING_MAX);
  while (!leaving.bad && leaving.left > 0)
    gossip_message->leaving[gossip_message->n_leaving++]
        = (guint32)read_number (&leaving, G_MAXUINT32);
  c->bad |= leaving.bad;
}

static void
read_rejections (struct cursor *c, struct gossip_message *gossip_message)
{
  struct cursor rejections = read_array (c, 4 * GOSSIP_MESSAGE_REJECTIONS_MAX);
  while (!rejections.bad && rejections.left > 0)
    {
      struct gossip_message_rejection *rejection
          = &gossip_message->rejections[gossip_message->n_rejections++];
      rejection->service_key = (guint32)read_number (&rejections, G_MAXUINT32);
      rejection->tier = (guint)read_number (&rejections, G_MAXUINT16);
      rejection->tokens = (guint)read_number (&rejections, G_MAXINT32);
      rejection->age_ms = (guint)read_number (&rejections, G_MAXINT32);
    }
  c->bad |= rejections.bad;
}

static void
read_ranges (struct cursor *c, struct gossip_message *gossip_message)
{
  struct cursor ranges = read_array (c, 2 * GOSSIP_MESSAGE_SUMMARIES_MAX);
  ranges.bad |= ranges.left != 2 * gossip_message->n_summaries;
  for (guint i = 0; !ranges.bad && ranges.left > 0; i++)
    {
      struct gossip_message_range *range = &gossip_message->summaries[i].range;
      range->since = read_number (&ranges, G_MAXUINT64);
      range->through = read_number (&ranges, G_MAXUINT64);
    }
  c->bad |= ranges.bad;
}

static void
read_held (struct cursor *c, struct gossip_message *gossip_message)
{
  struct cursor held = read_array (c, 2 * GOSSIP_MESSAGE_HELD_MAX);
  while (!held.bad && held.left > 0)
    {
      struct gossip_message_held *of
          = &gossip_message->held[gossip_message->n_held++];
      read_id (&held, of->domain);
      of->through = read_number (&held, G_MAXUINT64);
    }
  c->bad |= held.bad;
}

static void
read_crash (struct cursor *list, struct suspects_crash *crash)
{
  struct cursor c = read_array (list, 3 + 2 * PROMPT_PARTS_MAX);
  memset (crash, 0, sizeof *crash);
  crash->id = read_number (&c, G_MAXUINT64);
  crash->server = read_number (&c, G_MAXUINT64);
  crash->at = (gint64)read_number (&c, G_MAXINT32) * CLK_MS;
  while (!c.bad && c.left > 0)
    {
      guint i = crash->parts.n++;
      crash->parts.keys[i] = read_number (&c, G_MAXUINT64);
      guint weight = (guint)read_number (&c, 2 * G_MAXUINT8 + 1);
      crash->weights[i] = (guint8)(weight / 2);
      crash->cleared[i] = weight % 2 != 0;
    }
  list->bad |= c.bad;
}

static void
read_suspects (struct cursor *c, struct gossip_message_suspects *suspects)
{
  struct cursor list = read_array (c, 3 + GOSSIP_MESSAGE_CRASHES_MAX);
  if (list.left > 0)
    {
      suspects->held = read_number (&list, G_MAXUINT64);
      suspects->range.since = read_number (&list, G_MAXUINT64);
      suspects->range.through = read_number (&list, G_MAXUINT64);
    }
  while (!list.bad && list.left > 0)
    read_crash (&list, &suspects->crashes[suspects->n_crashes++]);
  c->bad |= list.bad;
}

static void
read_trials (struct cursor *c, struct gossip_message_suspects *suspects)
{
  struct cursor trials = read_array (c, 3 * SUSPECTS_TRIALS_MAX);
  while (!trials.bad && trials.left > 0)
    {
      struct suspects_trial *trial = &suspects->trials[suspects->n_trials++];
      trial->part = read_number (&trials, G_MAXUINT64);
      trial->server = read_number (&trials, G_MAXUINT64);
      trial->order = (guint32)read_number (&trials, G_MAXUINT32);
    }
  c->bad |= trials.bad;
}

static void
read_limit (struct cursor *c, struct gossip_message_limit *limit)
{
  limit->server_key = (guint32)read_number (c, G_MAXUINT32);
  limit->micro
      = read_number (c, server_limit_to_micro (SERVER_LIMIT_MAX_PER_S + 1));
  limit->after_age_ms = (guint)read_number (c, G_MAXINT32);
  limit->before_age_ms = (guint)read_number (c, limit->after_age_ms);
}

static void
read_limits (struct cursor *c, struct gossip_message *gossip_message)
{
  struct cursor limits = read_array (c, 4 * GOSSIP_MESSAGE_LIMITS_MAX);
  limits.bad |= limits.left % 4 != 0;
  while (!limits.bad && limits.left > 0)
    read_limit (&limits, &gossip_message->limits[gossip_message->n_limits++]);
  c->bad |= limits.bad;
}

static void
read_brittle (struct cursor *c, struct gossip_message *gossip_message)
{
  struct cursor list = read_array (c, 6 * GOSSIP_MESSAGE_BRITTLE_MAX);
  list.bad |= list.left % 6 != 0;
  while (!list.bad && list.left > 0)
    {
      struct gossip_message_brittle *brittle
          = &gossip_message->brittle[gossip_message->n_brittle++];
      read_limit (&list, &brittle->limit);
      brittle->room = (guint)read_number (&list, G_MAXUINT16);
      brittle->full_age_ms = (guint)read_number (&list, G_MAXINT32);
    }
  c->bad |= list.bad;
}

static void
read_relays (struct cursor *c, struct gossip_message *gossip_message)
{
  struct cursor relays = read_array (c, 3 * GOSSIP_MESSAGE_RELAYS_MAX);
  relays.bad |= relays.left % 3 != 0;
  while (!relays.bad && relays.left > 0)
    {
      struct gossip_message_relay *relay
          = &gossip_message->relays[gossip_message->n_relays++];
      relay->ip = (guint32)read_number (&relays, G_MAXUINT32);
      relay->client_port = (guint)read_number (&relays, G_MAXUINT16);
      relay->servers_reached_age = (guint)read_number (&relays, G_MAXINT32);
    }
  c->bad |= relays.bad;
}

static void
read_duty (struct cursor *c, struct gossip_message *gossip_message)
{
  struct cursor duty = read_array (c, 3);
  if (duty.left > 0)
    {
      gossip_message->duty_fence = read_number (&duty, G_MAXINT64);
      gossip_message->duty_ip = (guint32)read_number (&duty, G_MAXUINT32);
      gossip_message->duty_age = (guint)read_number (&duty, G_MAXINT32);
    }
  c->bad |= duty.bad;
}

static void
read_isolated (struct cursor *c, struct gossip_message *gossip_message)
{
  struct cursor list
      = read_array (c, 2
                           * (GOSSIP_MESSAGE_LOADS_MAX
                              + GOSSIP_MESSAGE_SUMMARIES_MAX
                                    * GOSSIP_MESSAGE_SUMMARY_LOADS_MAX));
  list.bad |= list.left % 2 != 0;
  while (!list.bad && list.left > 0)
    {
      struct gossip_message_load *load
          = load_at (gossip_message, (guint)read_number (&list, G_MAXUINT16));
      guint isolated = (guint)read_number (&list, G_MAXUINT16);
      list.bad |= load == NULL;
      if (!list.bad)
        load->load.isolated = MIN (isolated, load->load.sensitive);
    }
  c->bad |= list.bad;
}

static gboolean
read_message (const msgpack_object *root, struct gossip_message *gossip_message)
{
  if (root->type != MSGPACK_OBJECT_ARRAY
      || root->via.array.size < FIELDS_REQUIRED)
    return FALSE;
  struct cursor c = { root->via.array.ptr, root->via.array.size, FALSE };
  if (read_number (&c, G_MAXUINT16) != GOSSIP_MESSAGE_VERSION)
    return FALSE;
  read_id (&c, gossip_message->id);
  read_id (&c, gossip_message->domain);
  gossip_message->incarnation = (guint32)read_number (&c, G_MAXUINT32);
  gossip_message->seq = (guint32)read_number (&c, G_MAXUINT32);
  gossip_message->echo_seq = (guint32)read_number (&c, G_MAXUINT32);
  gossip_message->echo_incarnation = (guint32)read_number (&c, G_MAXUINT32);
  gossip_message->config_version = read_number (&c, G_MAXUINT64);
  gossip_message->config_age_us = read_age (&c);
  gossip_message->server_list_digest = read_number (&c, G_MAXUINT64);
  gossip_message->server_list_age_us = read_age (&c);
  gossip_message->wants_reply = next_field (&c)->type == MSGPACK_OBJECT_BOOLEAN
                                && c.next[-1].via.boolean;
  read_lists (&c, gossip_message);
  if (c.left > 0)
    gossip_message->n_own_placements
        = (guint)read_number (&c, gossip_message->n_placements);
  if (c.left > 0)
    gossip_message->n_home_placements
        = (guint)read_number (&c, gossip_message->n_own_placements);
  if (c.left > 0)
    gossip_message->n_waiting = (guint)read_number (&c, G_MAXINT32);
  if (c.left > 0)
    gossip_message->store_era = read_number (&c, G_MAXINT64);
  if (c.left > 0)
    read_leaving (&c, gossip_message);
  if (c.left > 0)
    read_rejections (&c, gossip_message);
  if (c.left > 0)
    gossip_message->loads_range.since = read_number (&c, G_MAXUINT64);
  if (c.left > 0)
    gossip_message->loads_range.through = read_number (&c, G_MAXUINT64);
  if (c.left > 0)
    gossip_message->loads_held = read_number (&c, G_MAXUINT64);
  if (c.left > 0)
    read_ranges (&c, gossip_message);
  if (c.left > 0)
    read_held (&c, gossip_message);
  if (c.left > 0)
    read_suspects (&c, &gossip_message->suspects);
  if (c.left > 0)
    read_trials (&c, &gossip_message->suspects);
  if (c.left > 0)
    read_limits (&c, gossip_message);
  if (c.left > 0)
    gossip_message->servers_reached_age = (guint)read_number (&c, G_MAXINT32);
  if (c.left > 0)
    gossip_message->asks_for_servers = read_number (&c, 1) != 0;
  if (c.left > 0)
    gossip_message->client_port = (guint)read_number (&c, G_MAXUINT16);
  if (c.left > 0)
    read_relays (&c, gossip_message);
  if (c.left > 0)
    read_brittle (&c, gossip_message);
  if (c.left > 0)
    read_duty (&c, gossip_message);
  if (c.left > 0)
    read_isolated (&c, gossip_message);
  if (c.left > 0)
    gossip_message->version_table = read_number (&c, G_MAXINT64);
  return !c.bad;
}

/* Decodes one message, which must fill BYTES. Returns 0 or ERR_PROTOCOL; on an
   error the contents of the message are undefined.  */
int
gossip_message_decode (struct str bytes, struct gossip_message *gossip_message,
                       struct err *err)
{
  msgpack_unpacked unpacked;
  size_t at = 0;
  gossip_message_clear (gossip_message);
  msgpack_unpacked_init (&unpacked);
  gboolean ok
      = bytes.n <= GOSSIP_MESSAGE_BYTES_MAX && msgpack_check (bytes) == bytes.n
        && msgpack_unpack_next (&unpacked, bytes.p, bytes.n, &at)
               == MSGPACK_UNPACK_SUCCESS
        && at == bytes.n && read_message (&unpacked.data, gossip_message);
  msgpack_unpacked_destroy (&unpacked);
  if (!ok)
    return err_set (err, ERR_PROTOCOL, "peer.decode", "",
                    "malformed message, or its version is not %d",
                    GOSSIP_MESSAGE_VERSION);
  return 0;
}
