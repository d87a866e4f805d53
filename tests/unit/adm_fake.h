/* An administration listener whose instance is a fake; for test_adm.c and
   test_ctl.c.  */
#ifndef ADM_FAKE_H
#define ADM_FAKE_H

#include "admin/adm.h"

#include <gio/gio.h>
#include <string.h>

#define OPS "example-token-ops"
#define WATCH "example-token-watch"

/* The instance behind the API. */
struct fake
{
  struct adm *adm;
  struct ctr ctr;
  struct cfg *cfg;
  gboolean ready;
  /* The update that was asked for, and how it is to end. */
  guint n_updates;
  guint64 expected;
  GBytes *body;
  int start_code; /* what update returns */
  gboolean hold;  /* leave it open */
  struct cft_result result;
  cft_done done;
  void *done_ctx;
};

static const struct cfg *
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
  (void)ctx;
  json_builder_begin_object (json);
  json_builder_set_member_name (json, "state");
  json_builder_add_string_value (json, "dumped");
  json_builder_end_object (json);
}

static void
fake_each (void *ctx, adm_visit visit, void *visit_ctx)
{
  struct member_instance instance = { .live = TRUE, .config_version = 6 };
  (void)ctx;
  str_id_set (&instance.id, STR_LIT ("kgn-1-a"));
  visit (visit_ctx, &instance);
}

static gboolean
end_update (gpointer data)
{
  struct fake *fake = data;
  fake->done (fake->done_ctx, &fake->result);
  return G_SOURCE_REMOVE;
}

static int
fake_update (void *ctx, guint64 expected, GBytes *body, cft_done done,
             void *done_ctx)
{
  struct fake *fake = ctx;
  fake->n_updates++;
  fake->expected = expected;
  g_clear_pointer (&fake->body, g_bytes_unref);
  fake->body = g_bytes_ref (body);
  fake->done = done;
  fake->done_ctx = done_ctx;
  if (fake->start_code == 0 && !fake->hold)
    g_idle_add (end_update, fake);
  return fake->start_code;
}

static char *
example_text (void)
{
  g_autofree char *path = g_build_filename (JW_SOURCE_DIR, "examples",
                                            "authority", "config.ini", NULL);
  char *text = NULL;
  CU_ASSERT_TRUE (g_file_get_contents (path, &text, NULL, NULL));
  return text ? text : g_strdup ("");
}

static void
fake_open (struct fake *fake, gint64 idle_us)
{
  memset (fake, 0, sizeof *fake);
  g_autofree char *text = example_text ();
  g_autoptr (GBytes) body = g_bytes_new (text, strlen (text));
  g_autoptr (GPtrArray) problems = g_ptr_array_new_with_free_func (g_free);
  fake->cfg = cfg_parse (body, 7, problems);
  fake->ready = TRUE;
  fake->result.outcome = CFT_ACCEPTED;
  fake->result.version = 8;
  struct adm_options o = { .listen = "127.0.0.1:0", .self = "kgn-1-a" };
  o.idle_us = idle_us;
  o.clk = clk_system ();
  o.ctr = &fake->ctr;
  o.config = fake_config;
  o.ready = fake_ready;
  o.dump = fake_dump;
  o.each_instance = fake_each;
  o.update = fake_update;
  o.ctx = fake;
  struct err err = { 0 };
  CU_ASSERT_EQUAL (adm_new (&o, &fake->adm, &err), 0);
}

static void
fake_close (struct fake *fake)
{
  adm_free (fake->adm);
  cfg_unref (fake->cfg);
  g_clear_pointer (&fake->body, g_bytes_unref);
  while (g_main_context_iteration (NULL, FALSE))
    ;
}

#endif
