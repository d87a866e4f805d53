/* What the files of this package share; not for others.  */
#ifndef ADM_INT_H
#define ADM_INT_H

#include <libsoup/soup.h>

#include "admin/adm.h"

struct adm
{
  struct adm_options options; /* its strings are owned */
  GSocketService *service;
  SoupServer *server;
  guint port;
  guint sweep;             /* GLib source */
  GHashTable *connections; /* of struct adm_connection by remote address */
  GPtrArray *changes;      /* of struct adm_change, in progress */
};

/* An operator's connection. */
struct adm_connection
{
  GSocketAddress *remote; /* a reference; libsoup hands the same object out */
  GSocket *socket;        /* a reference */
  gint64 due;             /* clock time by which something must happen */
  gsize dropped;          /* bytes of refused bodies */
};

/* A request whose operator may make it. */
struct adm_request
{
  struct adm *adm;
  SoupServerMessage *message;
  const struct cluster_config
      *cfg;                  /* in force; NULL only where none is needed */
  const char *operator_name; /* NULL where none is needed */
  char *name;                /* the NAME in the path, NULL if it has none */
};

void adm_accept (struct adm *adm, GSocketConnection *connection);
void adm_touch (struct adm *adm, SoupServerMessage *message);
void adm_drop_bytes (struct adm *adm, SoupServerMessage *message, gsize n);
gboolean adm_sweep (gpointer data);
void adm_connection_free (gpointer data);

void adm_reply_json (SoupServerMessage *message, guint status,
                     JsonBuilder *json);
void adm_reply_error (SoupServerMessage *message, guint status,
                      const char *code, const struct err *err);
void adm_add_error (JsonBuilder *json, const char *code, const struct err *err);

void adm_get_classes (const struct adm_request *request);
void adm_get_teams (const struct adm_request *request);
void adm_get_backends (const struct adm_request *request);
void adm_get_presets (const struct adm_request *request);
void adm_get_instances (const struct adm_request *request);
void adm_get_status (const struct adm_request *request);

void adm_put_config (const struct adm_request *request);
void adm_put_preset (const struct adm_request *request);
void adm_put_drain (const struct adm_request *request);
void adm_put_undrain (const struct adm_request *request);
void adm_forget_changes (struct adm *adm);

#endif
