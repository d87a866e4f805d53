#include "peer/prm.h"

#include "base/msgpack_check.h"

#include "peer/pmp.h"

#include <stddef.h>
#include <string.h>

#define FIELDS 18          /* of a message */
#define FIELDS_REQUIRED 17 /* older instances send no more */

static void
pack_load (msgpack_packer *pk, const struct prm_load *load)
{
  msgpack_pack_array (pk, 6);
  msgpack_pack_uint32 (pk, load->server);
  msgpack_pack_unsigned_int (pk, load->load.requests);
  msgpack_pack_unsigned_int (pk, load->load.tight);
  msgpack_pack_unsigned_int (pk, load->load.paced);
  msgpack_pack_uint64 (pk, load->load.unread);
  msgpack_pack_uint64 (pk, load->load.memory);
}

static void
pack_note (msgpack_packer *pk, const struct prm_note *note)
{
  msgpack_pack_array (pk, 1 + 2 * (size_t)note->prompt.n);
  msgpack_pack_uint32 (pk, note->server);
  for (guint i = 0; i < note->prompt.n; i++)
    {
      msgpack_pack_uint32 (pk, note->prompt.parts[i].key);
      msgpack_pack_unsigned_int (pk, note->prompt.parts[i].tokens);
    }
}

static void
pack_summary (msgpack_packer *pk, const struct prm_summary *summary)
{
  msgpack_pack_array (pk, 1 + (size_t)summary->n);
  pmp_text (pk, summary->domain);
  for (guint i = 0; i < summary->n; i++)
    pack_load (pk, &summary->loads[i]);
}

/* Appends PRM as one msgpack array.  */
void
prm_encode (const struct prm *prm, GByteArray *out)
{
  msgpack_packer pk;
  msgpack_packer_init (&pk, out, pmp_append);
  msgpack_pack_array (&pk, FIELDS);
  msgpack_pack_unsigned_int (&pk, PRM_VERSION);
  pmp_text (&pk, prm->id);
  pmp_text (&pk, prm->domain);
  msgpack_pack_uint32 (&pk, prm->incarnation);
  msgpack_pack_uint32 (&pk, prm->seq);
  msgpack_pack_uint32 (&pk, prm->echo);
  msgpack_pack_uint32 (&pk, prm->echo_of);
  msgpack_pack_uint64 (&pk, prm->config);
  msgpack_pack_int64 (&pk, prm->proof_age_us);
  msgpack_pack_uint64 (&pk, prm->fleet_digest);
  msgpack_pack_int64 (&pk, prm->fleet_age_us);
  prm->asks ? msgpack_pack_true (&pk) : msgpack_pack_false (&pk);
  msgpack_pack_array (&pk, 3 * (size_t)prm->n_members);
  for (guint i = 0; i < prm->n_members; i++)
    {
      msgpack_pack_uint32 (&pk, prm->members[i].ip);
      msgpack_pack_unsigned_int (&pk, prm->members[i].age_ms);
      pmp_text (&pk, prm->members[i].domain);
    }
  msgpack_pack_array (&pk, prm->n_loads);
  for (guint i = 0; i < prm->n_loads; i++)
    pack_load (&pk, &prm->loads[i]);
  msgpack_pack_array (&pk, prm->n_notes);
  for (guint i = 0; i < prm->n_notes; i++)
    pack_note (&pk, &prm->notes[i]);
  msgpack_pack_array (&pk, prm->n_summaries);
  for (guint i = 0; i < prm->n_summaries; i++)
    pack_summary (&pk, &prm->summaries[i]);
  msgpack_pack_array (&pk, prm->n_down);
  for (guint i = 0; i < prm->n_down; i++)
    msgpack_pack_uint32 (&pk, prm->down[i]);
  msgpack_pack_unsigned_int (&pk, prm->n_own);
}

/* Reads fields one after the other; the first fault sticks.  */
struct cursor
{
  const msgpack_object *next;
  guint left;
  gboolean bad;
};

static const msgpack_object *
take (struct cursor *c)
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
take_number (struct cursor *c, guint64 max)
{
  const msgpack_object *o = take (c);
  if (o->type != MSGPACK_OBJECT_POSITIVE_INTEGER || o->via.u64 > max)
    {
      c->bad = TRUE;
      return 0;
    }
  return o->via.u64;
}

static gint64
take_age (struct cursor *c)
{
  const msgpack_object *o = take (c);
  if (o->type == MSGPACK_OBJECT_NEGATIVE_INTEGER)
    return PRM_UNPROVED;
  if (o->type != MSGPACK_OBJECT_POSITIVE_INTEGER || o->via.u64 > G_MAXINT64)
    {
      c->bad = TRUE;
      return PRM_UNPROVED;
    }
  return (gint64)o->via.u64;
}

static void
take_text (struct cursor *c, char *text)
{
  const msgpack_object *o = take (c);
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
take_array (struct cursor *c, guint max)
{
  const msgpack_object *o = take (c);
  if (o->type != MSGPACK_OBJECT_ARRAY || o->via.array.size > max)
    {
      c->bad = TRUE;
      return (struct cursor){ 0 };
    }
  return (struct cursor){ o->via.array.ptr, o->via.array.size, FALSE };
}

static void
take_load (struct cursor *list, struct prm_load *load)
{
  struct cursor c = take_array (list, 6);
  load->server = (guint32)take_number (&c, G_MAXUINT32);
  load->load.requests = (guint)take_number (&c, G_MAXUINT16);
  load->load.tight = (guint)take_number (&c, G_MAXUINT16);
  load->load.paced = (guint)take_number (&c, G_MAXUINT16);
  load->load.unread = take_number (&c, G_MAXUINT32);
  load->load.memory = take_number (&c, G_MAXUINT32);
  list->bad |= c.bad;
}

static void
take_note (struct cursor *list, struct prm_note *note)
{
  struct cursor c = take_array (list, 1 + 2 * PDR_PARTS_MAX);
  note->server = (guint32)take_number (&c, G_MAXUINT32);
  note->prompt.n = 0;
  while (!c.bad && c.left > 0)
    {
      struct pdr_part *part = &note->prompt.parts[note->prompt.n++];
      part->key = (guint32)take_number (&c, G_MAXUINT32);
      part->tokens = (guint)take_number (&c, G_MAXINT32);
    }
  list->bad |= c.bad;
}

static void
take_summary (struct cursor *list, struct prm_summary *summary)
{
  struct cursor c = take_array (list, 1 + PRM_SUMMARY_LOADS_MAX);
  take_text (&c, summary->domain);
  while (!c.bad && c.left > 0)
    take_load (&c, &summary->loads[summary->n++]);
  list->bad |= c.bad;
}

static void
take_lists (struct cursor *c, struct prm *prm)
{
  struct cursor members = take_array (c, 3 * PRM_MEMBERS_MAX);
  while (!members.bad && members.left > 0)
    {
      struct prm_member *member = &prm->members[prm->n_members++];
      member->ip = (guint32)take_number (&members, G_MAXUINT32);
      member->age_ms = (guint)take_number (&members, G_MAXINT32);
      take_text (&members, member->domain);
    }
  struct cursor loads = take_array (c, PRM_LOADS_MAX);
  while (!loads.bad && loads.left > 0)
    take_load (&loads, &prm->loads[prm->n_loads++]);
  struct cursor notes = take_array (c, PRM_NOTES_MAX);
  while (!notes.bad && notes.left > 0)
    take_note (&notes, &prm->notes[prm->n_notes++]);
  struct cursor summaries = take_array (c, PRM_SUMMARIES_MAX);
  while (!summaries.bad && summaries.left > 0)
    take_summary (&summaries, &prm->summaries[prm->n_summaries++]);
  struct cursor down = take_array (c, PRM_DOWN_MAX);
  while (!down.bad && down.left > 0)
    prm->down[prm->n_down++] = (guint32)take_number (&down, G_MAXUINT32);
  c->bad |= down.bad || members.bad || loads.bad || notes.bad || summaries.bad;
}

static gboolean
read_message (const msgpack_object *root, struct prm *prm)
{
  if (root->type != MSGPACK_OBJECT_ARRAY
      || root->via.array.size < FIELDS_REQUIRED)
    return FALSE;
  struct cursor c = { root->via.array.ptr, root->via.array.size, FALSE };
  if (take_number (&c, G_MAXUINT16) != PRM_VERSION)
    return FALSE;
  take_text (&c, prm->id);
  take_text (&c, prm->domain);
  prm->incarnation = (guint32)take_number (&c, G_MAXUINT32);
  prm->seq = (guint32)take_number (&c, G_MAXUINT32);
  prm->echo = (guint32)take_number (&c, G_MAXUINT32);
  prm->echo_of = (guint32)take_number (&c, G_MAXUINT32);
  prm->config = take_number (&c, G_MAXUINT64);
  prm->proof_age_us = take_age (&c);
  prm->fleet_digest = take_number (&c, G_MAXUINT64);
  prm->fleet_age_us = take_age (&c);
  prm->asks
      = take (&c)->type == MSGPACK_OBJECT_BOOLEAN && c.next[-1].via.boolean;
  take_lists (&c, prm);
  if (c.left > 0)
    prm->n_own = (guint)take_number (&c, prm->n_notes);
  return !c.bad;
}

/* Reads one message. Returns 0 or ERR_PROTOCOL; PRM then says nothing.  */
int
prm_decode (struct str bytes, struct prm *prm, struct err *err)
{
  msgpack_unpacked unpacked;
  size_t at = 0;
  memset (prm, 0, offsetof (struct prm, members));
  prm->n_members = prm->n_loads = prm->n_notes = prm->n_summaries = 0;
  prm->n_own = prm->n_down = 0;
  for (guint i = 0; i < PRM_SUMMARIES_MAX; i++)
    prm->summaries[i].n = 0;
  msgpack_unpacked_init (&unpacked);
  gboolean ok = bytes.n <= PRM_BYTES_MAX && msgpack_check (bytes) == bytes.n
                && msgpack_unpack_next (&unpacked, bytes.p, bytes.n, &at)
                       == MSGPACK_UNPACK_SUCCESS
                && at == bytes.n && read_message (&unpacked.data, prm);
  msgpack_unpacked_destroy (&unpacked);
  if (!ok)
    return err_set (err, ERR_PROTOCOL, "peer.decode", "",
                    "not a message of version %d", PRM_VERSION);
  return 0;
}
