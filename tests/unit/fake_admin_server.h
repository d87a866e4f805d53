/* An administration server whose callbacks are those of a fake instance; for
   test_adm.c and test_ctl.c.  */
#ifndef FAKE_ADMIN_SERVER_H
#define FAKE_ADMIN_SERVER_H

#include "admin/admin_server.h"

#include <gio/gio.h>
#include <string.h>

/* Tokens of the operators in examples/authority/config.ini. */
#define WRITER_TOKEN "example-token-ops"
#define READER_TOKEN "example-token-watch"

/* The instance behind the API. */
struct fake
{
  struct admin_server *admin_server;
  struct counter_set counter_set;
  struct cluster_config *cfg;
  gboolean ready;
  gsize dump_bytes; /* length of a text in the dump */
  guint n_updates;  /* calls of update */
  guint64 expected; /* arguments of the last call */
  GBytes *body;
  int update_code;    /* result of update; the callback is called only if 0 */
  gboolean keep_open; /* the test calls finish_update itself */
  struct follower_result result; /* passed to the callback */
  follower_done done;
  void *done_ctx;
};

static const struct cluster_config *
fake_config (void *ctx)
{
  return ((struct fake *)ctx)->cfg;
}

static gboolean
fake_ready (void *ctx)
{
  return ((struct fake *)ctx)->ready;
}

static void
fake_dump (void *ctx, JsonBuilder *json)
{
  const struct fake *fake = ctx;
  g_autofree char *text = g_strnfill (fake->dump_bytes, 'x');
  json_builder_begin_object (json);
  json_builder_set_member_name (json, "state");
  json_builder_add_string_value (json, "dumped");
  json_builder_set_member_name (json, "text");
  json_builder_add_string_value (json, text);
  json_builder_end_object (json);
}

static void
fake_each_instance (void *ctx, admin_visit visit, void *visit_ctx)
{
  struct member_instance instance = { .live = TRUE, .config_version = 6 };
  (void)ctx;
  str_id_set (&instance.id, STR_LIT ("kgn-1-a"));
  visit (visit_ctx, &instance);
}

/* Calls the callback of the last update with the result that the test set.  */
static gboolean
finish_update (gpointer data)
{
  struct fake *fake = data;
  fake->done (fake->done_ctx, &fake->result);
  return G_SOURCE_REMOVE;
}

static int
fake_update (void *ctx, guint64 expected, GBytes *body, follower_done done,
             void *done_ctx)
{
  struct fake *fake = ctx;
  fake->n_updates++;
  fake->expected = expected;
  g_clear_pointer (&fake->body, g_bytes_unref);
  fake->body = g_bytes_ref (body);
  fake->done = done;
  fake->done_ctx = done_ctx;
  if (fake->update_code == 0 && !fake->keep_open)
    g_idle_add (finish_update, fake);
  return fake->update_code;
}

/* Returns the text of the example configuration, to be freed with g_free.  */
static char *
example_text (void)
{
  g_autofree char *path = g_build_filename (JW_SOURCE_DIR, "examples",
                                            "authority", "config.ini", NULL);
  char *text = NULL;
  CU_ASSERT_TRUE (g_file_get_contents (path, &text, NULL, NULL));
  return text ? text : g_strdup ("");
}

/* Starts the server with the example configuration as version 7. By default,
   updates are accepted as version 8. IDLE_US as in admin_server_options.  */
static void
fake_open (struct fake *fake, gint64 idle_us)
{
  memset (fake, 0, sizeof *fake);
  g_autofree char *text = example_text ();
  g_autoptr (GBytes) body = g_bytes_new (text, strlen (text));
  g_autoptr (GPtrArray) problems = g_ptr_array_new_with_free_func (g_free);
  fake->cfg = cluster_parse (body, 7, problems);
  fake->ready = TRUE;
  fake->result.outcome = FOLLOWER_ACCEPTED;
  fake->result.version = 8;
  struct admin_server_options o
      = { .listen = "127.0.0.1:0", .self = "kgn-1-a" };
  o.idle_us = idle_us;
  o.clk = clk_system ();
  o.counter_set = &fake->counter_set;
  o.config = fake_config;
  o.ready = fake_ready;
  o.dump = fake_dump;
  o.each_instance = fake_each_instance;
  o.update = fake_update;
  o.ctx = fake;
  struct err err = { 0 };
  CU_ASSERT_EQUAL (admin_server_new (&o, &fake->admin_server, &err), 0);
}

static void
fake_close (struct fake *fake)
{
  admin_server_free (fake->admin_server);
  cluster_unref (fake->cfg);
  g_clear_pointer (&fake->body, g_bytes_unref);
  while (g_main_context_iteration (NULL, FALSE))
    ;
}

#endif
