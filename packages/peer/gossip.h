/* The other instances: who is there, what they tell, and proofs of freshness
   taken from them. Without I/O.  */
#ifndef GOSSIP_H
#define GOSSIP_H

#include "fleet/flt.h"
#include "peer/gossip_message.h"

struct gossip;

struct gossip_options
{
  const char *id;
  const char *domain;
  guint32 ip; /* own, host byte order */
  guint32 incarnation;
  const guint32 *seeds; /* IP numbers, borrowed for the call */
  guint n_seeds;
};

/* What this instance tells: the owner fills it in for each round. */
struct gossip_local_state
{
  guint64 config_version;
  gint64 config_age_us;
  guint64 server_list_digest;
  gint64 server_list_age_us;
};

/* A peer's word that CONFIG was the newest at some moment after ASKED. */
struct gossip_config_freshness
{
  guint64 config_version;
  gint64 confirmed_after; /* clock time; 0: no proof */
};

/* What came with a message, beside load and placements. */
struct gossip_update
{
  struct gossip_config_freshness freshness;
  guint64 config_version; /* newest version that the peer knows */
  guint64 server_list_digest;
  gint64 server_list_age_us;
  gboolean joined; /* first word of this incarnation */
  char id[STR_ID_MAX + 1];
};

typedef void (*gossip_send_fn) (void *ctx, guint32 ip, struct str bytes);

struct gossip *gossip_new (const struct gossip_options *options, gint64 now);
void gossip_free (struct gossip *gossip);
void gossip_add_placement (struct gossip *gossip,
                           const struct flt_server *server,
                           const struct pdr_prompt *prompt);
void gossip_tick (struct gossip *gossip, const struct gossip_local_state *state,
                  struct flt *flt, struct sld *sld, gint64 now,
                  gossip_send_fn send, void *ctx);
int gossip_receive (struct gossip *gossip, guint32 ip, struct str bytes,
                    gint64 now, struct flt *flt, struct sld *sld,
                    struct pdr *pdr, struct gossip_update *update,
                    struct err *err);
gboolean gossip_is_full_mesh (const struct gossip *gossip, gint64 now);
guint gossip_instance_count (const struct gossip *gossip, gint64 now);
guint gossip_alive_count (const struct gossip *gossip, gint64 now);
guint gossip_local_peer_count (const struct gossip *gossip, gint64 now);
guint gossip_domain_rank (const struct gossip *gossip, gint64 now);
guint gossip_reader_rank (const struct gossip *gossip, gint64 now);
guint32 gossip_server_key (const struct flt_server *server);

#endif
