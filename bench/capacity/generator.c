#include "capacity/generator.h"

#include <string.h>

void
generator_domain (guint i, struct str_id *domain, struct str_id *region)
{
  g_snprintf (domain->s, sizeof domain->s, "region%u-%u", i % GENERATOR_REGIONS,
              i / GENERATOR_REGIONS);
  g_snprintf (region->s, sizeof region->s, "region%u", i % GENERATOR_REGIONS);
}

static void
add_classes (GString *text)
{
  for (guint i = 0; i < GENERATOR_TIERS; i++)
    g_string_append_printf (
        text,
        "[class:class%u]\n"
        "tier=%u\nttft_ms=%u\ntbt_ms=31\ndeadline_ms=120000\nmin_share=0.1\n"
        "max_waiting=256\nreserved_waiting=16\nretry_share=0.1\n"
        "link_bytes_per_s=400000\nspill=anywhere\n",
        i, i, 360 * (i + 1));
}

static void
add_teams (GString *text, guint n)
{
  for (guint i = 0; i < n; i++)
    {
      char *key = g_strdup_printf ("key of team %u", i);
      char *digest = g_compute_checksum_for_string (G_CHECKSUM_SHA256, key, -1);
      g_string_append_printf (
          text,
          "[team:team-%u]\n"
          "key_sha256=%s\nweight=1\nmax_running=0\n"
          "classes=class0;class1;class2;class3;class4\ndefault_class=class%u\n",
          i, digest, i % GENERATOR_TIERS);
      g_free (digest);
      g_free (key);
    }
}

/* Adds the engines. Addresses are unique and never contacted.  */
static void
add_backends (GString *text, const struct generator_options *options)
{
  for (guint i = 0; i < options->backends; i++)
    {
      struct str_id domain, region;
      guint d = i % options->domains;
      generator_domain (d, &domain, &region);
      g_string_append_printf (text,
                              "[backend:%s-engine-%u]\n"
                              "address=10.%u.%u.%u:8000\n"
                              "pool=model%u\ndomain=%s\nmax_running=256\n",
                              domain.s, i / options->domains, d, i / 250,
                              i % 250, i / options->domains % GENERATOR_MODELS,
                              domain.s);
    }
}

/* Adds the service with GENERATOR_SERVICE_BACKENDS servers in each failure
   domain.  */
static void
add_services (GString *text, const struct generator_options *options)
{
  g_string_append (text, "[service:account]\nrepeatable=no\n");
  for (guint i = 0; i < GENERATOR_SERVICE_BACKENDS * options->domains; i++)
    {
      struct str_id domain, region;
      generator_domain (i % options->domains, &domain, &region);
      g_string_append_printf (text,
                              "[backend:%s-account-%u]\n"
                              "address=10.100.%u.%u:8000\n"
                              "pool=account\ndomain=%s\nmax_running=256\n",
                              domain.s, i / options->domains,
                              i % options->domains, i / options->domains,
                              domain.s);
    }
}

GBytes *
generator_body (const struct generator_options *options)
{
  GString *text = g_string_new (
      "[jacinthward]\npreset=ordinary\n"
      "[preset:ordinary]\nspill=region\nlimit_scale=1.0\n"
      "[preset:peak]\nspill=anywhere\nlimit_scale=1.1\n"
      "[preset:maintenance]\nspill=anywhere\nlimit_scale=0.8\n");
  for (guint i = 0; i < options->domains; i++)
    {
      struct str_id domain, region;
      generator_domain (i, &domain, &region);
      g_string_append_printf (text, "[domain:%s]\nregion=%s\n", domain.s,
                              region.s);
    }
  add_classes (text);
  add_teams (text, options->teams);
  for (guint i = 0; i < GENERATOR_MODELS; i++)
    g_string_append_printf (text, "[model:model%u]\n", i);
  add_backends (text, options);
  if (options->services)
    add_services (text, options);
  return g_string_free_to_bytes (text);
}

struct cluster_config *
generator_config (const struct generator_options *options)
{
  GPtrArray *problems = g_ptr_array_new_with_free_func (g_free);
  GBytes *body = generator_body (options);
  struct cluster_config *cfg = cluster_parse (body, 1, problems);
  if (cfg == NULL)
    g_error ("%s", (char *)g_ptr_array_index (problems, 0));
  g_ptr_array_unref (problems);
  g_bytes_unref (body);
  return cfg;
}
